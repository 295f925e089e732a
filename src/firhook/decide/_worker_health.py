"""Decides which workers get no new work because their runs or starts failed."""

from collections.abc import Iterable

import attrs

from firhook.cell import RunEnd

#: Consecutive failures of different jobs after which a worker gets no new work.  A
#: job that cannot succeed fails on every worker, so the failures of one job count
#: once.  Three such jobs in a row on one worker are rare when one job in a hundred
#: cannot succeed.
MAX_CONSECUTIVE_FAILURES = 3
#: How long a worker gets no new work, at first and at most.
INITIAL_BACKOFF_S = 2.0
MAX_BACKOFF_S = 10.0
#: How long a busy worker gets no new work if most others are busy as well.
BUSY_PAUSE_S = 0.2
#: The largest part of a pool that gets less work because starts were refused as busy.
_MAX_BACKOFF_SHARE = 0.5


@attrs.define(slots=True, eq=False)
class WorkerHealth:
    """Tracks how the runs of one worker ended.

    A faulty worker may fail every run within milliseconds.  It then always has free
    capacity and attracts most of the waiting work.  Tasks have few attempts, so
    within seconds many jobs would fail for good.  A worker whose runs fail for
    several jobs in a row gets no new work for a while, then one task at a time
    until one completes.  So does a worker that refuses a start as busy or full, or
    that answers polls but no start.  It looks idle, and the next round would choose it
    again for the same task.

    :ivar failed_jobs: jobs whose runs failed since the last completed run.
    :ivar backoff_until: when it may get new work again.
    :ivar backoff_s: the duration of the next backoff.
    :ivar probation: whether it may have only one task at a time.
    """

    failed_jobs: set[str] = attrs.field(factory=set)
    backoff_until: float = 0.0
    backoff_s: float = INITIAL_BACKOFF_S
    probation: bool = False

    def record_end(self, job: str, end: RunEnd, now: float) -> bool:
        """Record how a run ended, and return whether a backoff begins."""
        if end is RunEnd.DONE:
            self.failed_jobs.clear()
            self.probation = False
            self.backoff_s = INITIAL_BACKOFF_S
            return False
        if end is not RunEnd.FAILED:
            return False
        self.failed_jobs.add(job)
        if not self.probation and len(self.failed_jobs) < MAX_CONSECUTIVE_FAILURES:
            return False
        self._back_off(now)
        return True

    def record_stall(self, now: float) -> None:
        """Record that one of its runs is stalled."""
        if now >= self.backoff_until:
            self._back_off(now)

    def record_refusal(self, now: float, may_back_off: bool) -> None:
        """Record that it refused a start, or answers polls but not the start.

        :param may_back_off: see :func:`may_back_off`; if not, it only pauses.
        """
        if now < self.backoff_until:
            return
        if may_back_off:
            self._back_off(now)
        else:
            self.backoff_until = now + BUSY_PAUSE_S

    def _back_off(self, now: float) -> None:
        self.backoff_until = now + self.backoff_s
        self.backoff_s = min(self.backoff_s * 2, MAX_BACKOFF_S)
        self.probation = True

    def accepts(self, running: int, now: float) -> bool:
        """Return whether new work may start on the worker.

        :param running: the number of its current runs.
        """
        if now < self.backoff_until:
            return False
        return not self.probation or running == 0


def may_back_off(health: WorkerHealth, pool: Iterable[WorkerHealth]) -> bool:
    """Return whether a busy worker may get less work than the others of its pool.

    If most of a pool refuses starts, the cause is not in the workers, and it may end
    at any moment.

    :param pool: all workers of its pool, including the busy one.
    """
    others = [other for other in pool if other is not health]
    count = sum(other.probation for other in others) + 1
    return count <= _MAX_BACKOFF_SHARE * (len(others) + 1)
