"""Leases on monotonic clocks: a holder counts early, the others count late."""

import attrs

#: Monotonic clocks of two machines drift apart by at most this share.
MAX_CLOCK_DRIFT = 0.01


@attrs.define(slots=True)
class HeldLease:
    """A lease as its holder may rely on it.

    :ivar until: when it ends, counted from *before* the claim or renewal was
        sent: the others can only have read it later.
    """

    expires_at: float = float("-inf")

    def renew(self, sent_at: float, lease_s: float) -> None:
        """Note a claim or renewal that was read back as valid."""
        self.expires_at = max(self.expires_at, sent_at + lease_s)

    def is_held(self, now: float) -> bool:
        """Return whether the lease is held for certain."""
        return now < self.expires_at

    def invalidate(self) -> None:
        """Forget the lease until it is renewed.

        After a stall of the event loop the clock was read before the stall;
        whatever was believed then may have lapsed since.
        """
        self.expires_at = float("-inf")


@attrs.define(slots=True)
class ObservedLease:
    """A lease as others must respect it.

    :ivar read_at: when its last claim or renewal was *read*: the holder sent
        it earlier, so it ends for the holder before it ends here.
    """

    read_at: float = float("-inf")

    def has_expired(self, now: float, lease_s: float, margin_s: float) -> bool:
        """Return whether the holder has certainly stopped relying on it."""
        return now > self.read_at + lease_s * (1 + MAX_CLOCK_DRIFT) + margin_s


def to_worker_clock(stamp: float, read_at: float, until: float) -> float:
    """Return a lease's end on a worker's clock.

    The worker made its stamp before this instance read it, so the worker's
    clock at ``until`` shows at least ``stamp + (until - read_at)``, less the
    drift.  An order that is on its way past this moment is refused.

    :param stamp: the worker's clock in its last report.
    :param read_at: when that report was read, on this instance's clock.
    :param until: the lease's end, on this instance's clock.
    """
    return stamp + (until - read_at) * (1 - MAX_CLOCK_DRIFT)


def latest_end(moment: float, span_s: float) -> float:
    """Return when a span that another clock counts is over at the latest.

    :param moment: when it began at the latest, on this clock.
    :param span_s: its length on a clock that may be slow by the drift.
    """
    return moment + span_s / (1 - MAX_CLOCK_DRIFT)
