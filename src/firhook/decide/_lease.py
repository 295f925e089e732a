"""Leases on monotonic clocks: a holder counts early, the others count late."""

import attrs

#: Monotonic clocks of two machines drift apart by at most this share.
DRIFT = 0.01


@attrs.define(slots=True)
class HeldLease:
    """A lease as its holder may rely on it.

    :ivar until: when it ends, counted from *before* the claim or renewal was
        sent: the others can only have read it later.
    """

    until: float = float("-inf")

    def renewed(self, sent_at: float, lease_s: float) -> None:
        """Note a claim or renewal that was read back as valid."""
        self.until = max(self.until, sent_at + lease_s)

    def held(self, now: float) -> bool:
        """Return whether the lease is held for certain."""
        return now < self.until

    def void(self) -> None:
        """Forget the lease until it is renewed.

        After a stall of the event loop the clock was read before the stall;
        whatever was believed then may have lapsed since.
        """
        self.until = float("-inf")


@attrs.define(slots=True)
class SeenLease:
    """A lease as others must respect it.

    :ivar read_at: when its last claim or renewal was *read*: the holder sent
        it earlier, so it ends for the holder before it ends here.
    """

    read_at: float = float("-inf")

    def lapsed(self, now: float, lease_s: float, margin_s: float) -> bool:
        """Return whether the holder has certainly stopped relying on it."""
        return now > self.read_at + lease_s * (1 + DRIFT) + margin_s


def not_after(stamp: float, read_at: float, until: float) -> float:
    """Return a lease's end on a worker's clock.

    The worker made its stamp before this instance read it, so the worker's
    clock at ``until`` shows at least ``stamp + (until - read_at)``, less the
    drift.  An order that is on its way past this moment is refused.

    :param stamp: the worker's clock in its last report.
    :param read_at: when that report was read, on this instance's clock.
    :param until: the lease's end, on this instance's clock.
    """
    return stamp + (until - read_at) * (1 - DRIFT)


def latest(moment: float, span_s: float) -> float:
    """Return when a span that another clock counts is over at the latest.

    :param moment: when it began at the latest, on this clock.
    :param span_s: its length on a clock that may be slow by the drift.
    """
    return moment + span_s / (1 - DRIFT)
