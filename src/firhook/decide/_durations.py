"""Learns how long the tasks of each queue and team take."""

import math
from collections import deque
from collections.abc import Callable, Sequence

import attrs

from firhook._peer_messages import HintRow
from firhook.cell import Job, JobTable, Run, Step
from firhook.decide._hints import HintSource

#: The quantile that backfill and reservations go by.
_HIGH = 0.9
#: Completed tasks from which on a row is used.  The high quantile of fewer is that of
#: two or three tasks.
MIN_TASKS = 20
#: Weight of the newest task in the moments: about the last hundred count.
_WEIGHT = 0.01
#: Number of the newest errors from which the quantiles are taken.
_MAX_ERRORS = 64
#: Tasks after which the quantiles are taken again.
_QUANTILE_INTERVAL = 8
#: The estimate counts in full until this many tasks of the usual spread say otherwise.
_PRIOR_TASKS = 10
_PRIOR_VARIANCE = 0.1
#: Limits of the ratio of a learned duration to the estimate.  Estimates are off by a
#: factor of ten at most: one that is 90% too low.
_LOG_RATIO = math.log(12.0)
_MIN_DURATION_S, _MAX_DURATION_S = 0.02, 1e6
#: A run beyond this many times the high quantile is a straggler.
_STRAGGLER_FACTOR = 2.0
#: Upper limit of the rows, and of those that are passed to the next lead.
_MAX_ROWS = 512
MAX_HINTS = 128
#: The quantiles of the errors that hints carry, from which the errors are seeded.
_HINT_QUANTILES = (0.05, 0.2, 0.35, 0.5, 0.65, 0.8, 0.9, 0.97)
_MAX_HINT_TASKS = 50
#: The interval at which a job's durations are learned anew while it waits.
_REFRESH_S = 1.0


@attrs.define(slots=True, eq=False)
class _Row:
    """The tasks of a queue, or of a queue and team.

    The logarithm of the duration is predicted from that of the estimate by a line
    through the means.  Its slope says how well estimates predicted so far: 1 if
    their errors are small, 0 if they say nothing.

    :ivar errors: logarithms of the durations over the predictions, the newest last.
    """

    count: int = 0
    mean_estimate: float = 0.0
    mean_duration: float = 0.0
    variance: float = 0.0
    covariance: float = 0.0
    errors: deque[float] = attrs.field(factory=lambda: deque(maxlen=_MAX_ERRORS))
    _quantiles: tuple[float, ...] = ()
    _quantiles_at: int = -_QUANTILE_INTERVAL

    @property
    def slope(self) -> float:
        """By how much the duration follows the estimate, from 0 to 1."""
        weight = min(self.count, 1 / _WEIGHT)
        prior = _PRIOR_TASKS * _PRIOR_VARIANCE
        slope = (weight * self.covariance + prior) / (weight * self.variance + prior)
        return min(max(slope, 0.0), 1.0)

    def predict(self, estimate: float) -> float:
        """Return the mean logarithm of the duration for that of an estimate."""
        if not self.count:
            return estimate
        return self.mean_duration + self.slope * (estimate - self.mean_estimate)

    def record(self, estimate: float, duration: float) -> None:
        """Record the logarithms of a task's estimate and duration."""
        self.errors.append(duration - self.predict(estimate))
        self.count += 1
        weight = max(_WEIGHT, 1 / self.count)
        x, y = estimate - self.mean_estimate, duration - self.mean_duration
        self.mean_estimate += weight * x
        self.mean_duration += weight * y
        self.variance = (1 - weight) * (self.variance + weight * x * x)
        self.covariance = (1 - weight) * (self.covariance + weight * x * y)

    def quantile(self, part: float) -> float:
        """Return a quantile of the recent errors."""
        if self.count - self._quantiles_at >= _QUANTILE_INTERVAL:
            self._quantiles, self._quantiles_at = tuple(sorted(self.errors)), self.count
        index = min(int(part * len(self._quantiles)), len(self._quantiles) - 1)
        return self._quantiles[index]


