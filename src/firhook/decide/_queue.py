"""Fair queue of requests: teams by weighted share, classes by urgency."""

from collections import deque
from collections.abc import Collection, Iterator, Mapping
from typing import Any

import attrs

CLASSES = ("interactive", "standard", "bulk")

#: One of this many requests of a team is the oldest of its less urgent classes.
#: Without it, a steady flow of short requests would starve the team's own bulk work;
#: with more, the bulk work would delay the short requests.
_LESS_URGENT_INTERVAL = 8


@attrs.define(slots=True, eq=False)
class QueuedRequest:
    """A request that waits for a slot.

    :param klass: urgency, one of :data:`CLASSES`.
    :param arrived: arrival time, in seconds.
    :param deadline: when its caller stops waiting, in seconds.
    :param token: opaque value of the queue's user.
    :param expected_s: how long it is expected to hold a slot.
    :param min_service_s: the service time that it is assumed to need at least.
    :param long: whether it would visibly delay short requests.
    :param tried: keys of the runners that failed the request.
    :param kind: properties shared by requests that take about as long.
    :param allowed_s: total time of the request at its arrival if its caller cannot
        safely repeat it, else 0.
    :param queued: whether it is in the queue.
    """

    team: str
    klass: str
    arrived: float
    deadline: float
    token: Any = None
    expected_s: float = 0.05
    min_service_s: float = 0.0
    long: bool = False
    tried: list[str] = attrs.field(factory=list)
    kind: tuple[str, ...] = ()
    allowed_s: float = 0.0
    queued: bool = False


@attrs.define(slots=True, eq=False)
class _TeamQueue:
    """One team's requests, by class and by whether they are long.

    :ivar work_s: expected slot seconds of the waiting requests, by class.
    :ivar dispatched: number of requests taken from the queue.
    :ivar virtual_time: slot seconds used, divided by the team's weight.
    """

    lanes: dict[tuple[str, bool], deque[QueuedRequest]] = attrs.field(factory=dict)
    work_s: dict[str, float] = attrs.field(factory=dict)
    count: int = 0
    dispatched: int = 0
    virtual_time: float = 0.0

    def head(self, klass: str, long_allowed: bool) -> QueuedRequest | None:
        """Return the oldest request of a class that may be dispatched now."""
        heads = [
            head
            for long in (False, True)
            if (long_allowed or not long)
            and (head := _first_queued(self.lanes.get((klass, long)))) is not None
        ]
        return min(heads, key=lambda item: item.arrived, default=None)

    def choose(self, long_allowed: bool) -> QueuedRequest | None:
        """Return the team's next request."""
        heads = [h for c in CLASSES if (h := self.head(c, long_allowed)) is not None]
        if not heads:
            return None
        if (
            len(heads) > 1
            and self.dispatched % _LESS_URGENT_INTERVAL == _LESS_URGENT_INTERVAL - 1
        ):
            return min(heads[1:], key=lambda item: item.arrived)
        return heads[0]


def _first_queued(lane: deque[QueuedRequest] | None) -> QueuedRequest | None:
    """Return the first queued request after dropping removed ones."""
    while lane and not lane[0].queued:
        lane.popleft()
    return lane[0] if lane else None


