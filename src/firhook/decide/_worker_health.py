"""Decides which workers get no new work because their runs or starts failed."""

import math
from collections.abc import Iterable

import attrs

from firhook.cell import Run, RunEnd

#: Consecutive failures of different jobs after which a worker gets no new work.  A
#: job that cannot succeed fails on every worker, so the failures of one job count
#: once.  Three such jobs in a row on one worker are rare when one job in a hundred
#: cannot succeed.
MAX_CONSECUTIVE_FAILURES = 3
#: Failures longer ago than this say nothing about a worker's present state.
FAILURE_WINDOW_S = 30.0
#: How long a worker gets no new work, at first and at most.
INITIAL_BACKOFF_S = 2.0
MAX_BACKOFF_S = 10.0
#: How long a worker gets no new work if most others of its pool get less as well.
BUSY_PAUSE_S = 0.2
#: A run on trial shows that its worker is sound once it has worked for longer than
#: those that failed there, but for this time at least.
MIN_PROOF_S = 1.0
#: The largest part of a pool that gets less work.
_MAX_BACKOFF_SHARE = 0.5


@attrs.define(slots=True, eq=False)
class WorkerHealth:
    """Tracks how the runs of one worker ended.

    A faulty worker may fail every run within milliseconds.  It then always has free
    capacity and attracts most of the waiting work.  Tasks have few attempts, so
    within seconds many jobs would fail for good.  A worker whose runs fail for
    several jobs in a row gets no new work for a while, and is on probation then: it
    gets one task at a time, on trial.  So does a worker that refuses a start as busy
    or full, or that answers polls but no start.  It looks idle, and the next round
    would choose it again for the same task.

    Probation ends when a run completes, or when a run on trial has worked for longer
    than the failed ones: tasks that last never complete.  Runs from before say
    nothing of what starts now, so they neither end the probation nor are on trial.  A
    run on trial that shows nothing delays the next one by the longest backoff at most.
    Probation also ends once the last failure is long ago: a gang with several members
    for one worker never fits while it lasts, and nothing else may come there.

    :ivar failed_at: when jobs last failed on it, since it last proved to be sound.
    :ivar longest_failed_s: how long the longest of these runs had run.
    :ivar backoff_until: when it may get new work again.
    :ivar backoff_s: the duration of the next backoff.
    :ivar probation: whether it may have only one task on trial.
    :ivar judged_at: when the last backoff began; runs begun later are on trial.
    """

    failed_at: dict[str, float] = attrs.field(factory=dict)
    longest_failed_s: float = 0.0
    backoff_until: float = 0.0
    backoff_s: float = INITIAL_BACKOFF_S
    probation: bool = False
    judged_at: float = -math.inf

    def record_end(
        self,
        job: str,
        end: RunEnd,
        now: float,
        ran_s: float = 0.0,
        may_back_off: bool = True,
    ) -> bool:
        """Record how a run ended, and return whether a backoff begins.

        :param ran_s: how long it ran, in seconds.
        :param may_back_off: see :func:`may_back_off`; if not, it only pauses.
        """
        if end is RunEnd.DONE:
            self._clear()
            return False
        if end is not RunEnd.FAILED:
            return False
        since = now - FAILURE_WINDOW_S
        self.failed_at = {j: at for j, at in self.failed_at.items() if at >= since}
        self.failed_at[job] = now
        self.longest_failed_s = max(self.longest_failed_s, ran_s)
        if not self.probation and len(self.failed_at) < MAX_CONSECUTIVE_FAILURES:
            return False
        return self._back_off(now, may_back_off)

    def record_stall(self, now: float, may_back_off: bool = True) -> None:
        """Record that one of its runs is stalled.

        :param may_back_off: see :func:`may_back_off`; if not, it only pauses.
        """
        if now >= self.backoff_until:
            self._back_off(now, may_back_off)

    def record_refusal(self, now: float, may_back_off: bool) -> None:
        """Record that it refused a start, or answers polls but not the start.

        :param may_back_off: see :func:`may_back_off`; if not, it only pauses.
        """
        if now >= self.backoff_until:
            self._back_off(now, may_back_off)

    def record_work(self, runs: Iterable[Run], now: float) -> bool:
        """Record the runs that it reports; return whether they end the probation."""
        if not self.probation:
            return False
        proof_s = min(max(self.longest_failed_s, MIN_PROOF_S), MAX_BACKOFF_S)
        for run in runs:
            if self._is_later(run) and is_working(run, now - proof_s):
                self._clear()
                return True
        return False

    def expire(self, now: float) -> bool:
        """End a probation whose last failure is long ago; return whether it ended."""
        if not self.probation or now - self.judged_at < FAILURE_WINDOW_S:
            return False
        self._clear()
        return True

    def count_on_trial(self, runs: Iterable[Run], now: float) -> int:
        """Return how many of its runs are on trial; none unless it is on probation."""
        if not self.probation:
            return 0
        since = now - MAX_BACKOFF_S
        return sum(self._is_later(run) and run.started_at > since for run in runs)

    def accepts(self, on_trial: int, now: float) -> bool:
        """Return whether new work may start on the worker.

        :param on_trial: the number of its runs that are on trial.
        """
        if now < self.backoff_until:
            return False
        return not self.probation or on_trial == 0

    def _is_later(self, run: Run) -> bool:
        return run.started_at >= self.judged_at

    def _back_off(self, now: float, may_back_off: bool) -> bool:
        if not may_back_off:
            self.backoff_until = now + BUSY_PAUSE_S
            return False
        self.backoff_until = now + self.backoff_s
        self.backoff_s = min(self.backoff_s * 2, MAX_BACKOFF_S)
        self.probation, self.judged_at = True, now
        return True

    def _clear(self) -> None:
        self.failed_at.clear()
        self.longest_failed_s = 0.0
        self.probation = False
        self.backoff_s = INITIAL_BACKOFF_S


def is_working(run: Run, since: float) -> bool:
    """Return whether a run is known to work, and began before a time.

    A task that lasts reports that it is at work, any other one that it progresses.
    """
    if not run.confirmed or run.stop_reason or run.started_at > since:
        return False
    idle_percent = 0.0 if run.task.step.spec.long_running else run.first_percent
    return run.percent > max(idle_percent, 0.0)


def may_back_off(health: WorkerHealth, pool: Iterable[WorkerHealth]) -> bool:
    """Return whether a worker may get less work than the others of its pool.

    If most of a pool refuses starts, stalls or fails what it runs, the cause is not in
    the workers, and it may end at any moment.

    :param pool: all workers of its pool, including this one.
    """
    others = [other for other in pool if other is not health]
    count = sum(other.probation for other in others) + 1
    return count <= _MAX_BACKOFF_SHARE * (len(others) + 1)
