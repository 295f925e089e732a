"""The leases that a lead grants to a worker, by the clock of its incarnation."""

#: Allows for a worker's clock that runs 2% slower than this instance's.
_CLOCK_DRIFT_FACTOR = 1.021
#: Added to a lease for rounded times and answers in transit.
_EXPIRY_MARGIN_S = 0.15


class WorkerLease:
    """Grants leases to one worker, and knows when all of them have expired.

    The clock of a worker begins anew with each incarnation.  By the clock of an earlier
    one a lease would end at once, and all tasks with it, or as late as the worker
    permits.

    :param duration_s: duration of a lease.
    :param expires_at: when all leases that earlier leads may have granted have expired.
    :ivar expires_at: when all leases have certainly expired, on the boot clock.  Until
        then no task that may run on the worker may start elsewhere.
    """

    def __init__(self, duration_s: float, expires_at: float) -> None:
        self.expires_at = expires_at
        self._duration_s = duration_s
        self._incarnation = 0
        self._clock_s = 0.0
        self._clock_read_at: float | None = None
        self._granted_until_s = 0.0

    @property
    def longest_s(self) -> float:
        """The longest time for which a worker runs tasks after any order or renewal.

        It holds whatever end of the lease the order names.
        """
        return self._duration_s * _CLOCK_DRIFT_FACTOR + _EXPIRY_MARGIN_S

    def begin_incarnation(self, incarnation: int) -> None:
        """Record that the worker has restarted; its clock is not known yet."""
        self._incarnation, self._clock_read_at = incarnation, None
        self._granted_until_s = 0.0

    def read_clock(self, incarnation: int, clock_s: float, now: float) -> None:
        """Record the worker's clock, unless it may be that of another incarnation.

        :param incarnation: the incarnation whose clock it is; 0 if that is not known.
        """
        if incarnation == self._incarnation:
            self._clock_s, self._clock_read_at = clock_s, now

    def note_start_answered(self, now: float) -> None:
        """Record that the worker took a lease from a start, at the latest now.

        A worker that has restarted shortens a lease by the clock of its earlier
        incarnation to the longest one, counted from that moment.
        """
        self.expires_at = max(self.expires_at, now + self.longest_s)

    @property
    def can_be_granted(self) -> bool:
        """Whether the clock of the present incarnation is known."""
        return self._clock_read_at is not None

    def grant(self, now: float, extends: bool = True) -> float:
        """Return the end of a lease granted now, on the worker's clock.

        :param extends: whether the lease may last longer than the last one.
        :return: 0 if the worker's clock is not known, so that the lease has expired.
        """
        if self._clock_read_at is None or (self._granted_until_s and not extends):
            return self._granted_until_s
        lasts_s = now - self._clock_read_at + self._duration_s
        expires_at = (
            self._clock_read_at + lasts_s * _CLOCK_DRIFT_FACTOR + _EXPIRY_MARGIN_S
        )
        self.expires_at = max(self.expires_at, expires_at)
        self._granted_until_s = self._clock_s + lasts_s
        return self._granted_until_s
