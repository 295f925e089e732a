"""How long requests hold a slot, learnt from those that ended."""

from collections import OrderedDict

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


class ServiceTimes:
    """Moving averages of slot seconds by team, class, method and path."""

    def __init__(self) -> None:
        self._kinds: OrderedDict[tuple[str, ...], float] = OrderedDict()
        self.mean_s = _DEFAULT_S
        self._count = 0

    def expect(self, kind: tuple[str, ...]) -> float:
        """Return how long a request of the kind is expected to take.

        A kind never seen counts as an average request: to take it for short
        would let long work in by the slots kept for short work, to take it
        for long would make a team's first quote wait.
        """
        return self._kinds.get(kind, self.mean_s)

    def knows(self, kind: tuple[str, ...]) -> bool:
        """Return whether a request of the kind has ended before."""
        return kind in self._kinds

    def learn(self, kind: tuple[str, ...], took_s: float) -> None:
        """Take in how long a request of the kind took."""
        known = self._kinds.pop(kind, None)
        if known is None:
            known = took_s
            while len(self._kinds) >= _KINDS:
                self._kinds.popitem(last=False)
        self._kinds[kind] = known + _ALPHA * (took_s - known)
        self._count += 1
        self.mean_s += max(_MEAN_ALPHA, 1 / self._count) * (took_s - self.mean_s)
