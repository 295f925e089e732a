"""Reserves capacity for gangs that do not fit yet."""

import heapq

import attrs

from firhook.cell import JobTable, Resources, Step
from firhook.decide._slack import latest_start_at, timely_speed
from firhook.decide._worker_choice import must_keep_urgent_headroom
from firhook.decide._worker_views import WorkerView

#: The stop reason of runs that are stopped to make room for other work.
EVICTED = "evicted"


@attrs.define(slots=True)
class _Room:
    """The room for a gang at a later time, by the workers' names."""

    at: float
    free: dict[str, Resources]
    slots: dict[str, int]
    headroom: dict[str, Resources]


@attrs.frozen(slots=True)
class GangRooms:
    """Forecasts when running work will have made room for a gang.

    :param now: on the boot clock.
    """

    job_table: JobTable
    now: float

    def ready_at(self, step: Step, workers: list[WorkerView]) -> float | None:
        """Return when workers will have room for a gang; ``None`` if never."""
        room = self.forecast(step, workers)
        return room.at if room is not None else None

    def forecast(self, step: Step, workers: list[WorkerView]) -> _Room | None:
        """Return the first room for a gang, once enough running tasks have ended."""
        spec, now = step.spec, self.now
        max_per_worker = spec.per_worker or spec.count
        keeps_headroom = must_keep_urgent_headroom(step, now)
        headroom = {
            w.name: Resources(w.urgent_cpu_m if keeps_headroom else 0) for w in workers
        }
        free = {
            w.name: (w.free if w.unreserved is None else w.unreserved).subtract(
                headroom[w.name]
            )
            for w in workers
        }
        slots = {n: free[n].count_fitting(spec.reserved, max_per_worker) for n in free}
        total = sum(slots.values())
        ends = _expected_ends(workers, self.job_table, now)
        at = now
        while total < spec.count and ends:
            at, _, name, need = heapq.heappop(ends)
            free[name] = free[name].add(need)
            more = free[name].count_fitting(spec.reserved, max_per_worker)
            total += more - slots[name]
            slots[name] = more
        if total < spec.count:
            return None
        return _Room(at, free, slots, headroom)


def reserve_gang(
    step: Step, workers: list[WorkerView], job_table: JobTable, now: float
) -> bool:
    """Reserve capacity for a gang that does not fit yet.

    In a cell that is four fifths full, a smaller task takes the place of each
    task that ends.  So the capacity for a gang of tens of cores would never be
    free at once, and the gang would starve until the load falls.

    This estimates when enough running tasks will have ended.  Until then other
    work may use the reserved workers only if it ends before that time or fits
    beside the gang.

    :return: whether the workers will have room for the gang.
    """
    spec = step.spec
    workers, room = _choose_room(step, workers, GangRooms(job_table, now))
    if room is None:
        return False
    left = spec.count
    # Of workers with as much room, the fastest.
    order = sorted(workers, key=lambda w: (-room.slots[w.name], -w.speed_class))
    for worker in order:
        count = min(room.slots[worker.name], left)
        if not count:
            break
        left -= count
        free_then = room.free[worker.name].subtract(spec.reserved, count)
        worker.unreserved = free_then.add(room.headroom[worker.name])
        worker.reservation_ready_at = max(worker.reservation_ready_at, room.at)
    return True


def _choose_room(
    step: Step, workers: list[WorkerView], rooms: GangRooms
) -> tuple[list[WorkerView], _Room | None]:
    """Return the workers to reserve for a gang, and the room on them.

    Workers on which the gang would be late are left out if others will have room in
    time.
    """
    if any(worker.speed_class for worker in workers):
        least = timely_speed(step, rooms.now)
        fast = [worker for worker in workers if worker.speed >= least]
        room = rooms.forecast(step, fast) if fast else None
        if room is not None and room.at <= min(
            latest_start_at(step, worker.speed) for worker in fast
        ):
            return fast, room
    return workers, rooms.forecast(step, workers)


def _expected_ends(
    workers: list[WorkerView], job_table: JobTable, now: float
) -> list[tuple[float, int, str, Resources]]:
    ends: list[tuple[float, int, str, Resources]] = []
    for worker in workers:
        for run in job_table.worker_runs.get(worker.name, {}).values():
            spec = run.task.step.spec
            if spec.long_running:
                continue
            # An evicted run ends within the time that a stop takes.  With its own
            # remaining time, other work would backfill the capacity that it frees.
            is_evicted = run.stop_reason == EVICTED
            if is_evicted:
                at = now
            else:
                at = now + run.remaining_s(now, worker.speed, cautious=True)
            ends.append((at, len(ends), worker.name, spec.reserved))
    heapq.heapify(ends)
    return ends
