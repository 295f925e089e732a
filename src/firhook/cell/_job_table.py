"""What the lead knows of the cell's jobs, tasks and runs.

The book is the lead's memory.  It is built from the records when an instance
takes the lead, and every change to it is stored before it has an effect
outside: an assignment before the start is sent, an end before the worker is
told to forget it.  That a job began has no effect outside but what callers are
told, so that it may be stored a little later, with other changes.
"""

import math
from collections.abc import Iterable, Iterator

import attrs

from firhook.cell._config import CellConfig, Queue
from firhook.cell._records import (
    AcceptedJob,
    JobState,
    JobStatus,
    RunState,
    StepState,
    TaskState,
    WorkerIncarnation,
)
from firhook.cell._resources import NO_RESOURCES, Resources
from firhook.cell._spec import StepSpec
from firhook.cell._workers import EndedRow, PollReply, RunEnd, RunningRow

#: A worker's progress is known well enough to go by from so many percent on.
_TELLING_PERCENT = 5.0
#: An order that got no answer may be carried out up to 12 s later.
MAX_ORDER_DELAY_S = 12.5
#: That a job began waits for so long to be stored together with others.  Callers'
#: count of waiting jobs may be 2 s old, and an append for each start is spared.
BEGUN_STORE_DELAY_S = 0.25
#: Workers that the adviser is asked about when a job's chain is estimated; the
#: objectives of jobs allow for one call about so many.
_ADVISED_WORKERS = 30


@attrs.define(slots=True, eq=False)
class Run:
    """One start of a task on one worker.

    :param incarnation: the life of the worker that it was ordered at or seen on.
    :ivar stored: whether its assignment is on the log; nothing is sent before.
    :ivar confirmed: whether the worker said that it runs.
    :ivar unanswered_starts: starts that were sent and got no answer; each may yet be
        carried out, seconds later.
    :ivar sent_at: when the last start was sent.
    :ivar settled_at: a look that was sent later than this and does not list the
        run proves that it is not there and will not come.
    :ivar ticket: the adviser's permission, if its queue needs one.
    :ivar stop_reason: why it is to be stopped; empty if it is not.
    """

    task: "Task"
    number: int
    worker: str
    incarnation: int
    assigned_at: float
    stored: bool = False
    confirmed: bool = False
    unanswered_starts: int = 0
    sent_at: float = -math.inf
    absence_conclusive_after: float = math.inf
    ticket: str = ""
    stop_reason: str = ""
    first_percent: float = -1.0
    first_percent_at: float = 0.0
    percent: float = 0.0
    percent_at: float = 0.0

    @property
    def key(self) -> tuple[str, int]:
        """Its task's name and its number, by which workers know it."""
        return (self.task.name, self.number)

    def update_progress(self, row: RunningRow, now: float) -> None:
        """Take in what the worker says of it."""
        self.confirmed = True
        if row.checkpoint:
            self.task.update_checkpoint(row.checkpoint)
        if self.first_percent < 0:
            self.first_percent, self.first_percent_at = row.percent, now
        if row.percent != self.percent or not self.percent_at:
            self.percent, self.percent_at = row.percent, now

    def remaining_s(self, now: float) -> float:
        """Return about how long it will go on.

        Estimates are off by up to 90%, so that the worker's own word on the
        progress goes first as soon as there is enough of it.
        """
        made = self.percent - self.first_percent
        if self.first_percent >= 0 and made >= _TELLING_PERCENT:
            per_percent = (self.percent_at - self.first_percent_at) / made
            left = (100.0 - self.percent) * per_percent
            return max(left - (now - self.percent_at), 0.0)
        return max(self.task.step.spec.estimate_s - (now - self.assigned_at), 0.05)


@attrs.define(slots=True, eq=False)
class Task:
    """One task of a step of one occurrence of a job."""

    step: "Step"
    index: int
    done: bool = False
    last_run: int = 0
    failures: int = 0
    checkpoint: str = ""
    runs: list[Run] = attrs.field(factory=list)

    @property
    def name(self) -> str:
        """Its name on the workers' interface."""
        return f"{self.step.name}.{self.index}"

    def update_checkpoint(self, checkpoint: str) -> None:
        """Keep the newest checkpoint; a gang shares one."""
        if not self.step.spec.checkpoints:
            return
        if self.step.spec.gang:
            self.step.checkpoint = checkpoint
        else:
            self.checkpoint = checkpoint

    def to_state(self, workers: dict[tuple[str, int], int]) -> TaskState | None:
        """Return what is stored of it; ``None`` if it was not begun."""
        if not self.last_run and not self.done:
            return None
        rows = tuple(
            RunState(
                r.number, workers.setdefault((r.worker, r.incarnation), len(workers))
            )
            for r in self.runs
        )
        checkpoint = "" if self.done else self.step.start_checkpoint(self)
        return TaskState(self.done, self.last_run, self.failures, checkpoint, rows)


