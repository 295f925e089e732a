"""What a lead learns from the runs that workers report: speeds and durations."""

from collections.abc import Callable, Iterable

from firhook.cell import Run, RunEnd, Step
from firhook.decide._durations import DurationEstimator
from firhook.decide._speeds import SpeedEstimator, has_known_start, is_comparable


class Estimates:
    """The estimators of one term, fed from the replies to polls.

    :param count: counts an event, given the counter's name, a label and a number.
    :ivar speeds: how fast each worker is.
    :ivar durations: how long the tasks of each queue and team take.
    """

    def __init__(
        self, count: Callable[[str, str, int], None] = lambda *_: None
    ) -> None:
        self._count = count
        self.speeds = SpeedEstimator()
        self.durations = DurationEstimator(self.speeds.speed)

    def record_poll(
        self,
        running: Iterable[Run],
        ended: Iterable[tuple[Run, RunEnd]],
        now: float,
    ) -> None:
        """Record what a poll reply said of a worker's runs.

        :param running: the runs that go on.
        :param ended: the runs that ended, and how.
        """
        ended = list(ended)
        before = self.speeds.compared, self.speeds.outliers
        done = [run for run, end in ended if end is RunEnd.DONE]
        for run in done:
            if run.task.step.spec.gang:
                self._record_gang(run, ended, now)
            elif is_comparable(run) and has_known_start(run):
                self._record_run(run, now)
        for run in running:
            self.speeds.record_progress(
                run, lambda run: self.durations.is_straggler(run, now)
            )
        for step in {run.task.step.name: run.task.step for run, _ in ended}.values():
            if not step.remaining:
                self._close_step(step)
        for label, count in (
            ("counted", self.speeds.compared - before[0]),
            ("held", self.speeds.outliers - before[1]),
        ):
            if count:
                self._count("speed_comparisons", label, count)

    def _record_run(self, run: Run, now: float) -> None:
        ran_s = now - run.started_at
        straggles = self.durations.is_straggler(run, now)
        if straggles:
            self._count("stragglers", run.task.step.job.queue.name, 1)
        name = run.task.step.name
        self.speeds.record_run(name, run.worker, ran_s, run.key, straggles)
        self._record_duration(run.task.step, ran_s, self.speeds.speed(run.worker))

    def _record_duration(self, step: Step, ran_s: float, speed: float) -> None:
        job, estimate_s = step.job, step.spec.estimate_s
        self.durations.record(job.queue.name, job.team, estimate_s, ran_s, speed)

    def _record_gang(
        self, run: Run, ended: list[tuple[Run, RunEnd]], now: float
    ) -> None:
        """Record the duration of a gang, once, when its first member is done.

        It works from the start of its last member, at the speed of the slowest.
        """
        step = run.task.step
        members = {r.key: r for r, _ in ended if r.task.step is step}
        if next(iter(members)) != run.key:
            return
        members |= {r.key: r for r in step.runs() if r.number == run.number}
        may_be_resumed = step.spec.checkpoints and run.number > 1
        if may_be_resumed or len(members) < step.spec.count:
            return
        if all(has_known_start(member) for member in members.values()):
            ran_s = now - max(member.started_at for member in members.values())
            speed = min(self.speeds.speed(r.worker) for r in members.values())
            self._record_duration(step, ran_s, speed)

    def _close_step(self, step: Step) -> None:
        variance = self.durations.variance(step)
        if variance is None or step.spec.gang:
            self.speeds.close_step(step.name)
        else:
            expected_s = self.durations.expected_s(step)
            self.speeds.close_step(step.name, expected_s, variance)
