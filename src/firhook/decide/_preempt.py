"""Which running tasks give way: to urgent work, a lower limit, a leaving worker."""

from collections.abc import Callable, Mapping, Sequence, Set

import attrs

from firhook.decide._fair_share import TaskRequest
from firhook.decide._place import CapacityIndex, ResourceNeed
from firhook.state import CellState, JobEntry, Ref, TaskState, ZoneState

#: Preemptions a second, and how many may be saved up.  The burst frees the
#: room for a wave of urgent work at once; the rate bounds what a team that
#: submits nothing but urgent work can cost the others.
PREEMPT_PER_S = 5.0
PREEMPT_BURST = 60.0
#: Workers that are searched in one round for what costs least: all of a zone
#: at the two-year size.  In a larger zone each round searches the next ones.
MAX_SEARCHED = 130
#: A task that gave way so often is left to finish.
MAX_PREEMPTED = 3


@attrs.define(slots=True)
class PreemptBudget:
    """A token bucket over preemptions."""

    tokens: float = PREEMPT_BURST
    at: float = float("-inf")

    def available(self, now: float) -> int:
        """Return how many tasks may be preempted now."""
        if self.at > float("-inf"):
            gained = (now - self.at) * PREEMPT_PER_S
            self.tokens = min(self.tokens + gained, PREEMPT_BURST)
        self.at = now
        return int(self.tokens)

    def spend(self, count: int) -> None:
        """Note preemptions."""
        self.tokens -= count


@attrs.frozen(slots=True)
class _Victim:
    """A task that may be preempted, and what that costs."""

    ref: Ref
    need: ResourceNeed
    over_share: bool
    cost: float

    @property
    def order(self) -> tuple[bool, float, Ref]:
        """Return the order of preemption: over their share first, then cheap."""
        return (not self.over_share, self.cost, self.ref)


def choose_victims(
    requests: Sequence[TaskRequest],
    capacities: CapacityIndex,
    zone: ZoneState,
    cell: CellState,
    over_share: Set[str],
    lost_s: Callable[[Ref], float],
    spared: Set[Ref],
    budget: int,
    turn: int = 0,
) -> dict[Ref, str]:
    """Return the tasks that give way to urgent work, and why.

    Made for urgent charges that arrive while batch planning fills every
    worker: they must start within 5.6 s, at the least cost in work done.

    :param rooms: what is left, with room that is being freed already.
    :param lost_s: worker-seconds that a task would lose: what it has done
        since its last checkpoint.
    :param spared: tasks that are being stopped already.
    :param turn: rises with each round, and moves the search on.
    """
    workers = _searched(sorted(capacities.by_name), turn)
    victims = _victims(workers, zone, cell, over_share, lost_s, spared)
    chosen: dict[Ref, str] = {}
    for request in requests:
        need = ResourceNeed.of(request.job)
        reason = f"preempted: urgent job {request.job.key} needs its room"
        taken: list[_Victim] = []
        for _ in request.indexes:
            capacity = capacities.best_fit(need, request.avoid)
            if capacity is not None:
                capacities.reserve(capacity.worker, need)
                continue
            best = _cheapest(need, capacities, victims, request.avoid)
            if best is None or len(chosen) + len(taken) + len(best[1]) > budget:
                break
            worker, group = best
            for victim in group:
                victims[worker].remove(victim)
                capacities.release(worker, victim.need)
            capacities.reserve(worker, need)
            taken += group
        else:
            chosen.update({v.ref: reason for v in taken})
            continue
        if not request.job.gang:
            chosen.update({v.ref: reason for v in taken})
    return chosen


def _searched(workers: list[str], turn: int) -> list[str]:
    """Return the workers to search in a round."""
    if len(workers) <= MAX_SEARCHED:
        return workers
    start = turn * MAX_SEARCHED % len(workers)
    return (workers + workers)[start : start + MAX_SEARCHED]


