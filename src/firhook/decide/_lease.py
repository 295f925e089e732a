"""Leases on monotonic clocks: the holder's view expires before the others' view."""

import attrs

#: Maximum relative drift between the monotonic clocks of two machines.
MAX_CLOCK_DRIFT = 0.01


@attrs.define(slots=True)
class HeldLease:
    """A lease as its holder may rely on it.

    :ivar expires_at: expiry, counted from *before* the claim or renewal was
        sent; others can only have read it later.
    """

    expires_at: float = float("-inf")

    def renew(self, sent_at: float, lease_s: float) -> None:
        """Record a claim or renewal that was read back as valid."""
        self.expires_at = max(self.expires_at, sent_at + lease_s)

    def is_held(self, now: float) -> bool:
        """Return whether the lease is certainly held."""
        return now < self.expires_at

    def invalidate(self) -> None:
        """Drop the lease until it is renewed.

        Called after a stall of the event loop: a clock value that was read before
        the stall may make an expired lease look valid.
        """
        self.expires_at = float("-inf")


@attrs.define(slots=True)
class ObservedLease:
    """A lease as others must respect it.

    :ivar read_at: when its last claim or renewal was *read*.  The holder sent it
        earlier, so the lease expires for the holder before it expires here.
    """

    read_at: float = float("-inf")

    def has_expired(self, now: float, lease_s: float, margin_s: float) -> bool:
        """Return whether the holder has certainly stopped relying on the lease."""
        return now > self.read_at + lease_s * (1 + MAX_CLOCK_DRIFT) + margin_s


def to_worker_clock(stamp: float, read_at: float, until: float) -> float:
    """Convert an order's expiry to a worker's clock.

    The worker stamped its report before this instance read it, so at ``until`` the
    worker's clock shows at least ``stamp + (until - read_at)``, less the drift.
    The worker refuses orders that arrive later.

    :param stamp: the worker's clock in its last report.
    :param read_at: when that report was read, on this instance's clock.
    :param until: the expiry, on this instance's clock.
    """
    return stamp + (until - read_at) * (1 - MAX_CLOCK_DRIFT)


def latest_end(moment: float, span_s: float) -> float:
    """Return the latest end of a duration that is measured on another clock.

    :param moment: its latest possible start, on this clock.
    :param span_s: its length on a clock that may be slow by the maximum drift.
    """
    return moment + span_s / (1 - MAX_CLOCK_DRIFT)
