"""Which workers are left alone because of what became of their runs."""

import attrs

from firhook.cell import RunEnd

#: Failures in a row, of different jobs, after which a worker is left alone.  A
#: job that can never be done fails wherever it runs, so that failures of one
#: job count once; three jobs of that kind in a row on one worker are rare where
#: one job in a hundred is hopeless.
MAX_CONSECUTIVE_FAILURES = 3
#: How long a worker is left alone at first, and at most.
INITIAL_BACKOFF_S = 2.0
MAX_BACKOFF_S = 10.0


@attrs.define(slots=True, eq=False)
class WorkerHealth:
    """What became of the runs of one worker.

    Load: a worker that fails all it starts ends its runs within milliseconds,
    so that it always has room and draws most of what waits.  Harm: each task
    has a few attempts only; within seconds many jobs would have failed for
    good.  A worker whose runs fail for several jobs in a row is left alone for
    a while, and then tried with one task until one is done.

    :ivar failed_jobs: jobs whose runs failed since the last one that was done.
    :ivar backoff_until: when it may be tried again.
    :ivar probation: whether it may have one task at a time only.
    """

    failed_jobs: set[str] = attrs.field(factory=set)
    backoff_until: float = 0.0
    backoff_s: float = INITIAL_BACKOFF_S
    probation: bool = False

    def record_end(self, job: str, end: RunEnd, now: float) -> bool:
        """Take note of how a run ended; return whether a rest begins."""
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
        """Take note that what it runs stands still."""
        if now >= self.backoff_until:
            self._back_off(now)

    def _back_off(self, now: float) -> None:
        self.backoff_until = now + self.backoff_s
        self.backoff_s = min(self.backoff_s * 2, MAX_BACKOFF_S)
        self.probation = True

    def accepts(self, running: int, now: float) -> bool:
        """Return whether new work may start on it.

        :param running: the runs that are on it now.
        """
        if now < self.backoff_until:
            return False
        return not self.probation or running == 0
