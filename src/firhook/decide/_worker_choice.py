"""Chooses the workers for single tasks and for gangs among those that fit."""

from collections.abc import Iterable
from typing import Protocol

import attrs

from firhook.cell import Resources, Step
from firhook.decide._slack import (
    high_duration_s,
    is_surely_in_time,
    latest_start_at,
    prefers_slow_workers,
    slack_s,
    timely_speed,
)
from firhook.decide._worker_views import WorkerView

#: Work that has waited this long may also use the headroom for urgent work.
_URGENT_HEADROOM_WAIT_S = 2.0
#: Work that lasts yields to gangs for this time only.  It belongs to a service, whose
#: callers miss it at once.
_LASTING_YIELD_S = 1.5
#: Ranks workers that are slow but fast enough before those that are too slow.
_SLOW_FIRST = 100


def pick_worker(
    step: Step,
    workers: Iterable[WorkerView],
    on_worker: dict[str, int],
    avoid: set[str],
    now: float,
) -> WorkerView | None:
    """Return the worker with the least free capacity that fits a task.

    This keeps other workers empty for gangs.  Workers on another rack than the data
    come last.  Work with little slack, and all work of the first priority, goes to the
    fastest workers that have room; other work goes to the slowest on which it is
    surely in time, which leaves whole fast workers to gangs.

    :param on_worker: how many tasks of the step each worker has.
    :param avoid: workers that must not be used.
    """
    spec, urgent = step.spec, step.job.queue.priority == 0
    keeps_urgent = must_keep_urgent_headroom(step, now)
    slack = slack_s(step, now)
    prefers_slow = prefers_slow_workers(step, slack)
    best, best_key = None, (True, 0, 0)
    for worker in workers:
        if worker.name in avoid or not worker.free.covers(spec.reserved):
            continue
        if spec.per_worker and on_worker.get(worker.name, 0) >= spec.per_worker:
            continue
        if keeps_urgent and not worker.keeps_urgent_headroom(spec.reserved):
            continue
        if not urgent and not _respects_reservation(worker, step, now):
            continue
        off_rack = bool(spec.data_rack) and worker.rack != spec.data_rack
        rank = -worker.speed_class
        if prefers_slow and (rank <= 0 or is_surely_in_time(step, slack, worker.speed)):
            rank = worker.speed_class - _SLOW_FIRST
        key = (off_rack, rank, worker.free.cpu_m)
        if best is None or key < best_key:
            best, best_key = worker, key
    return best


def must_keep_urgent_headroom(step: Step, now: float) -> bool:
    """Return whether a step must leave the headroom for urgent work free.

    This ends after a time; else work that needs whole workers would never start.
    """
    waited_s = now - (step.ready_at or now)
    return step.job.queue.priority > 0 and waited_s < _URGENT_HEADROOM_WAIT_S


def yields_to_gangs(step: Step, now: float) -> bool:
    """Return whether a step leaves capacity to gangs that cannot start yet."""
    waited_s = now - (step.ready_at or now)
    return not step.spec.long_running or waited_s < _LASTING_YIELD_S


def _respects_reservation(worker: WorkerView, step: Step, now: float) -> bool:
    spec = step.spec
    if worker.unreserved is None or worker.unreserved.covers(spec.reserved):
        return True
    if not yields_to_gangs(step, now):
        return True
    return not spec.long_running and _ends_before_reservation(worker, step, now)


class RoomForecast(Protocol):
    """Tells when running work will have made room."""

    def ready_at(self, step: Step, workers: list[WorkerView]) -> float | None:
        """Return when workers will have room for a gang; ``None`` if never."""


@attrs.frozen(slots=True)
class _Fit:
    """A worker that has room for members of a gang.

    :param left_m: the millicores that remain free if it takes as many as it can.
    """

    off_rack: bool
    left_m: int
    worker: WorkerView
    slots: int


def fit_gang(
    step: Step,
    workers: list[WorkerView],
    now: float,
    forecast: RoomForecast | None = None,
) -> list[WorkerView] | None:
    """Return a worker for each member, with its resources taken, or ``None``.

    :param forecast: if given, a gang that would be late on the workers with room is not
        placed if it can be in time on faster ones that will have room.
    """
    spec = step.spec
    fits = _gang_fits(step, workers, now)
    if sum(fit.slots for fit in fits) < spec.count:
        return None
    if not spec.data_rack and any(fit.worker.speed_class for fit in fits):
        fits = _fits_of_like_speed(fits, spec.count)
        slowest = min((fit.worker for fit in fits), key=lambda w: w.speed)
        if forecast is not None and _should_wait(step, slowest, workers, forecast, now):
            return None
        fits.sort(key=lambda fit: (fit.worker.speed_class, fit.left_m))
    else:
        fits.sort(key=lambda fit: (fit.off_rack, -fit.worker.speed_class, fit.left_m))
    chosen: list[WorkerView] = []
    for fit in fits:
        count = min(fit.slots, spec.count - len(chosen))
        for _ in range(count):
            fit.worker.take(spec.reserved)
            chosen.append(fit.worker)
        if len(chosen) == spec.count:
            break
    return chosen


def _gang_fits(step: Step, workers: list[WorkerView], now: float) -> list[_Fit]:
    spec = step.spec
    max_per_worker = spec.per_worker or spec.count
    fits: list[_Fit] = []
    for worker in workers:
        free = worker.free
        if worker.unreserved is not None and not _ends_before_reservation(
            worker, step, now
        ):
            free = _min_resources(free, worker.unreserved)
        if must_keep_urgent_headroom(step, now):
            free = free.subtract(Resources(worker.urgent_cpu_m))
        most = 1 if worker.takes_one else max_per_worker
        slots = free.count_fitting(spec.reserved, most)
        if slots:
            left = worker.free.cpu_m - slots * spec.reserved.cpu_m
            off_rack = bool(spec.data_rack) and worker.rack != spec.data_rack
            fits.append(_Fit(off_rack, left, worker, slots))
    return fits


def _fits_of_like_speed(fits: list[_Fit], count: int) -> list[_Fit]:
    """Return the fastest workers that can hold a gang, and those as fast as these.

    A gang is as slow as its slowest member.  The others would only hold faster workers
    for as long as the slowest one takes.
    """
    slots = 0
    for floor in sorted({fit.worker.speed_class for fit in fits}, reverse=True):
        slots += sum(f.slots for f in fits if f.worker.speed_class == floor)
        if slots >= count:
            return [fit for fit in fits if fit.worker.speed_class >= floor]
    return fits


def _should_wait(
    step: Step,
    slowest: WorkerView,
    workers: list[WorkerView],
    forecast: RoomForecast,
    now: float,
) -> bool:
    """Return whether a gang should wait for workers on which it can be in time.

    With a quarter of the workers at 0.55, these are often the only ones with room in
    a burst.  A gang that starts there is late and holds them for twice as long, while
    other workers will have room for it within a second.
    """
    least = timely_speed(step, now)
    if slowest.speed >= least:
        return False
    fast = [worker for worker in workers if worker.speed >= least]
    at = forecast.ready_at(step, fast) if fast else None
    return at is not None and at <= min(latest_start_at(step, w.speed) for w in fast)


def _ends_before_reservation(worker: WorkerView, step: Step, now: float) -> bool:
    """Return whether a task surely ends before the gang can start."""
    return now + high_duration_s(step) / worker.speed <= worker.reservation_ready_at


def _min_resources(one: Resources, other: Resources) -> Resources:
    return Resources(
        min(one.cpu_m, other.cpu_m),
        min(one.memory_mb, other.memory_mb),
        min(one.accelerators, other.accelerators),
    )
