"""Tracks whether an instance can reach the store."""

from collections.abc import Iterable

import attrs

#: A call counts as unanswered after this long at the earliest.  The store usually
#: answers within 10 ms and, at its slowest, within 240 ms.
MIN_ANSWER_TIMEOUT_S = 0.25
#: The timeout as a multiple of the mean latency.
_TIMEOUT_FACTOR = 4.0
#: A partition is doubtful after this fraction of the timeout.
_DOUBT_FRACTION = 0.3
#: The weight of the newest answer in the moving average of the latency.
_LATENCY_WEIGHT = 0.2


@attrs.define(slots=True, eq=False)
class _Calls:
    """The calls to one partition: those in flight, and whether the last one failed."""

    failed: bool = False
    in_flight: dict[int, float] = attrs.field(factory=dict)


class StoreReachability:
    """Infers from an instance's own calls whether it can reach the store.

    The store may refuse one instance, or a network partition may isolate its zone,
    while other instances are served.  If this were detected only by a timeout of a
    second or more, each caller of the instance would wait that long for a refusal,
    and the platform would send it more callers for three seconds.  That made half
    of the short requests in such periods late.

    The store is unreachable when no partition serves the instance: each refused the
    last call or has left one unanswered for several times the mean latency.  A
    store that is slow for all instances stays within that limit, and one that lost
    some partitions still serves the others.

    :param partitions: the numbers of all partitions.
    :ivar mean_latency_s: a moving average of the time to an answer, in seconds.
    :ivar answered_at: when the last answer arrived.
    """

    def __init__(self, partitions: Iterable[int]) -> None:
        self._calls = {number: _Calls() for number in partitions}
        self.mean_latency_s = 0.0
        self.answered_at = float("-inf")
        self._count = 0

    def note_sent(self, partition: int, now: float) -> int:
        """Record that a call was sent, and return its number."""
        self._count += 1
        self._calls[partition].in_flight[self._count] = now
        return self._count

    def note_answered(self, partition: int, call: int, now: float) -> None:
        """Record that a call was answered."""
        calls = self._calls[partition]
        sent_at = calls.in_flight.pop(call, now)
        # An answer shows that earlier failed calls were lost, not refused.
        calls.failed = False
        self.answered_at = now
        self.mean_latency_s += _LATENCY_WEIGHT * (now - sent_at - self.mean_latency_s)

    def note_failed(self, partition: int, call: int) -> None:
        """Record that a call was refused, or ended without an answer."""
        calls = self._calls[partition]
        calls.in_flight.pop(call, None)
        calls.failed = True

    def answer_timeout_s(self) -> float:
        """Return how long a call may take before it counts as unanswered."""
        return max(MIN_ANSWER_TIMEOUT_S, _TIMEOUT_FACTOR * self.mean_latency_s)

    def is_doubtful(self, now: float) -> bool:
        """Return whether some partition may have stopped serving this instance.

        The caller should then probe the others.  If each waited for its next
        regular call, a loss would be detected only after every partition had one.
        """
        timeout_s = self.answer_timeout_s() * _DOUBT_FRACTION
        return any(_is_failing(calls, now, timeout_s) for calls in self._calls.values())

    def is_unreachable(self, now: float) -> bool:
        """Return whether no partition serves this instance."""
        timeout_s = self.answer_timeout_s()
        return all(_is_failing(calls, now, timeout_s) for calls in self._calls.values())


def _is_failing(calls: _Calls, now: float, timeout_s: float) -> bool:
    if calls.failed:
        return True
    oldest = min(calls.in_flight.values(), default=now)
    return now - oldest > timeout_s
