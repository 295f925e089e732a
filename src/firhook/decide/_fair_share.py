"""Order of task placement: fair shares of teams within each priority."""

import heapq
from collections.abc import Mapping, Sequence

import attrs

from firhook.decide._place import CapacityIndex, ResourceNeed
from firhook.model import JobSpec

#: Placement order of the priorities.  Urgent work must start within seconds and a
#: service has users waiting; a batch job ranks with services near its deadline.
_RANKS = {"urgent": 0, "service": 1, "batch": 2}
_NEAR_DEADLINE_RANK = 1

#: A batch job is near its deadline once the remaining time is less than this many
#: times its declared run time, since declared run times are often far off, ...
RUN_TIME_MARGIN = 2.0
#: ... and in any case this long before its deadline.
NEAR_DEADLINE_S = 900.0

#: Workers are reserved for a gang that has waited this long.  Before, freed
#: resources may serve other tasks at once.  Without a reservation, a steady flow of
#: small tasks would take every freed worker before the gang finds all it needs.
GANG_RESERVE_AFTER_S = 30.0


@attrs.frozen(slots=True)
class TaskRequest:
    """Tasks of one job that must be placed.

    :param indexes: task indexes.
    :param waited_s: how long the job has waited, in seconds.
    :param time_left_s: time until its deadline, ``inf`` if it has none.
    :param avoid: workers that must not get its tasks.
    :param racks: number of replicas by rack, for a service.
    """

    job: JobSpec
    indexes: tuple[int, ...]
    waited_s: float = 0.0
    time_left_s: float = float("inf")
    avoid: frozenset[str] = frozenset()
    racks: Mapping[str, int] = attrs.field(factory=dict)

    @property
    def rank(self) -> int:
        """Return its rank in the placement order, smallest first."""
        rank = _RANKS[self.job.priority]
        if rank > _NEAR_DEADLINE_RANK and self.near_deadline:
            return _NEAR_DEADLINE_RANK
        return rank

    @property
    def near_deadline(self) -> bool:
        """Return whether the job is near its deadline."""
        return self.time_left_s < max(RUN_TIME_MARGIN * self.job.run_s, NEAR_DEADLINE_S)


@attrs.frozen(slots=True)
class Reservation:
    """Workers reserved for a gang.

    :param job_id: the gang's job.
    :param free_in_s: time until they are free according to declared run times; a
        task that will certainly have ended by then may still use them.
    """

    job_id: str
    workers: frozenset[str]
    free_in_s: float = 0.0

    def admits(self, job: JobSpec) -> bool:
        """Return whether a job's tasks may use the reserved workers."""
        if job.key == self.job_id or job.priority == "urgent":
            return True
        return 0 < job.run_s * RUN_TIME_MARGIN <= self.free_in_s


@attrs.frozen(slots=True)
class Placement:
    """A task and the worker chosen for it."""

    job_id: str
    index: int
    worker: str


@attrs.define(slots=True)
class PlacementPlan:
    """The decisions of one round.

    :ivar placements: placements in the order of decision.
    :ivar held: jobs that still wait, with the reason.
    """

    placements: list[Placement] = attrs.field(factory=list)
    held: dict[str, str] = attrs.field(factory=dict)


@attrs.define(slots=True)
class _Round:
    """Working state of one placement round.

    :ivar unplaceable: needs that no worker can take in this rank.
    """

    capacities: CapacityIndex
    left: dict[str, int]
    reservation: Reservation | None
    plan: PlacementPlan = attrs.field(factory=PlacementPlan)
    unplaceable: list[ResourceNeed] = attrs.field(factory=list)


def dominant_share(need: ResourceNeed, total: ResourceNeed) -> float:
    """Return the largest fraction of any of the zone's resources that a task takes."""
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
    """Choose workers for waiting tasks by weighted dominant-resource fairness.

    Tasks are taken one at a time from the team with the least running for its
    share.  In a full zone with a few large and many small teams, a small team's
    only job therefore never waits behind a large team's thousand.

    :param used: dominant share of each team's running tasks.
    :param shares: each team's weight.
    :param left: how many more tasks each team may start under its limit.
    :param total: the zone's total resources.
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
        state.unplaceable.clear()
        heap = [(_weighted_usage(usage, shares, team), team) for team in by_rank[rank]]
        heapq.heapify(heap)
        cursors = {team: _Cursor(queues[(rank, team)]) for team in by_rank[rank]}
        while heap:
            _, team = heapq.heappop(heap)
            taken = _place_next(state, cursors[team], team)
            if taken is None:
                continue
            need, count = taken
            cost = count * dominant_share(need, total)
            usage[team] = usage.get(team, 0.0) + cost
            heapq.heappush(heap, (_weighted_usage(usage, shares, team), team))
    return state.plan


def _weighted_usage(
    usage: Mapping[str, float], shares: Mapping[str, float], team: str
) -> float:
    return usage.get(team, 0.0) / max(shares.get(team, 1.0), 1e-9)


@attrs.define(slots=True)
class _Cursor:
    """A team's position in its own queue."""

    requests: list[TaskRequest]
    at: int = 0
    placed: int = 0
    racks: dict[str, int] | None = None

    def advance(self) -> None:
        """Advance to the next job."""
        self.at += 1
        self.placed = 0
        self.racks = None


def _place_next(
    state: _Round, cursor: _Cursor, team: str
) -> tuple[ResourceNeed, int] | None:
    """Place a team's next task or gang; return ``None`` if nothing fits."""
    while cursor.at < len(cursor.requests):
        request = cursor.requests[cursor.at]
        need = ResourceNeed.of(request.job)
        count = len(request.indexes) if request.job.gang else 1
        if cursor.placed >= len(request.indexes):
            cursor.advance()
            continue
        reason = _blocking_reason(state, request, need, count, team)
        chosen = [] if reason else _choose_workers(state, cursor, request, need, count)
        if not chosen:
            state.plan.held[request.job.key] = reason or "no worker has room for it now"
            reservation = state.reservation
            restricted = bool(request.avoid) or (
                reservation is not None and not reservation.admits(request.job)
            )
            if not reason and not restricted and not request.job.gang:
                state.unplaceable.append(need)
            cursor.advance()
            continue
        for worker in chosen:
            index = request.indexes[cursor.placed]
            state.plan.placements.append(Placement(request.job.key, index, worker))
            cursor.placed += 1
        state.left[team] -= count
        return need, count
    return None


def _blocking_reason(
    state: _Round, request: TaskRequest, need: ResourceNeed, count: int, team: str
) -> str:
    if state.left.get(team, 0) < count:
        return "its team is at its limit"
    if any(need.covers(other) for other in state.unplaceable):
        return "no worker has room for it now"
    return ""


def _choose_workers(
    state: _Round, cursor: _Cursor, request: TaskRequest, need: ResourceNeed, count: int
) -> list[str]:
    avoid = request.avoid
    reservation = state.reservation
    if reservation is not None and not reservation.admits(request.job):
        avoid = avoid | reservation.workers
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