def _victims(
    workers: Sequence[str],
    zone: ZoneState,
    cell: CellState,
    over_share: Set[str],
    lost_s: Callable[[Ref], float],
    spared: Set[Ref],
) -> dict[str, list[_Victim]]:
    found: dict[str, list[_Victim]] = {}
    for worker in workers:
        for ref, task in zone.live.get(worker, {}).items():
            entry = cell.jobs.get(ref[0])
            if entry is None or ref in spared or not _may_preempt(entry, task):
                continue
            # A gang starts all at once, so that stopping one task stops all.
            size = entry.job.tasks if entry.job.gang else 1
            cost = lost_s(ref) * size
            over = entry.job.team in over_share
            victim = _Victim(ref, ResourceNeed.of(entry.job), over, cost)
            found.setdefault(worker, []).append(victim)
    for group in found.values():
        group.sort(key=lambda v: v.order)
    return found


def _may_preempt(entry: JobEntry, task: TaskState) -> bool:
    return entry.job.priority == "batch" and task.preempted < MAX_PREEMPTED


def _cheapest(
    need: ResourceNeed,
    capacities: CapacityIndex,
    victims: Mapping[str, list[_Victim]],
    avoid: Set[str],
) -> tuple[str, list[_Victim]] | None:
    best, best_key = None, (True, float("inf"), 0, "")
    for worker, group in victims.items():
        capacity = capacities.by_name.get(worker)
        if capacity is None or worker in avoid:
            continue
        trial = attrs.evolve(capacity)
        taken: list[_Victim] = []
        for victim in group:
            if trial.fits(need):
                break
            trial.release(victim.need)
            taken.append(victim)
        if not trial.fits(need):
            continue
        under = any(not v.over_share for v in taken)
        key = (under, sum(v.cost for v in taken), len(taken), worker)
        if best is None or key < best_key:
            best, best_key = (worker, taken), key
    return best


def tasks_over_limit(
    zone: ZoneState, cell: CellState, parts: Mapping[str, int]
) -> dict[Ref, str]:
    """Return the batch tasks to stop where a team's limit was lowered.

    The newest job's tasks go first: what has run longest is nearest its end.
    Services are left to their users; they only get no replacements.
    """
    chosen: dict[Ref, str] = {}
    excess = {t: n - parts[t] for t, n in zone.running.items() if n > parts.get(t, n)}
    if not excess:
        return chosen
    refs = [ref for _, ref, _ in zone.live_attempts() if ref[0] in cell.jobs]
    refs.sort(key=lambda r: (cell.jobs[r[0]].offset, r[1]), reverse=True)
    for ref in refs:
        job = cell.jobs[ref[0]].job
        if excess.get(job.team, 0) > 0 and job.priority != "service":
            excess[job.team] -= 1
            chosen[ref] = "preempted: its team's limit was lowered"
    return chosen


def tasks_on_leaving_workers(
    zone: ZoneState, cell: CellState, workers: Set[str], seen: Set[Ref]
) -> dict[Ref, str]:
    """Return the tasks to move off workers that are leaving.

    Batch work goes at once, by checkpoint.  A service moves one replica at a
    time, and only while all others are seen running, so that it never loses
    two at once.

    :param seen: attempts that their workers report as running.
    """
    chosen: dict[Ref, str] = {}
    moving: set[str] = set()
    for worker in sorted(workers):
        for ref in zone.live.get(worker, {}):
            entry = cell.jobs.get(ref[0])
            if entry is None:
                continue
            if entry.job.priority == "service":
                if ref[0] in moving or not _whole(entry, zone, seen):
                    continue
                moving.add(ref[0])
            chosen[ref] = "moved: its worker is leaving"
    return chosen


def _whole(entry: JobEntry, zone: ZoneState, seen: Set[Ref]) -> bool:
    tasks = zone.tasks.get(entry.job.key, {})
    return len(tasks) == entry.job.tasks and all(
        t.live and (entry.job.key, i, t.attempt) in seen for i, t in tasks.items()
    )


def tasks_of_broken_gangs(zone: ZoneState, cell: CellState) -> dict[Ref, str]:
    """Return what still runs of gangs that lost a task.

    A gang computes together: the rest would hold its room and get nowhere.
    """
    chosen: dict[Ref, str] = {}
    for entry in cell.open_jobs(zone.zone):
        job = entry.job
        tasks = zone.tasks.get(job.key)
        if not job.gang or not tasks:
            continue
        if all(t.live or t.outcome == "done" for t in tasks.values()):
            continue
        for index, task in tasks.items():
            if task.live:
                chosen[(job.key, index, task.attempt)] = "moved: its gang lost a task"
    return chosen
