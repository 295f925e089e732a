"""Whether the store can be reached from one instance."""

from collections.abc import Iterable

import attrs

#: A call counts as unanswered after so long at least.  The store answers within
#: 10 ms, and within 240 ms on its slowest days.
MIN_ANSWER_TIMEOUT_S = 0.25
#: And after so many times what its answers took lately.
_TIMEOUT_FACTOR = 4.0
#: A call is doubtful after this part of the time.
_DOUBT_FRACTION = 0.3
#: The weight of the newest answer in what answers took lately.
_LATENCY_WEIGHT = 0.2


@attrs.define(slots=True, eq=False)
class _Calls:
    """The calls to one partition: those under way, and how the last one ended."""

    failed: bool = False
    in_flight: dict[int, float] = attrs.field(factory=dict)


class StoreReachability:
    """What an instance's own calls tell of its way to the store.

    Load: the store turns one instance away, or its zone is cut off, while the
    others are served.  Harm: known only from a time-out of a second or more, each
    caller of that instance waits as long for a refusal, and the platform sends it
    more of them for three seconds; half of the quotes of those windows were late.

    The way is lost when no partition is served: each has refused its last call,
    or leaves one unanswered for several times as long as usual.  A store that is
    slow for all stays within that, and one that lost some partitions serves the
    others.

    :param partitions: the numbers of all partitions.
    :ivar mean_latency_s: what answers took lately.
    :ivar answered_at: when the last answer came.
    """

    def __init__(self, partitions: Iterable[int]) -> None:
        self._calls = {number: _Calls() for number in partitions}
        self.mean_latency_s = 0.0
        self.answered_at = float("-inf")
        self._count = 0

    def note_sent(self, partition: int, now: float) -> int:
        """Take note of a call; return its number."""
        self._count += 1
        self._calls[partition].in_flight[self._count] = now
        return self._count

    def note_answered(self, partition: int, call: int, now: float) -> None:
        """Take note that a call was answered."""
        calls = self._calls[partition]
        sent_at = calls.in_flight.pop(call, now)
        # Whatever was sent before it was lost, not refused.
        calls.failed = False
        self.answered_at = now
        self.mean_latency_s += _LATENCY_WEIGHT * (now - sent_at - self.mean_latency_s)

    def note_failed(self, partition: int, call: int) -> None:
        """Take note that a call was refused, or got no answer."""
        calls = self._calls[partition]
        calls.in_flight.pop(call, None)
        calls.failed = True

    def answer_timeout_s(self) -> float:
        """Return after how long a call counts as unanswered."""
        return max(MIN_ANSWER_TIMEOUT_S, _TIMEOUT_FACTOR * self.mean_latency_s)

    def is_doubtful(self, now: float) -> bool:
        """Return whether some partition may not serve this instance.

        The others should be asked then: were each to wait for its own turn, the
        way would be known to be lost only after all of them had one.
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
