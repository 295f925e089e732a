"""How long requests hold a slot, learnt from those that ended."""

from collections import OrderedDict, deque

import attrs

#: Weight of the newest time in a kind's moving average.
_ALPHA = 0.1
#: The same in the average over all requests, which a few long ones among many
#: short ones must not throw about.
_MEAN_ALPHA = 0.005
#: Kinds of request remembered; the one not seen for longest is forgotten.
#: 120 teams with a handful of paths each fit, and no caller that makes up
#: paths can fill the memory.
_KINDS = 2048
_DEFAULT_S = 0.05


#: How soon what was learnt of a kind counts half when a request is to be
#: refused because of it.  Requests refused teach nothing: taken at full weight
#: for good, one slow minute would have a kind refused ever after.
_DOUBT_S = 2.0
#: Times of a kind remembered one by one.  What is longer than all of them comes
#: less than about once in so many requests.
_RECENT = 32
#: Times vary from one request to the next, and by the load of the machine.
_KEEP_MARGIN = 1.1
#: One that runs for longer than all that ended may run for as long again.  An
#: instance that has just started knows the short ones of a kind first.
_OUTLASTS = 2.0
#: A request may wait for the rest of its time at least, however long its kind
#: takes; else the shortest wait would have it refused.
_KEEP_MOST = 0.75


@attrs.define(slots=True)
class _Kind:
    """What is known of a kind, and since when."""

    mean_s: float
    learnt_at: float
    recent_s: deque[float] = attrs.field(factory=lambda: deque(maxlen=_RECENT))


class ServiceTimes:
    """Moving averages of slot seconds by team, class, method and path."""

    def __init__(self) -> None:
        self._kinds: OrderedDict[tuple[str, ...], _Kind] = OrderedDict()
        self.mean_s = _DEFAULT_S
        self._count = 0

    def expected_s(self, kind: tuple[str, ...]) -> float:
        """Return how long a request of the kind is expected to take.

        A kind never seen counts as an average request: to take it for short
        would let long work in by the slots kept for short work, to take it
        for long would make a team's first quote wait.
        """
        known = self._kinds.get(kind)
        return known.mean_s if known else self.mean_s

    def min_service_s(self, kind: tuple[str, ...], now: float) -> float:
        """Return how long it takes at least, for all that is known for certain.

        Nothing is certain of a kind never seen, and little of one not seen
        lately.
        """
        known = self._kinds.get(kind)
        if known is None:
            return 0.0
        return known.mean_s * 0.5 ** ((now - known.learnt_at) / _DOUBT_S)

    def min_remaining_s(
        self, kind: tuple[str, ...], allowed_s: float, running_s: float, now: float
    ) -> float:
        """Return how much time must be left when a request is sent.

        Made for requests that must not run twice, of kinds whose times differ
        widely.  The mean says little of the one that takes a hundred times as
        long; sent too late, it ends after its caller was told that its outcome
        is unknown.  Not sent, it can come back with all of its time.

        Times that would not fit the whole time do not count, since coming back
        would not help.  Nothing is kept for a kind never seen: refused, it would
        never be known.

        :param allowed_s: how long the request had when it came.
        :param running_s: how long the oldest one of the kind has been running.
        """
        longest_s = self._longest_s(kind, allowed_s, now)
        if longest_s < running_s <= allowed_s:
            longest_s = _OUTLASTS * running_s
        return min(_KEEP_MARGIN * longest_s, _KEEP_MOST * allowed_s)

    def _longest_s(self, kind: tuple[str, ...], most_s: float, now: float) -> float:
        """Return the longest time up to ``most_s``, doubted if none ended lately."""
        known = self._kinds.get(kind)
        if known is None:
            return 0.0
        longest_s = max(known.recent_s)
        if longest_s > most_s:
            longest_s = max((t for t in known.recent_s if t <= most_s), default=0.0)
        # Silence for as long as one takes says nothing: one may be running.
        silent_s = max(now - known.learnt_at - longest_s, 0.0)
        return longest_s * 0.5 ** (silent_s / _DOUBT_S)

    def has_seen(self, kind: tuple[str, ...]) -> bool:
        """Return whether a request of the kind has ended before."""
        return kind in self._kinds

    def record(self, kind: tuple[str, ...], took_s: float, now: float) -> None:
        """Take in how long a request of the kind took."""
        known = self._kinds.pop(kind, None)
        if known is None:
            known = _Kind(took_s, now)
            while len(self._kinds) >= _KINDS:
                self._kinds.popitem(last=False)
        self._kinds[kind] = known
        known.mean_s += _ALPHA * (took_s - known.mean_s)
        known.learnt_at = now
        known.recent_s.append(took_s)
        self._count += 1
        self.mean_s += max(_MEAN_ALPHA, 1 / self._count) * (took_s - self.mean_s)
