"""Choice of running tasks to stop: for urgent work, lower limits or draining."""

from collections.abc import Callable, Mapping, Sequence, Set

import attrs

from firhook.decide._fair_share import TaskRequest
from firhook.decide._place import CapacityIndex, ResourceNeed
from firhook.state import CellState, JobEntry, Ref, TaskState, ZoneState

#: Rate and burst size of preemptions.  The burst frees the capacity for a wave of
#: urgent work at once; the rate limits what a team that submits only urgent work
#: can cost the others.
PREEMPT_PER_S = 5.0
PREEMPT_BURST = 60.0
#: Maximum number of workers that one round searches for the cheapest victims.  It
#: covers a whole zone at the size planned for in two years; in a larger zone each
#: round searches the next workers.
MAX_SEARCHED = 130
#: A task that was preempted this many times may finish.
MAX_PREEMPTED = 3


@attrs.frozen(slots=True)
class _Victim:
    """A task that may be preempted, and the work that is lost."""

    ref: Ref
    need: ResourceNeed
    over_share: bool
    cost: float

    @property
    def sort_key(self) -> tuple[bool, float, Ref]:
        """Sort key: tasks of teams over their share first, then the cheapest."""
        return (not self.over_share, self.cost, self.ref)


def choose_victims(
    requests: Sequence[TaskRequest],
    capacities: CapacityIndex,
    zone: ZoneState,
    cell: CellState,
    over_share: Set[str],
    lost_work_s: Callable[[Ref], float],
    already_stopping: Set[Ref],
    budget: int,
    round_number: int = 0,
) -> dict[Ref, str]:
    """Return the tasks to preempt for urgent work, with the reason.

    Urgent jobs that arrive while batch work fills every worker must start
    within 5.6 s, with the least loss of finished work.

    :param capacities: free resources, including those that are being freed.
    :param over_share: teams that use more than their share.
    :param lost_work_s: returns the processor-seconds that a task would lose, its work
        since the last checkpoint.
    :param already_stopping: tasks that are already being stopped.
    :param budget: maximum number of preemptions.
    :param round_number: increases with each round and advances the search.
    """
    workers = _workers_to_search(sorted(capacities.by_name), round_number)
    victims_by_worker = _victims(
        workers, zone, cell, over_share, lost_work_s, already_stopping
    )
    reasons: dict[Ref, str] = {}
    for request in requests:
        need = ResourceNeed.of(request.job)
        reason = f"preempted: urgent job {request.job.key} needs its room"
        victims_taken: list[_Victim] = []
        for _ in request.indexes:
            capacity = capacities.best_fit(need, request.avoid)
            if capacity is not None:
                capacities.reserve(capacity.worker, need)
                continue
            best = _cheapest(need, capacities, victims_by_worker, request.avoid)
            if (
                best is None
                or len(reasons) + len(victims_taken) + len(best[1]) > budget
            ):
                break
            worker, group = best
            for victim in group:
                victims_by_worker[worker].remove(victim)
                capacities.release(worker, victim.need)
            capacities.reserve(worker, need)
            victims_taken += group
        else:
            reasons.update({v.ref: reason for v in victims_taken})
            continue
        if not request.job.gang:
            reasons.update({v.ref: reason for v in victims_taken})
    return reasons


def _workers_to_search(workers: list[str], round_number: int) -> list[str]:
    """Return the workers to search in one round."""
    if len(workers) <= MAX_SEARCHED:
        return workers
    start = round_number * MAX_SEARCHED % len(workers)
    return (workers + workers)[start : start + MAX_SEARCHED]


def _victims(
    workers: Sequence[str],
    zone: ZoneState,
    cell: CellState,
    over_share: Set[str],
    lost_work_s: Callable[[Ref], float],
    already_stopping: Set[Ref],
) -> dict[str, list[_Victim]]:
    found: dict[str, list[_Victim]] = {}
    for worker in workers:
        for ref, task in zone.live.get(worker, {}).items():
            entry = cell.jobs.get(ref[0])
            if (
                entry is None
                or ref in already_stopping
                or not _may_preempt(entry, task)
            ):
                continue
            # Stopping one task of a gang stops all of them.
            size = entry.job.tasks if entry.job.gang else 1
            cost = lost_work_s(ref) * size
            is_over_share = entry.job.team in over_share
            victim = _Victim(ref, ResourceNeed.of(entry.job), is_over_share, cost)
            found.setdefault(worker, []).append(victim)
    for group in found.values():
        group.sort(key=lambda v: v.sort_key)
    return found


