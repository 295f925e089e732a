"""Whose task is placed next, and on which worker, when the zone is full."""

import heapq
from collections.abc import Mapping, Sequence

import attrs

from firhook.decide._place import CapacityIndex, ResourceNeed
from firhook.model import JobSpec

#: Order of the kinds of work.  Urgent work has a few seconds, a service has
#: users waiting, and a batch run joins the services once its deadline nears.
_RANKS = {"urgent": 0, "service": 1, "batch": 2}
_NEAR_DEADLINE_RANK = 1

#: A batch run goes before others once the time left is less than this many
#: times what its remaining work takes as declared, since declared run times
#: are often far off, ...
RUN_TIME_MARGIN = 2.0
#: ... and in any case in the last minutes before its deadline.
NEAR_DEADLINE_S = 900.0

#: A gang that has waited so long gets room set aside for it.  Before that,
#: room that comes free may serve others at once; after it, a steady flow of
#: small tasks would take each piece before the gang's last piece is free.
GANG_RESERVE_AFTER_S = 30.0


@attrs.frozen(slots=True)
class TaskRequest:
    """Tasks of one job that wait for a place.

    :param indexes: the tasks.
    :param waited_s: how long the job has waited.
    :param time_left_s: time until its deadline, ``inf`` if it has none.
    :param avoid: workers that it shall not go to.
    :param racks: its replicas by rack, for a service.
    """

    job: JobSpec
    indexes: tuple[int, ...]
    waited_s: float = 0.0
    time_left_s: float = float("inf")
    avoid: frozenset[str] = frozenset()
    racks: Mapping[str, int] = attrs.field(factory=dict)

    @property
    def rank(self) -> int:
        """Return its place in the order of kinds, smallest first."""
        rank = _RANKS[self.job.priority]
        if rank > _NEAR_DEADLINE_RANK and self.near_deadline:
            return _NEAR_DEADLINE_RANK
        return rank

    @property
    def near_deadline(self) -> bool:
        """Return whether its deadline is near."""
        return self.time_left_s < max(RUN_TIME_MARGIN * self.job.run_s, NEAR_DEADLINE_S)


@attrs.frozen(slots=True)
class Reservation:
    """Workers set aside for a gang.

    :param free_in_s: when they will be free, by declared run times; a task
        that would certainly be gone by then may still use them.
    """

    job_id: str
    workers: frozenset[str]
    free_in_s: float = 0.0

    def admits(self, job: JobSpec) -> bool:
        """Return whether a job's tasks may use the workers meanwhile."""
        if job.key == self.job_id or job.priority == "urgent":
            return True
        return 0 < job.run_s * RUN_TIME_MARGIN <= self.free_in_s


@attrs.frozen(slots=True)
class Placement:
    """A task and its worker."""

    job_id: str
    index: int
    worker: str


@attrs.define(slots=True)
class PlacementPlan:
    """What was decided in one round.

    :ivar placements: in the order decided.
    :ivar held: jobs that still wait, and why.
    """

    placements: list[Placement] = attrs.field(factory=list)
    held: dict[str, str] = attrs.field(factory=dict)


@attrs.define(slots=True)
class _Round:
    """The working state of one round of placing."""

    capacities: CapacityIndex
    left: dict[str, int]
    reservation: Reservation | None
    plan: PlacementPlan = attrs.field(factory=PlacementPlan)
    full: list[ResourceNeed] = attrs.field(factory=list)


def dominant_share(need: ResourceNeed, total: ResourceNeed) -> float:
    """Return the largest part of the zone that a task takes of any resource."""
    return max(
        need.cpus / total.cpus if total.cpus else 0.0,
        need.memory_mb / total.memory_mb if total.memory_mb else 0.0,
        need.accelerators / total.accelerators if total.accelerators else 0.0,
    )


