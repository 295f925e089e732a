"""The fair queue: teams take turns by share, classes by urgency."""

from collections import deque
from collections.abc import Mapping
from typing import Any

import attrs

CLASSES = ("interactive", "standard", "bulk")


@attrs.define(slots=True, eq=False)
class Waiting:
    """A request that waits for a slot.

    :param arrived: when it came, in seconds.
    :param deadline: when its caller stops waiting, in seconds.
    :param token: whatever the caller of the queue needs to go on with it.
    """

    team: str
    klass: str
    arrived: float
    deadline: float
    token: Any = None


class FairQueue:
    """Waiting requests by team and class, taken by weighted fair turn.

    Each team has a virtual time that advances by the inverse of its share
    with each request taken; the team with the smallest goes next.  A team
    that was away starts at the present virtual time, so that it can neither
    save up turns nor be starved by those who stayed.
    """

    def __init__(self) -> None:
        self._queues: dict[str, dict[str, deque[Waiting]]] = {}
        self._virtual: dict[str, float] = {}
        self._now = 0.0

    def __len__(self) -> int:
        return sum(self.waiting(team) for team in self._queues)

    def waiting(self, team: str) -> int:
        """Return how many requests of a team wait."""
        return sum(len(q) for q in self._queues.get(team, {}).values())

    def teams(self) -> list[str]:
        """Return the teams that have requests waiting."""
        return list(self._queues)

    def push(self, item: Waiting) -> None:
        """Add a request."""
        if self.waiting(item.team) == 0:
            self._virtual[item.team] = max(self._virtual.get(item.team, 0.0), self._now)
        by_class = self._queues.setdefault(item.team, {})
        by_class.setdefault(item.klass, deque()).append(item)

    def pop(self, shares: Mapping[str, float], blocked: set[str]) -> Waiting | None:
        """Take the next request.

        :param shares: weight of each team.
        :param blocked: teams that have no room under their limit now.
        """
        ready = [t for t in self._queues if self.waiting(t) and t not in blocked]
        if not ready:
            return None
        team = min(ready, key=lambda t: (self._virtual[t], t))
        self._now = self._virtual[team]
        self._virtual[team] += 1.0 / shares.get(team, 1.0)
        queues = self._queues[team]
        klass = next(c for c in CLASSES if queues.get(c))
        item = queues[klass].popleft()
        if self.waiting(team) == 0:
            del self._queues[team]
        return item

    def remove(self, item: Waiting) -> bool:
        """Take out a request whose caller went away or whose time is up."""
        queue = self._queues.get(item.team, {}).get(item.klass)
        if queue is None or item not in queue:
            return False
        queue.remove(item)
        if self.waiting(item.team) == 0:
            del self._queues[item.team]
        return True
