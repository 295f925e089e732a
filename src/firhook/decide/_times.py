"""Estimates of how long requests hold a slot, from those that ended."""

from collections import OrderedDict, deque

import attrs

#: Weight of the newest sample in a kind's moving average.
_ALPHA = 0.1
#: The same for the average over all requests, which must stay stable when a few
#: long requests are mixed with many short ones.
_MEAN_ALPHA = 0.005
#: Maximum number of kinds; the least recently seen is evicted.  120 teams with a
#: handful of paths each fit, and callers that invent paths cannot exhaust memory.
_MAX_KINDS = 2048
_DEFAULT_S = 0.05


#: Half-life of a kind's estimate when it is used to refuse requests.  Refused
#: requests yield no samples, so without this decay a kind would be refused forever
#: after one slow minute.
_CONFIDENCE_HALF_LIFE_S = 2.0
#: Number of recent samples kept per kind.  Longer times than all of them occur less
#: than about once in this many requests.
_RECENT_SAMPLES = 32
#: Margin on the longest sample, since times vary with request and machine load.
_REMAINING_MARGIN = 1.1
#: A request that runs longer than all samples may run as long again.  A freshly
#: started instance sees the short requests of a kind end first.
_OUTLIER_FACTOR = 2.0
#: Maximum fraction of a request's time that is reserved for its execution.  If all
#: of it could be reserved, the shortest wait would cause a refusal.
_MAX_RESERVED_FRACTION = 0.75


@attrs.define(slots=True)
class _Kind:
    """Samples of one kind of request and the time of the latest."""

    mean_s: float
    updated_at: float
    recent_s: deque[float] = attrs.field(factory=lambda: deque(maxlen=_RECENT_SAMPLES))


class ServiceTimes:
    """Estimates of slot seconds by team, class, method and path."""

    def __init__(self) -> None:
        self._kinds: OrderedDict[tuple[str, ...], _Kind] = OrderedDict()
        self.mean_s = _DEFAULT_S
        self._count = 0

    def expected_s(self, kind: tuple[str, ...]) -> float:
        """Return how long a request of the kind is expected to take.

        An unknown kind counts as an average request.  If it counted as short, long
        requests could take the slots kept for short ones; if it counted as long, a
        team's first short request would have to wait.
        """
        known = self._kinds.get(kind)
        return known.mean_s if known else self.mean_s

    def min_service_s(self, kind: tuple[str, ...], now: float) -> float:
        """Return the time that a request of the kind is assumed to need at least.

        This is the mean of the kind, which decays if the kind was not seen recently,
        or 0 for an unknown kind.
        """
        known = self._kinds.get(kind)
        if known is None:
            return 0.0
        return known.mean_s * 0.5 ** (
            (now - known.updated_at) / _CONFIDENCE_HALF_LIFE_S
        )

    def min_remaining_s(
        self, kind: tuple[str, ...], allowed_s: float, running_s: float, now: float
    ) -> float:
        """Return how much time must be left when a request is sent.

        Applies to requests that must not run twice, of kinds whose times vary
        widely.  The mean says little about a request that takes a hundred times as
        long.  If it is sent too late, it ends after its caller has received an
        unknown outcome; if it is refused, its caller can retry with its full time.

        Samples longer than the total time do not count, since a retry would not
        help.  No time is required for an unknown kind; if it were refused, it would
        stay unknown.

        :param allowed_s: total time of the request at its arrival.
        :param running_s: how long the oldest request of the kind has been running.
        """
        longest_s = self._longest_s(kind, allowed_s, now)
        if longest_s < running_s <= allowed_s:
            longest_s = _OUTLIER_FACTOR * running_s
        return min(_REMAINING_MARGIN * longest_s, _MAX_RESERVED_FRACTION * allowed_s)

    def _longest_s(self, kind: tuple[str, ...], max_s: float, now: float) -> float:
        """Return the longest sample up to ``max_s``, decayed after inactivity."""
        known = self._kinds.get(kind)
        if known is None:
            return 0.0
        longest_s = max(known.recent_s)
        if longest_s > max_s:
            longest_s = max((t for t in known.recent_s if t <= max_s), default=0.0)
        # Inactivity up to the longest sample says nothing: one may be running.
        idle_s = max(now - known.updated_at - longest_s, 0.0)
        return longest_s * 0.5 ** (idle_s / _CONFIDENCE_HALF_LIFE_S)

    def has_seen(self, kind: tuple[str, ...]) -> bool:
        """Return whether a request of the kind has ended before."""
        return kind in self._kinds

    def record(self, kind: tuple[str, ...], took_s: float, now: float) -> None:
        """Record how long a request of the kind took."""
        known = self._kinds.pop(kind, None)
        if known is None:
            known = _Kind(took_s, now)
            while len(self._kinds) >= _MAX_KINDS:
                self._kinds.popitem(last=False)
        self._kinds[kind] = known
        known.mean_s += _ALPHA * (took_s - known.mean_s)
        known.updated_at = now
        known.recent_s.append(took_s)
        self._count += 1
        self.mean_s += max(_MEAN_ALPHA, 1 / self._count) * (took_s - self.mean_s)