def plan_placements(
    requests: Sequence[TaskRequest],
    capacities: CapacityIndex,
    used: Mapping[str, float],
    shares: Mapping[str, float],
    left: Mapping[str, int],
    total: ResourceNeed,
    reservation: Reservation | None = None,
) -> PlacementPlan:
    """Return which waiting tasks start where.

    Made for a zone that is full at dawn, with a few large teams and many
    small ones waiting: tasks are taken one at a time from the team that has
    the least running for its share, so that a small team's only job never
    stands behind a large team's thousand.

    :param used: dominant share that each team has running.
    :param shares: each team's weight.
    :param left: how many more tasks each team may start under its limit.
    :param total: what the zone has in all.
    """
    state = _Round(capacities, dict(left), reservation)
    queues: dict[tuple[int, str], list[TaskRequest]] = {}
    for request in sorted(
        requests, key=lambda w: (w.time_left_s, -w.waited_s, w.job.key)
    ):
        queues.setdefault((request.rank, request.job.team), []).append(request)
    usage = dict(used)
    by_rank: dict[int, list[str]] = {}
    for rank, team in queues:
        by_rank.setdefault(rank, []).append(team)
    for rank in sorted(by_rank):
        state.full.clear()
        heap = [(_weighted(usage, shares, team), team) for team in by_rank[rank]]
        heapq.heapify(heap)
        cursors = {team: _Cursor(queues[(rank, team)]) for team in by_rank[rank]}
        while heap:
            _, team = heapq.heappop(heap)
            taken = _turn(state, cursors[team], team)
            if taken is None:
                continue
            need, count = taken
            cost = count * dominant_share(need, total)
            usage[team] = usage.get(team, 0.0) + cost
            heapq.heappush(heap, (_weighted(usage, shares, team), team))
    return state.plan


def _weighted(
    usage: Mapping[str, float], shares: Mapping[str, float], team: str
) -> float:
    return usage.get(team, 0.0) / max(shares.get(team, 1.0), 1e-9)


@attrs.define(slots=True)
class _Cursor:
    """Where a team stands in its own queue."""

    requests: list[TaskRequest]
    at: int = 0
    placed: int = 0
    racks: dict[str, int] | None = None

    def next_want(self) -> None:
        """Go on to the next job."""
        self.at += 1
        self.placed = 0
        self.racks = None


def _turn(state: _Round, cursor: _Cursor, team: str) -> tuple[ResourceNeed, int] | None:
    """Place a team's next task, or gang; return ``None`` if nothing fits."""
    while cursor.at < len(cursor.requests):
        request = cursor.requests[cursor.at]
        need = ResourceNeed.of(request.job)
        count = len(request.indexes) if request.job.gang else 1
        if cursor.placed >= len(request.indexes):
            cursor.next_want()
            continue
        reason = _blocked(state, request, need, count, team)
        chosen = [] if reason else _find(state, cursor, request, need, count)
        if not chosen:
            state.plan.held[request.job.key] = reason or "no worker has room for it now"
            kept = state.reservation
            barred = bool(request.avoid) or (
                kept is not None and not kept.admits(request.job)
            )
            if not reason and not barred and not request.job.gang:
                state.full.append(need)
            cursor.next_want()
            continue
        for worker in chosen:
            index = request.indexes[cursor.placed]
            state.plan.placements.append(Placement(request.job.key, index, worker))
            cursor.placed += 1
        state.left[team] -= count
        return need, count
    return None


def _blocked(
    state: _Round, request: TaskRequest, need: ResourceNeed, count: int, team: str
) -> str:
    if state.left.get(team, 0) < count:
        return "its team is at its limit"
    if any(need.covers(other) for other in state.full):
        return "no worker has room for it now"
    return ""


def _find(
    state: _Round, cursor: _Cursor, request: TaskRequest, need: ResourceNeed, count: int
) -> list[str]:
    avoid = request.avoid
    kept = state.reservation
    if kept is not None and not kept.admits(request.job):
        avoid = avoid | kept.workers
    capacities = state.capacities
    if request.job.gang:
        return capacities.reserve_gang(need, count, avoid) or []
    if request.job.priority == "service":
        if cursor.racks is None:
            cursor.racks = dict(request.racks)
        capacity = capacities.spread_fit(need, cursor.racks, avoid)
        if capacity is not None:
            cursor.racks[capacity.rack] = cursor.racks.get(capacity.rack, 0) + 1
    else:
        capacity = capacities.best_fit(need, avoid)
    if capacity is None:
        return []
    capacities.reserve(capacity.worker, need)
    return [capacity.worker]