@attrs.define(slots=True, eq=False)
class Step:
    """A step of one occurrence of a job.

    :param tail_s: the estimated work from its start to the end of the job, by
        the longest chain.
    :ivar ready_at: when its turn came; ``None`` if it has not.
    :ivar idle: the tasks that wait for a worker, by index.
    :ivar remaining: the tasks that are not done.
    :ivar checkpoint: the newest checkpoint of a gang, good for each member.
    """

    job: "Job"
    occurrence: int
    number: int
    spec: StepSpec
    critical_path_s: float
    tasks: list[Task] = attrs.field(factory=list)
    ready_at: float | None = None
    idle: dict[int, Task] = attrs.field(factory=dict)
    remaining: int = 0
    checkpoint: str = ""

    @property
    def name(self) -> str:
        """Its name towards the adviser."""
        return f"{self.job.id}.{self.occurrence}.{self.number}"

    @property
    def started(self) -> bool:
        """Whether any of its tasks ever ran or was assigned."""
        return any(task.last_run for task in self.tasks)

    def runs(self) -> Iterator[Run]:
        """Return the runs that may be going on."""
        for task in self.tasks:
            yield from task.runs

    def start_checkpoint(self, task: Task) -> str:
        """Return the checkpoint that a run of the task resumes from."""
        return self.checkpoint if self.spec.gang else task.checkpoint

    def latest_start(self) -> float:
        """Return when it must start for the job to meet its objective."""
        return self.job.objective_at(self.occurrence) - self.critical_path_s

    def to_state(self, workers: dict[tuple[str, int], int]) -> StepState:
        """Return what is stored of it."""
        rows = tuple(task.to_state(workers) for task in self.tasks)
        return StepState(self.occurrence, self.number, rows)


@attrs.define(slots=True, eq=False)
class Job:
    """A job.

    :param accepted_at: on the lead's boot clock.
    :param queue: its queue as it is configured now, or was last.
    :ivar status: queued until a worker has said that it began a task of it.
    """

    accepted: AcceptedJob
    queue: Queue
    accepted_at: float
    status: JobStatus = JobStatus.QUEUED
    ended_at: float = 0.0
    steps: dict[tuple[int, int], Step] = attrs.field(factory=dict)
    next_occurrence: int = 0
    first_occurrence: int = 0
    due_at: dict[int, float] = attrs.field(factory=dict)
    critical_path_s: float = 0.0
    reported: bool = False

    @property
    def id(self) -> str:
        """Its id, chosen by the caller."""
        return self.accepted.id

    @property
    def team(self) -> str:
        """The team that it belongs to."""
        return self.accepted.team

    def released_at(self, occurrence: int) -> float:
        """Return when an occurrence was due or accepted, on the boot clock."""
        return self.due_at.get(occurrence, self.accepted_at)

    def objective_at(self, occurrence: int) -> float:
        """Return until when an occurrence should be done, on the boot clock."""
        start = self.released_at(occurrence)
        return (
            start + self.queue.slack_factor * self.critical_path_s + self.queue.target_s
        )

    def critical_paths_s(self) -> list[float]:
        """Return for each step the estimated work from its start to the end."""
        advice = self.queue.advice
        advice_s = advice.answer_s(_ADVISED_WORKERS) if advice else 0.0
        return critical_paths_s(self.accepted.spec.steps, advice_s)

    def runs(self) -> Iterator[Run]:
        """Return the runs that may be going on."""
        for step in self.steps.values():
            yield from step.runs()

    def to_state(self, version: int = 0) -> JobState:
        """Return what is stored of it.

        Of a job that ended only the steps are kept that still have runs, which
        a successor has to go on stopping.
        """
        workers: dict[tuple[str, int], int] = {}
        steps = tuple(
            step.to_state(workers)
            for step in self.steps.values()
            if any(step.runs())
            or (
                step.started
                and not self.status.ended
                and step.occurrence >= self.first_occurrence
            )
        )
        incarnations = tuple(
            WorkerIncarnation(name, incarnation) for name, incarnation in workers
        )
        return JobState(
            int(self.status),
            self.ended_at,
            incarnations,
            steps,
            self.first_occurrence,
            version,
        )