class FairQueue:
    """Waiting requests by team and class, scheduled by weighted fair queueing.

    Designed for a full fleet with teams and requests of very different sizes.
    Each team has a virtual time that advances by the slot seconds that its
    requests use, divided by its weight; the team with the smallest virtual time
    is next.  Counting requests instead would give a team of long requests most of
    the fleet.  The expected time is charged when a request leaves the queue, so a
    team cannot take every slot before its first request ends.  :meth:`settle`
    corrects the charge once the actual time is known.

    A team that was idle restarts at the current virtual time.  It can neither
    accumulate credit nor be starved by active teams, however large they are.
    Taking a request costs O(waiting teams).
    """

    def __init__(self) -> None:
        self._teams: dict[str, _TeamQueue] = {}
        self._virtual_time = 0.0
        self._count = 0

    def __len__(self) -> int:
        return self._count

    def __iter__(self) -> Iterator[QueuedRequest]:
        """Iterate over all waiting requests."""
        for team in self._teams:
            yield from self.items(team)

    def items(self, team: str) -> list[QueuedRequest]:
        """Return a team's waiting requests by urgency and arrival."""
        entry = self._teams[team]
        ordered = []
        for klass in CLASSES:
            lanes = [entry.lanes.get((klass, long), ()) for long in (False, True)]
            items = [i for lane in lanes for i in lane if i.queued]
            ordered += sorted(items, key=lambda item: item.arrived)
        return ordered

    def waiting(self, team: str) -> int:
        """Return how many requests of a team wait."""
        entry = self._teams.get(team)
        return entry.count if entry else 0

    def teams(self) -> list[str]:
        """Return the teams that have requests waiting."""
        return [team for team, entry in self._teams.items() if entry.count]

    def work_ahead_s(self, team: str, klass: str) -> float:
        """Return the team's slot seconds that precede a new request of a class."""
        entry = self._teams.get(team)
        if entry is None:
            return 0.0
        urgent = CLASSES[: CLASSES.index(klass) + 1]
        return sum(entry.work_s.get(c, 0.0) for c in urgent)

    def work_s(self) -> float:
        """Return the expected slot seconds of all waiting requests."""
        return sum(sum(e.work_s.values()) for e in self._teams.values() if e.count)

    def push(self, item: QueuedRequest) -> None:
        """Add a request."""
        entry = self._teams.setdefault(item.team, _TeamQueue())
        if entry.count == 0:
            entry.virtual_time = max(entry.virtual_time, self._virtual_time)
        lane = entry.lanes.setdefault((item.klass, item.long), deque())
        lane.append(item)
        self._add(entry, item)

    def _add(self, entry: _TeamQueue, item: QueuedRequest) -> None:
        item.queued = True
        entry.count += 1
        entry.work_s[item.klass] = entry.work_s.get(item.klass, 0.0) + item.expected_s
        self._count += 1

    def pop(
        self,
        weights: Mapping[str, float],
        blocked: Collection[str],
        long_allowed: bool = True,
    ) -> QueuedRequest | None:
        """Take the next request.

        :param weights: weight of each team.
        :param blocked: teams without capacity under their limit now.
        :param long_allowed: whether a long request may be dispatched now.
        """
        best, best_item = None, None
        for team, entry in self._teams.items():
            if not entry.count or team in blocked:
                continue
            if best is not None and entry.virtual_time >= best.virtual_time:
                continue
            item = entry.choose(long_allowed)
            if item is not None:
                best, best_item = entry, item
        if best is None or best_item is None:
            return None
        self._virtual_time = max(self._virtual_time, best.virtual_time)
        best.virtual_time += best_item.expected_s / weights.get(best_item.team, 1.0)
        best.dispatched += 1
        self.remove(best_item)
        return best_item

    def put_back(self, item: QueuedRequest, weights: Mapping[str, float]) -> None:
        """Return a request to the queue that could not be dispatched."""
        entry = self._teams[item.team]
        entry.virtual_time -= item.expected_s / weights.get(item.team, 1.0)
        entry.dispatched -= 1
        lane = entry.lanes.setdefault((item.klass, item.long), deque())
        # Requests leave their lane lazily, so it may still be at the front.
        if not lane or lane[0] is not item:
            lane.appendleft(item)
        self._add(entry, item)

    def settle(
        self, item: QueuedRequest, used_s: float, weights: Mapping[str, float]
    ) -> None:
        """Correct a team's charge once the slot seconds used are known."""
        entry = self._teams.get(item.team)
        if entry is not None:
            weight = weights.get(item.team, 1.0)
            entry.virtual_time += (used_s - item.expected_s) / weight

    def remove(self, item: QueuedRequest) -> bool:
        """Remove a request, and return whether it was queued."""
        if not item.queued:
            return False
        item.queued = False
        entry = self._teams[item.team]
        entry.count -= 1
        entry.work_s[item.klass] = max(entry.work_s[item.klass] - item.expected_s, 0.0)
        if entry.count == 0:
            entry.lanes.clear()
            entry.work_s.clear()
        self._count -= 1
        return True
