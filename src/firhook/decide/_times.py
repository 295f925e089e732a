"""How long requests hold a slot, learnt from those that ended."""

from collections import OrderedDict

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


@attrs.define(slots=True)
class _Kind:
    """What is known of a kind, and since when."""

    mean_s: float
    learnt_at: float


class ServiceTimes:
    """Moving averages of slot seconds by team, class, method and path."""

    def __init__(self) -> None:
        self._kinds: OrderedDict[tuple[str, ...], _Kind] = OrderedDict()
        self.mean_s = _DEFAULT_S
        self._count = 0

    def expect(self, kind: tuple[str, ...]) -> float:
        """Return how long a request of the kind is expected to take.

        A kind never seen counts as an average request: to take it for short
        would let long work in by the slots kept for short work, to take it
        for long would make a team's first quote wait.
        """
        known = self._kinds.get(kind)
        return known.mean_s if known else self.mean_s

    def at_least(self, kind: tuple[str, ...], now: float) -> float:
        """Return how long it takes at least, for all that is known for certain.

        Nothing is certain of a kind never seen, and little of one not seen
        lately.
        """
        known = self._kinds.get(kind)
        if known is None:
            return 0.0
        return known.mean_s * 0.5 ** ((now - known.learnt_at) / _DOUBT_S)

    def knows(self, kind: tuple[str, ...]) -> bool:
        """Return whether a request of the kind has ended before."""
        return kind in self._kinds

    def learn(self, kind: tuple[str, ...], took_s: float, now: float) -> None:
        """Take in how long a request of the kind took."""
        known = self._kinds.pop(kind, None)
        if known is None:
            known = _Kind(took_s, now)
            while len(self._kinds) >= _KINDS:
                self._kinds.popitem(last=False)
        self._kinds[kind] = known
        known.mean_s += _ALPHA * (took_s - known.mean_s)
        known.learnt_at = now
        self._count += 1
        self.mean_s += max(_MEAN_ALPHA, 1 / self._count) * (took_s - self.mean_s)
