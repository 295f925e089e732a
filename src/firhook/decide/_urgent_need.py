"""The CPU need of recent urgent work, for which workers keep headroom."""

from collections.abc import Sequence

from firhook._peer_messages import HintRow
from firhook.decide._hints import HintSource

#: The weight of the newest urgent step in the running mean of their CPU need.  About
#: the last twenty steps count.
_URGENT_WEIGHT = 0.1
#: The largest need that is taken from hints, in millicores: a thousand cores.
_MAX_NEED_M = 1_000_000


class UrgentNeed(HintSource):
    """The running mean of the CPU need of urgent tasks.

    :ivar cpu_m: the mean in millicores; 0 if there were none.
    """

    name = "urgent_need"

    def __init__(self) -> None:
        self.cpu_m = 0

    def update(self, cpu_m: int) -> None:
        """Add the need of the tasks of a step."""
        self.cpu_m += int((cpu_m - self.cpu_m) * _URGENT_WEIGHT)

    def to_hints(self) -> Sequence[HintRow]:
        """Return the mean in one row, or no row if there was no urgent work."""
        return [(self.cpu_m,)] if self.cpu_m else []

    def apply_hints(self, rows: Sequence[HintRow]) -> None:
        """Start from an earlier lead's mean, unless urgent work was placed already."""
        for row in rows:
            value = row[0]
            if not self.cpu_m and type(value) is int and 0 < value <= _MAX_NEED_M:
                self.cpu_m = value