def _may_preempt(entry: JobEntry, task: TaskState) -> bool:
    return entry.job.priority == "batch" and task.preempted < MAX_PREEMPTED


def _cheapest(
    need: ResourceNeed,
    capacities: CapacityIndex,
    victims_by_worker: Mapping[str, list[_Victim]],
    avoid: Set[str],
) -> tuple[str, list[_Victim]] | None:
    best, best_key = None, (True, float("inf"), 0, "")
    for worker, group in victims_by_worker.items():
        capacity = capacities.by_name.get(worker)
        if capacity is None or worker in avoid:
            continue
        trial = attrs.evolve(capacity)
        victims_taken: list[_Victim] = []
        for victim in group:
            if trial.fits(need):
                break
            trial.release(victim.need)
            victims_taken.append(victim)
        if not trial.fits(need):
            continue
        hits_team_within_share = any(not v.over_share for v in victims_taken)
        key = (
            hits_team_within_share,
            sum(v.cost for v in victims_taken),
            len(victims_taken),
            worker,
        )
        if best is None or key < best_key:
            best, best_key = (worker, victims_taken), key
    return best


def tasks_over_limit(
    zone: ZoneState, cell: CellState, parts: Mapping[str, int]
) -> dict[Ref, str]:
    """Return the batch and urgent tasks to stop where a team's limit was lowered.

    Tasks of the newest job go first, since those that have run longest are closest
    to their end.  Services keep running; they only get no replacements.
    """
    reasons: dict[Ref, str] = {}
    excess = {t: n - parts[t] for t, n in zone.running.items() if n > parts.get(t, n)}
    if not excess:
        return reasons
    refs = [ref for _, ref, _ in zone.live_attempts() if ref[0] in cell.jobs]
    refs.sort(key=lambda r: (cell.jobs[r[0]].offset, r[1]), reverse=True)
    for ref in refs:
        job = cell.jobs[ref[0]].job
        if excess.get(job.team, 0) > 0 and job.priority != "service":
            excess[job.team] -= 1
            reasons[ref] = "preempted: its team's limit was lowered"
    return reasons


def tasks_on_leaving_workers(
    zone: ZoneState, cell: CellState, workers: Set[str], seen: Set[Ref]
) -> dict[Ref, str]:
    """Return the tasks to move off workers that are being drained.

    Batch and urgent tasks are checkpointed and moved at once.  A service moves one
    replica at a time, and only while all its replicas are reported as running, so
    that it never loses two at once.

    :param seen: attempts that their workers report as running.
    """
    reasons: dict[Ref, str] = {}
    moving_services: set[str] = set()
    for worker in sorted(workers):
        for ref in zone.live.get(worker, {}):
            entry = cell.jobs.get(ref[0])
            if entry is None:
                continue
            if entry.job.priority == "service":
                if ref[0] in moving_services or not _all_running(entry, zone, seen):
                    continue
                moving_services.add(ref[0])
            reasons[ref] = "moved: its worker is leaving"
    return reasons


def _all_running(entry: JobEntry, zone: ZoneState, seen: Set[Ref]) -> bool:
    tasks = zone.tasks.get(entry.job.key, {})
    return len(tasks) == entry.job.tasks and all(
        t.live and (entry.job.key, i, t.attempt) in seen for i, t in tasks.items()
    )


def tasks_of_broken_gangs(zone: ZoneState, cell: CellState) -> dict[Ref, str]:
    """Return the running tasks of gangs that lost a task.

    The tasks of a gang depend on each other: the others would hold their resources
    without making progress.
    """
    reasons: dict[Ref, str] = {}
    for entry in cell.open_jobs(zone.zone):
        job = entry.job
        tasks = zone.tasks.get(job.key)
        if not job.gang or not tasks:
            continue
        if all(t.live or t.outcome == "done" for t in tasks.values()):
            continue
        for index, task in tasks.items():
            if task.live:
                reasons[(job.key, index, task.attempt)] = "moved: its gang lost a task"
    return reasons