class DurationEstimator(HintSource):
    """Learns the durations of tasks at speed 1 from completed tasks.

    Callers' estimates of some queues are off by up to 90% for each job.  Latest starts,
    backfill and reservations based on them are as far off: a job that takes ten times
    its estimate is started too late, and a gang waits behind work that had to end long
    before.  What a queue and team usually take is often the better figure.  So a job's
    estimate is shrunk toward that, the more the worse the estimates predicted.  Until
    enough tasks of the team in a queue are known, those of the whole queue are used,
    and before that the estimate.

    :param speed: returns the speed of a worker.
    """

    name = "durations"

    def __init__(self, speed: Callable[[str], float] = lambda _: 1.0) -> None:
        self._speed = speed
        self._rows: dict[tuple[str, str], _Row] = {}

    def record(
        self, queue: str, team: str, estimate_s: float, ran_s: float, speed: float
    ) -> None:
        """Record how long a completed task ran, from its start and without a stop.

        :param queue: the queue's name.
        :param speed: that of its worker, or of the slowest one of a gang.
        """
        if estimate_s <= 0 or ran_s <= 0:
            return
        estimate, duration = math.log(estimate_s), math.log(ran_s * speed)
        for key in ((queue, team), (queue, "")):
            # Rows that were not used for the longest time are dropped first.
            row = self._rows.pop(key, None) or _Row()
            if len(self._rows) >= _MAX_ROWS:
                del self._rows[next(iter(self._rows))]
            self._rows[key] = row
            row.record(estimate, duration)
            if not team:
                return

    def _row(self, step: Step) -> _Row | None:
        queue = step.job.queue.name
        for key in ((queue, step.job.team), (queue, "")):
            row = self._rows.get(key)
            if row is not None and row.count >= MIN_TASKS and row.errors:
                return row
        return None

    def _quantile_s(self, step: Step, part: float) -> float:
        row, estimate_s = self._row(step), step.spec.estimate_s
        if row is None or estimate_s <= 0 or step.spec.long_running:
            return 0.0
        estimate = math.log(estimate_s)
        value = row.predict(estimate) + row.quantile(part)
        ratio = min(max(value - estimate, -_LOG_RATIO), _LOG_RATIO)
        return min(max(estimate_s * math.exp(ratio), _MIN_DURATION_S), _MAX_DURATION_S)

    def expected_s(self, step: Step) -> float:
        """Return the median duration of a step's tasks at speed 1."""
        return self._quantile_s(step, 0.5) or step.spec.estimate_s

    def high_s(self, step: Step) -> float:
        """Return a duration at speed 1 that a tenth of such tasks exceed.

        It is 0 if it is not known.
        """
        return self._quantile_s(step, _HIGH)

    def variance(self, step: Step) -> float | None:
        """Return the variance of the logarithms of the durations, if it is known."""
        row = self._row(step)
        if row is None:
            return None
        # Of the inner four fifths, as if they were normally distributed.
        return ((row.quantile(0.9) - row.quantile(0.1)) / 2.563) ** 2

    def is_straggler(self, run: Run, now: float) -> bool:
        """Return whether a run takes far longer than such tasks do.

        Of some work 3% takes seven times as long.  Such a run says little of its
        worker.  On a slow worker all runs take longer, but few that much.
        """
        step = run.task.step
        high_s = self.high_s(step)
        if not high_s or not run.confirmed:
            return False
        ran_s = now - run.started_at
        if run.percent > 0:
            ran_s = max(ran_s, (run.percent_at - run.started_at) * 100 / run.percent)
        limit_s = _STRAGGLER_FACTOR * max(high_s, step.spec.estimate_s)
        return ran_s * self._speed(run.worker) > limit_s

    # Jobs.

    def refresh(self, job_table: JobTable, now: float) -> None:
        """Update the durations and critical paths of the jobs with waiting steps.

        This is done at most about once a second for each job.
        """
        for step in job_table.open_steps.values():
            job = step.job
            if now - job.durations_at >= _REFRESH_S:
                job.durations_at = now
                self.update_job(job)

    def update_job(self, job: Job) -> None:
        """Set the durations of a job's steps to what is known of them now."""
        for step in job.steps.values():
            step.high_s = self.high_s(step)
            step.expected_s = self.expected_s(step) if step.high_s else 0.0
        job.update_critical_paths()

    # Hints for the next lead.

    def to_hints(self) -> tuple[HintRow, ...]:
        """Return what is known, the rows with the most tasks first.

        A row holds the queue, the team, the number of tasks, the moments and some
        quantiles of the errors.
        """
        ranked = sorted(self._rows.items(), key=lambda item: -item[1].count)
        return tuple(
            (
                *key,
                row.count,
                *(
                    round(value, 3)
                    for value in (
                        row.mean_estimate,
                        row.mean_duration,
                        row.variance,
                        row.covariance,
                        *(row.quantile(part) for part in _HINT_QUANTILES),
                    )
                ),
            )
            for key, row in ranked[:MAX_HINTS]
            if row.errors
        )

    def apply_hints(self, rows: Sequence[HintRow]) -> None:
        """Use what an earlier lead learned of queues and teams not yet known.

        The values count for at most fifty tasks; malformed rows are left out.
        """
        for row in rows[:MAX_HINTS]:
            match row:
                case (str(queue), str(team), int(count), *values) if all(
                    isinstance(value, int | float) for value in values
                ):
                    pass
                case _:
                    continue
            if len(values) != 4 + len(_HINT_QUANTILES) or (queue, team) in self._rows:
                continue
            if count < 1 or not all(math.isfinite(v) and abs(v) < 30 for v in values):
                continue
            estimate, duration, variance, covariance, *errors = values
            known = _Row(
                min(count, _MAX_HINT_TASKS),
                estimate,
                duration,
                max(variance, 0.0),
                covariance,
            )
            known.errors.extend(errors)
            self._rows[queue, team] = known