def critical_paths_s(job_steps: tuple[StepSpec, ...], advice_s: float) -> list[float]:
    """Return for each step the estimated work from its start to the job's end."""
    tails = [0.0] * len(job_steps)
    for number in range(len(job_steps) - 1, -1, -1):
        after = (
            tails[later]
            for later in range(number + 1, len(job_steps))
            if number in job_steps[later].after
        )
        tails[number] = job_steps[number].estimate_s + advice_s + max(after, default=0)
    return tails


class JobTable:
    """The jobs that are not over, with their tasks and runs.

    :ivar open_steps: the steps whose turn has come and that have idle tasks.
    :ivar planned: runs that were assigned since :meth:`take_planned`.
    :ivar to_stop: runs that are to be stopped, since :meth:`take_to_stop`.
    :ivar ended_runs: the ends that were taken note of, for the owner to log and clear.
    :ivar voided: likewise the runs that are certainly over, each with the reason.
    """

    def __init__(self, config: CellConfig) -> None:
        self.config = config
        self.jobs: dict[str, Job] = {}
        self.open_steps: dict[str, Step] = {}
        self.worker_runs: dict[str, dict[tuple[str, int], Run]] = {}
        self.worker_usage: dict[str, Resources] = {}
        self.team_usage: dict[str, Resources] = {}
        self.planned: list[Run] = []
        self.to_stop: list[Run] = []
        self.ended_runs: list[tuple[Run, RunEnd]] = []
        self.voided: list[tuple[Run, str]] = []
        self._dirty: dict[str, Job] = {}
        # When each job began of which that is not stored, the oldest first.
        self._begun_at: dict[str, float] = {}
        self._timed: dict[str, Job] = {}

    # Jobs come and change.

    def set_config(self, config: CellConfig) -> None:
        """Go by another version of the configuration."""
        self.config = config
        for job in self.jobs.values():
            job.queue = config.by_address.get(job.queue.address, job.queue)

    def add(
        self,
        accepted: AcceptedJob,
        state: JobState | None,
        now: float,
        unix_now: float,
    ) -> Job | None:
        """Add a job, as it was accepted or as it was stored.

        :param now: on the boot clock.
        :return: ``None`` if it was there already.
        """
        if accepted.id in self.jobs:
            return None
        queue = self.config.by_address.get(accepted.queue.address, accepted.queue)
        # The time of day may have jumped between the two clocks.
        age_s = min(max(unix_now - accepted.accepted_at, 0.0), 60.0)
        job = Job(accepted, queue, now - age_s)
        job.critical_path_s = max(job.critical_paths_s(), default=0.0)
        self.jobs[job.id] = job
        if state is not None:
            self._restore(job, state, now)
        if job.status.ended:
            self._forget_if_over(job)
            return job
        if accepted.spec.periodic:
            self._timed[job.id] = job
            self._add_due(job, now, unix_now)
        else:
            self._add_occurrence(job, 0, now)
        for step in job.steps.values():
            self._review(step, now)
        return job

    def tick(self, now: float, unix_now: float) -> None:
        """Begin the occurrences that are due by now."""
        for job in list(self._timed.values()):
            self._add_due(job, now, unix_now)

    def next_due(self) -> float | None:
        """Return when the next occurrence is due, in seconds since 1970."""
        return min(
            (
                job.accepted.spec.due(job.next_occurrence)
                for job in self._timed.values()
            ),
            default=None,
        )

    def _add_due(self, job: Job, now: float, unix_now: float) -> None:
        spec = job.accepted.spec
        while job.next_occurrence < spec.occurrences:
            due = spec.due(job.next_occurrence)
            if due > unix_now:
                return
            job.due_at[job.next_occurrence] = now - min(unix_now - due, 60.0)
            self._add_occurrence(job, job.next_occurrence, now)
            job.next_occurrence += 1
        self._timed.pop(job.id, None)

    def _add_occurrence(self, job: Job, occurrence: int, now: float) -> None:
        tails = job.critical_paths_s()
        for number, spec in enumerate(job.accepted.spec.steps):
            if (occurrence, number) in job.steps:
                continue
            step = Step(
                job, occurrence, number, spec, tails[number], remaining=spec.count
            )
            step.tasks = [Task(step, index) for index in range(spec.count)]
            job.steps[occurrence, number] = step
        for number in range(len(job.accepted.spec.steps)):
            self._review(job.steps[occurrence, number], now)

    def _restore(self, job: Job, state: JobState, now: float) -> None:
        job.status = JobStatus(state.status)
        job.ended_at = state.ended_at
        job.first_occurrence = job.next_occurrence = state.first_occurrence
        kept = {(s.occurrence, s.number): s for s in state.steps}
        for occurrence in sorted({o for o, _ in kept}):
            if occurrence >= job.next_occurrence:
                job.next_occurrence = occurrence + 1
            job.due_at.setdefault(occurrence, job.accepted_at)
            self._add_occurrence(job, occurrence, now)
        for key, stored in kept.items():
            step = job.steps.get(key)
            if step is not None:
                self._restore_step(step, stored, state, now)

    def _restore_step(
        self, step: Step, stored: StepState, state: JobState, now: float
    ) -> None:
        for task, old in zip(step.tasks, stored.tasks, strict=False):
            if old is None:
                continue
            task.done, task.last_run = old.done, old.last_run
            task.failures = old.failures
            task.update_checkpoint(old.checkpoint)
            for row in old.runs:
                worker = state.workers[row.worker]
                run = Run(task, row.number, worker.name, worker.incarnation, now)
                # What the old lead sent is void at a worker once it has seen
                # the new lead's fencing token, so that any look settles it.
                run.stored, run.absence_conclusive_after = True, -math.inf
                self._enter(run)
                if step.job.status.ended or task.done:
                    self.stop(run, "job_ended")
        step.remaining = sum(not task.done for task in step.tasks)

    def cancel(self, job_id: str, unix_now: float) -> None:
        """Cancel a job, if it is not over."""
        job = self.jobs.get(job_id)
        if job is not None and not job.status.ended:
            self._end_job(job, JobStatus.CANCELLED, unix_now)

    # Steps.

    def _review(self, step: Step, now: float) -> None:
        """Bring what is idle and whether its turn has come up to date."""
        if step.job.status.ended:
            self.open_steps.pop(step.name, None)
            return
        if step.ready_at is None and self._turn_has_come(step):
            step.ready_at = now
        step.idle = {t.index: t for t in step.tasks if not t.done and not t.runs}
        if step.spec.gang and len(step.idle) < step.spec.count:
            step.idle = {}
        if step.ready_at is not None and step.idle:
            self.open_steps[step.name] = step
        else:
            self.open_steps.pop(step.name, None)

    def _turn_has_come(self, step: Step) -> bool:
        return all(
            step.job.steps[step.occurrence, earlier].remaining == 0
            for earlier in step.spec.after
        )

    def allow_duplicate(self, task: Task) -> None:
        """Let a task that may run twice start elsewhere, beside its runs."""
        step = task.step
        if step.spec.duplicates and not task.done and not step.job.status.ended:
            step.idle[task.index] = task
            if step.ready_at is not None:
                self.open_steps[step.name] = step

    # Runs begin and end.

    def plan(
        self, step: Step, tasks: Iterable[tuple[Task, str, int]], now: float
    ) -> list[Run]:
        """Assign tasks to workers; the members of a gang get one number.

        The job counts as begun only by :meth:`note_begun`.

        :param tasks: each with its worker's name and life.
        """
        chosen = list(tasks)
        shared = max(task.last_run for task, _, _ in chosen) + 1
        runs: list[Run] = []
        for task, worker, incarnation in chosen:
            number = shared if step.spec.gang else task.last_run + 1
            task.last_run = number
            run = Run(task, number, worker, incarnation, now)
            self._enter(run)
            runs.append(run)
            step.idle.pop(task.index, None)
        if not step.idle:
            self.open_steps.pop(step.name, None)
        self._dirty[step.job.id] = step.job
        self.planned += runs
        return runs

    def _enter(self, run: Run) -> None:
        run.task.runs.append(run)
        spec = run.task.step.spec
        team = run.task.step.job.team
        self.worker_runs.setdefault(run.worker, {})[run.key] = run
        used = self.worker_usage.get(run.worker, NO_RESOURCES)
        self.worker_usage[run.worker] = used.add(spec.reserved)
        self.team_usage[team] = self.team_usage.get(team, NO_RESOURCES).add(spec.need)

    def _leave(self, run: Run) -> None:
        run.task.runs.remove(run)
        spec = run.task.step.spec
        team = run.task.step.job.team
        del self.worker_runs[run.worker][run.key]
        self.worker_usage[run.worker] = self.worker_usage[run.worker].subtract(
            spec.reserved
        )
        self.team_usage[team] = self.team_usage[team].subtract(spec.need)

    def void(self, run: Run, reason: str, now: float) -> None:
        """Take note that a run certainly is not going on and never will."""
        if run not in run.task.runs:
            return
        step = run.task.step
        self.voided.append((run, reason))
        self._leave(run)
        if step.spec.gang and not run.task.done:
            self.stop_gang(step, run.number)
        self._after_leaving(step, now)

    def end(
        self, run: Run, end: RunEnd, checkpoint: str, now: float, unix: float
    ) -> None:
        """Take note of how a run ended."""
        task, step = run.task, run.task.step
        self._leave(run)
        self.ended_runs.append((run, end))
        if checkpoint:
            task.update_checkpoint(checkpoint)
        if step.spec.long_running:
            self._after_leaving(step, now)
            return
        if end is RunEnd.DONE:
            self._done(run, unix)
        elif end is RunEnd.FAILED:
            self._failed(task, unix)
        if step.spec.gang and not task.done:
            self.stop_gang(step, run.number)
        self._after_leaving(step, now)

    def _after_leaving(self, step: Step, now: float) -> None:
        self._dirty[step.job.id] = step.job
        self._review(step, now)
        if step.remaining == 0:
            self._review_followers(step, now)
        self._forget_if_over(step.job)

    def _review_followers(self, step: Step, now: float) -> None:
        for (occurrence, _), later in step.job.steps.items():
            if occurrence == step.occurrence and step.number in later.spec.after:
                self._review(later, now)

    def _done(self, run: Run, unix_now: float) -> None:
        step = run.task.step
        # One member's end stands for the whole gang.
        tasks = step.tasks if step.spec.gang else [run.task]
        for task in tasks:
            if task.done:
                continue
            task.done, task.checkpoint = True, ""
            step.remaining -= 1
            for other in task.runs:
                if other.number != run.number or not step.spec.gang:
                    self.stop(other, "copy_done")
        if step.remaining == 0 and not step.job.status.ended:
            self._complete_if_done(step.job, unix_now)

    def _complete_if_done(self, job: Job, unix_now: float) -> None:
        while self._occurrence_done(job, job.first_occurrence):
            job.first_occurrence += 1
        if job.first_occurrence >= max(job.accepted.spec.occurrences, 1):
            self._end_job(job, JobStatus.COMPLETED, unix_now)

    def _occurrence_done(self, job: Job, occurrence: int) -> bool:
        if occurrence >= max(job.accepted.spec.occurrences, 1):
            return False
        numbers = range(len(job.accepted.spec.steps))
        return all(
            (occurrence, n) in job.steps and job.steps[occurrence, n].remaining == 0
            for n in numbers
        )

    def _failed(self, task: Task, unix_now: float) -> None:
        step = task.step
        # A gang fails as one.
        for member in step.tasks if step.spec.gang else [task]:
            member.failures += 1
        if task.failures >= step.job.queue.max_attempts and not task.done:
            self._end_job(step.job, JobStatus.FAILED, unix_now)

    def stop_gang(self, step: Step, number: int) -> None:
        """Stop what is left of a gang's run; its members cannot end done."""
        for run in step.runs():
            if run.number == number:
                self.stop(run, "gang_broken")

    def _end_job(self, job: Job, status: JobStatus, unix_now: float) -> None:
        if job.status.ended:
            return
        job.status, job.ended_at = status, unix_now
        self._dirty[job.id] = job
        self._timed.pop(job.id, None)
        for step in job.steps.values():
            step.idle = {}
            self.open_steps.pop(step.name, None)
        for run in list(job.runs()):
            # A gang that is done needs no stop: its members end together.
            if not run.task.done:
                self.stop(run, "job_ended")
        self._forget_if_over(job)

    def _forget_if_over(self, job: Job) -> None:
        if job.status.ended and not any(job.runs()):
            self._timed.pop(job.id, None)
            self.jobs.pop(job.id, None)

    def stop(self, run: Run, reason: str) -> None:
        """Have a run stopped, unless it is to be already."""
        if run.stop_reason:
            return
        run.stop_reason = reason
        self.to_stop.append(run)

    # What workers say.

    def mark_begun(self, job: Job, now: float) -> None:
        """Take note that a worker began a task of a job; that holds for good."""
        if job.status == JobStatus.QUEUED:
            job.status = JobStatus.RUNNING
            self._begun_at[job.id] = now

    def apply_poll_reply(
        self, worker: str, look: PollReply, sent_at: float, now: float, unix_now: float
    ) -> list[tuple[str, int]]:
        """Take in what a worker lists.

        :param sent_at: when the look was sent, on the boot clock.
        :return: runs that go on there and that nobody wants.
        """
        runs = self.worker_runs.get(worker, {})
        listed = {(row.task, row.run): row for row in look.running}
        ended = {(row.task, row.run): row for row in look.ended}
        # Runs that were given up, and that the worker began all the same.
        for task, _ in (listed.keys() | ended.keys()) - runs.keys():
            job = self.jobs.get(task.partition(".")[0])
            if job is not None:
                self.mark_begun(job, now)
        for run in list(runs.values()):
            if run.key in ended and run.incarnation <= look.incarnation:
                # However it ended: what a worker never began, it does not list.
                self.mark_begun(run.task.step.job, now)
                self._apply_end(run, ended[run.key], now, unix_now)
            elif run.key in listed:
                run.incarnation = look.incarnation
                self.mark_begun(run.task.step.job, now)
                run.update_progress(listed[run.key], now)
            else:
                self._apply_absence(run, look, sent_at, now)
        return [key for key in listed if key not in runs and key not in ended]

    def _apply_end(self, run: Run, row: EndedRow, now: float, unix_now: float) -> None:
        if run not in run.task.runs:
            # An end before it in the same list has taken this run with it.
            return
        self.end(run, row.end, row.checkpoint, now, unix_now)

    def _apply_absence(
        self, run: Run, look: PollReply, sent_at: float, now: float
    ) -> None:
        if not run.stored or run not in run.task.runs:
            return
        if look.incarnation > run.incarnation:
            if run.unanswered_starts:
                # An order that was not answered may reach the new life too.
                run.incarnation = look.incarnation
                self.stop(run, "worker_restarted")
                return
            self.void(run, "worker_restarted", now)
        elif run.absence_conclusive_after < sent_at:
            self.void(run, "not_there", now)

    def expire_lease(self, worker: str, now: float) -> None:
        """Take note that whatever ran on a worker has lost its lease.

        A start that got no answer is waited for longer.  It may be carried out
        seconds later; a worker that did not restart refuses it then, since the
        lease in it has ended, but on one that did, whose clock is another, the
        task would run beside its next run.
        """
        for run in list(self.worker_runs.get(worker, {}).values()):
            if run.unanswered_starts and now - run.sent_at < MAX_ORDER_DELAY_S:
                continue
            if run.stored:
                self.void(run, "lease_lapsed", now)

    # What is to be stored and sent.

    def take_dirty(self, now: float) -> list[Job]:
        """Return the jobs to store: those that changed since the last call.

        A job of which no more is new than that it began waits for another change
        of it, until the oldest such job has waited for :data:`BEGUN_WAIT_S`.
        """
        dirty, self._dirty = self._dirty, {}
        for job_id in dirty:
            self._begun_at.pop(job_id, None)
        oldest = next(iter(self._begun_at.values()), math.inf)
        if now - oldest >= BEGUN_STORE_DELAY_S:
            dirty.update((job_id, self.jobs[job_id]) for job_id in self._begun_at)
            self._begun_at = {}
        return list(dirty.values())

    def take_planned(self) -> list[Run]:
        """Return the runs that were assigned since the last call."""
        planned, self.planned = self.planned, []
        return planned

    def take_to_stop(self) -> list[Run]:
        """Return the runs to stop, added since the last call."""
        wanted, self.to_stop = self.to_stop, []
        return wanted
