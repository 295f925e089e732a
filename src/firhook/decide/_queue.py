"""The fair queue: teams take turns by share, classes by urgency."""

from collections import deque
from collections.abc import Collection, Iterator, Mapping
from typing import Any

import attrs

CLASSES = ("interactive", "standard", "bulk")

#: One turn in so many of a team goes to the oldest of its less urgent classes.
#: Without it a team's steady quotes would hold back its own bulk work for
#: good; with more, its quotes would feel the bulk work.
_LOWER_TURN = 8


@attrs.define(slots=True, eq=False)
class QueuedRequest:
    """A request that waits for a slot.

    :param arrived: when it came, in seconds.
    :param deadline: when its caller stops waiting, in seconds.
    :param token: whatever the caller of the queue needs to go on with it.
    :param expected_s: how long it is expected to hold a slot.
    :param needs_s: the least time it needs, for all that is known for certain.
    :param long: whether it would hold a slot long enough for short requests
        to feel it.
    :param tried: keys of runners that failed it already.
    :param kind: what requests that take about as long have in common.
    :param allowed_s: how long it had when it came, if its caller cannot safely
        repeat it; else 0.
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
    """One team's requests, by class and by whether they are long."""

    lanes: dict[tuple[str, bool], deque[QueuedRequest]] = attrs.field(factory=dict)
    work_s: dict[str, float] = attrs.field(factory=dict)
    count: int = 0
    turns: int = 0
    virtual: float = 0.0

    def head(self, klass: str, long_allowed: bool) -> QueuedRequest | None:
        """Return the oldest request of a class that may go now."""
        heads = [
            head
            for long in (False, True)
            if (long_allowed or not long)
            and (head := _first(self.lanes.get((klass, long)))) is not None
        ]
        return min(heads, key=lambda item: item.arrived, default=None)

    def choose(self, long_allowed: bool) -> QueuedRequest | None:
        """Return the request whose turn it is within the team."""
        heads = [h for c in CLASSES if (h := self.head(c, long_allowed)) is not None]
        if not heads:
            return None
        if len(heads) > 1 and self.turns % _LOWER_TURN == _LOWER_TURN - 1:
            return min(heads[1:], key=lambda item: item.arrived)
        return heads[0]


def _first(lane: deque[QueuedRequest] | None) -> QueuedRequest | None:
    """Return the first that still waits, dropping those taken out."""
    while lane and not lane[0].queued:
        lane.popleft()
    return lane[0] if lane else None


class FairQueue:
    """Waiting requests by team and class, taken by weighted fair turn.

    Made for a full fleet with teams of very unlike size and unlike requests.
    Each team has a virtual time that advances by the slot seconds that its
    requests use, over its weight; the team with the smallest goes next.  Turns
    counted by request would give a team of long requests most of the fleet.
    The expected time is charged when a request leaves the queue, so that a
    team cannot take every slot before its first request ends, and is put
    right by :meth:`settle` once the true time is known.

    A team that was away starts at the present virtual time: it can neither
    save up turns nor be starved by those who stayed, however large they are.
    Taking a request costs one look at each team that waits.
    """

    def __init__(self) -> None:
        self._teams: dict[str, _TeamQueue] = {}
        self._now = 0.0
        self._count = 0

    def __len__(self) -> int:
        return self._count

    def __iter__(self) -> Iterator[QueuedRequest]:
        """Iterate over all waiting requests."""
        for team in self._teams:
            yield from self.items(team)

    def items(self, team: str) -> list[QueuedRequest]:
        """Return a team's waiting requests in order of its turns."""
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
        """Return the slot seconds that go before a new request of the team."""
        entry = self._teams.get(team)
        if entry is None:
            return 0.0
        urgent = CLASSES[: CLASSES.index(klass) + 1]
        return sum(entry.work_s.get(c, 0.0) for c in urgent)

    def work_s(self) -> float:
        """Return the slot seconds of all that waits."""
        return sum(sum(e.work_s.values()) for e in self._teams.values() if e.count)

    def push(self, item: QueuedRequest) -> None:
        """Add a request."""
        entry = self._teams.setdefault(item.team, _TeamQueue())
        if entry.count == 0:
            entry.virtual = max(entry.virtual, self._now)
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
        :param blocked: teams that have no room under their limit now.
        :param long_ok: whether a long request may go now.
        """
        best, best_item = None, None
        for team, entry in self._teams.items():
            if not entry.count or team in blocked:
                continue
            if best is not None and entry.virtual >= best.virtual:
                continue
            item = entry.choose(long_allowed)
            if item is not None:
                best, best_item = entry, item
        if best is None or best_item is None:
            return None
        self._now = max(self._now, best.virtual)
        best.virtual += best_item.expected_s / weights.get(best_item.team, 1.0)
        best.turns += 1
        self.remove(best_item)
        return best_item

    def put_back(self, item: QueuedRequest, weights: Mapping[str, float]) -> None:
        """Undo the taking of a request that could not go after all."""
        entry = self._teams[item.team]
        entry.virtual -= item.expected_s / weights.get(item.team, 1.0)
        entry.turns -= 1
        lane = entry.lanes.setdefault((item.klass, item.long), deque())
        # Taken requests leave their lane lazily: it may still be at the front.
        if not lane or lane[0] is not item:
            lane.appendleft(item)
        self._add(entry, item)

    def settle(
        self, item: QueuedRequest, used_s: float, weights: Mapping[str, float]
    ) -> None:
        """Put a team's charge right, now that the slot seconds are known."""
        entry = self._teams.get(item.team)
        if entry is not None:
            weight = weights.get(item.team, 1.0)
            entry.virtual += (used_s - item.expected_s) / weight

    def remove(self, item: QueuedRequest) -> bool:
        """Take out a request whose caller went away or whose time is up."""
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
