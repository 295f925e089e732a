"""Measures placement: time, packing, waits, shares, gangs and preemption.

They simulate one zone with a healthy lead and without sockets.  States and decisions
are the real ones; the workers are fakes.
"""

import random
import statistics
import time
from collections.abc import Iterator

import attrs
import msgspec
from hdrh.histogram import HdrHistogram

from bench._registry import measure
from firhook.decide.fair_share import TaskRequest, plan_placements
from firhook.decide.place import CapacityIndex, ResourceNeed, WorkerCapacity
from firhook.model import Assignment, JobSpec, Report
from tests.decide.zone_simulation import HEALTHY, TIMING, ZoneSimulation, fleet

SIZES = (24, 100, 910)
RUNNING = 9100


def _quantile(values: list[float], q: float) -> float:
    ordered = sorted(values)
    return ordered[min(int(len(ordered) * q), len(ordered) - 1)]


def _make_mixed_job(rng: random.Random, i: int, team: str, **fields: object) -> JobSpec:
    cpus = rng.choice([0.5, 1.0, 1.0, 2.0, 3.0, 4.0, 6.0, 8.0])
    memory_mb = int(cpus * rng.choice([512, 1024, 2048, 3072, 4096]))
    return JobSpec(f"j{i}", team, 1, cpus, memory_mb, run_s=600.0, **fields)


@measure("placing_time")
def placing_time() -> Iterator[dict]:
    """Measure the time of a round with one new task, and the placement rate."""
    for size in SIZES:
        rng = random.Random(size)
        teams = {f"t{i}": {} for i in range(120)}
        sim = ZoneSimulation(fleet(size), teams)
        # Ten running tasks per worker, as with 9,100 tasks on 910 workers.
        for i in range(size):
            sim.submit(f"base{i}", f"t{i % 120}", tasks=10, cpus=1.0, run_s=1e6)
        sim.round()
        round_times_s = []
        for i in range(min(200, 4 * size)):
            job = _make_mixed_job(rng, i, f"t{i % 120}")
            sim.submit(job.job_id, job.team, cpus=job.cpus, memory_mb=job.memory_mb)
            started = time.perf_counter()
            items, _ = sim.scheduler.plan(sim.term, sim.headroom_by_team(), 0.0, 0.0)
            round_times_s.append(time.perf_counter() - started)
            assert len(items) == 1
            sim.round()
        yield {
            "what": "one round that places one task",
            "workers": size,
            "running": size * 10,
            "p50_ms": round(_quantile(round_times_s, 0.5) * 1e3, 3),
            "p99_ms": round(_quantile(round_times_s, 0.99) * 1e3, 3),
            "target_p99_ms": 5.0,
        }
        yield from _measure_placement_rate(size)


def _measure_placement_rate(size: int) -> Iterator[dict]:
    """Measure the placement rate within one large round of mixed tasks."""
    rng = random.Random(size + 1)
    capacities = [
        WorkerCapacity(e.worker, e.rack, e.cpus, e.memory_mb, 0)
        for e in (
            WorkerCapacity(f"w{i}", f"r{i // 6}", 22.0, 55296, 0) for i in range(size)
        )
    ]
    count = min(size * 4, 3000)
    teams = [f"t{i}" for i in range(120)]
    requests = [
        TaskRequest(_make_mixed_job(rng, i, teams[i % 120]), (0,)) for i in range(count)
    ]
    left = dict.fromkeys(teams, 10**6)
    total = ResourceNeed(32.0 * size, 65536 * size, 0)
    started = time.perf_counter()
    plan = plan_placements(requests, CapacityIndex(capacities), {}, {}, left, total)
    elapsed_s = time.perf_counter() - started
    yield {
        "what": "tasks placed a second on one core, in turns over 120 teams",
        "workers": size,
        "placed": len(plan.placements),
        "asked": count,
        "per_s": round(len(plan.placements) / elapsed_s),
        "target_per_s": 2000,
    }


@measure("placing_packing")
def placing_packing() -> Iterator[dict]:
    """Measure how full the binding resource is when tasks no longer fit."""
    for size in SIZES:
        best_fit, first_fit = [], []
        for seed in range(5):
            best_fit.append(_fill_zone(size, seed, _best_fit))
            first_fit.append(_fill_zone(size, seed, _first_fit))
        yield {
            "what": "used share of the binding resource at the first refusals",
            "workers": size,
            "share_of_bound": round(statistics.mean(best_fit), 4),
            "worst_of_5": round(min(best_fit), 4),
            "first_fit": round(statistics.mean(first_fit), 4),
            "target": 0.95,
        }


def _best_fit(capacities: CapacityIndex, need: ResourceNeed) -> str | None:
    capacity = capacities.best_fit(need)
    return capacity.worker if capacity else None


def _first_fit(capacities: CapacityIndex, need: ResourceNeed) -> str | None:
    for capacity in capacities.by_name.values():
        if capacity.fits(need):
            return capacity.worker
    return None


def _fill_zone(size: int, seed: int, choose: object) -> float:
    """Fill a zone until twenty tasks in a row do not fit.

    :param choose: returns the worker for a need, or ``None``.
    :return: the used fraction of the binding resource, which would be 1 if the zone
        were one large worker.
    """
    rng = random.Random(seed)
    workers = fleet(size)
    capacities = CapacityIndex(
        WorkerCapacity(e.name, e.rack, e.cpus, e.memory_mb, 0) for e in workers
    )
    cpus = memory = refused = 0.0
    i = 0
    while refused < 20:
        job = _make_mixed_job(rng, i, "t")
        need = ResourceNeed.of(job)
        i += 1
        worker = choose(capacities, need)  # type: ignore[operator]
        if worker is None:
            refused += 1
            continue
        refused = 0
        capacities.reserve(worker, need)
        cpus += need.cpus
        memory += need.memory_mb
    return max(
        cpus / sum(e.cpus for e in workers),
        memory / sum(e.memory_mb for e in workers),
    )


def _simulate_mixed_load(rng: random.Random, fifo: bool) -> ZoneSimulation:
    """Simulate a full zone with service, bulk, small, urgent and gang jobs.

    :param fifo: whether to place in order of arrival instead; see :func:`_use_fifo`.
    """
    teams = {f"s{i}": {} for i in range(5)} | {"large": {}}
    sim = ZoneSimulation(fleet(24), teams)
    if fifo:
        _use_fifo(sim)
    sim.submit("portal", "large", tasks=40, cpus=2.0, priority="service")
    for second in range(600):
        if second % 60 == 0:
            sim.submit(
                f"bulk{second}",
                "large",
                tasks=300,
                cpus=2.0,
                memory_mb=3000,
                run_s=50.0,
            )
        if second % 5 == 0:
            team = f"s{rng.randrange(5)}"
            sim.submit(f"small{second}", team, tasks=2, cpus=2.0, run_s=10.0)
        if second % 7 == 0:
            sim.submit(f"urgent{second}", "s0", cpus=2.0, run_s=2.0, priority="urgent")
        if second % 100 == 50:
            sim.submit(f"gang{second}", "s1", tasks=6, cpus=24.0, run_s=20.0, gang=True)
        sim.round()
        sim.check()
        sim.now += 1.0
    return sim


def _use_fifo(sim: ZoneSimulation) -> None:
    """Replace fair turns, preemption and reservations by FIFO with first fit."""

    def plan(term, left, now, wall):  # type: ignore[no-untyped-def]
        sim.scheduler._refresh(term)
        sim.scheduler._refresh_capacities(term, now)
        sim.scheduler._seen_reports.clear()
        capacities = list(sim.scheduler._capacities.by_name.values())
        items = []
        for entry in sim.cell.open_jobs(sim.zone.zone):
            tasks = sim.zone.tasks.get(entry.job.key, {})
            need = ResourceNeed.of(entry.job)
            slots = sum(r.count_fitting(need) for r in capacities)
            if entry.job.gang and not tasks and slots < entry.job.tasks:
                break
            for index in range(entry.job.tasks):
                if index in tasks:
                    continue
                capacity = next((r for r in capacities if r.fits(need)), None)
                if capacity is None:
                    return tuple(items), ()
                sim.scheduler._capacities.reserve(capacity.worker, need)
                items.append(Assignment(entry.job.key, index, 1, capacity.worker))
        return tuple(items), ()

    sim.scheduler.plan = plan  # type: ignore[method-assign]


@measure("placing_waiting")
def placing_waiting() -> Iterator[dict]:
    """Compare wait times by class with first come, first served."""
    with_firhook = _waits_by_kind(_simulate_mixed_load(random.Random(1), fifo=False))
    fifo = _waits_by_kind(_simulate_mixed_load(random.Random(1), fifo=True))
    for kind in ("urgent", "small", "gang", "bulk"):
        yield {
            "what": f"wait until started, {kind}, s",
            "p50_s": round(_quantile(with_firhook[kind], 0.5), 1),
            "p99_s": round(_quantile(with_firhook[kind], 0.99), 1),
            "fifo_p50_s": round(_quantile(fifo[kind], 0.5), 1),
            "fifo_p99_s": round(_quantile(fifo[kind], 0.99), 1),
            "tasks": len(with_firhook[kind]),
        }


def _waits_by_kind(sim: ZoneSimulation) -> dict[str, list[float]]:
    """Return the wait of each task; one that never started waited until the end."""
    waits: dict[str, list[float]] = {}
    for key, entry in sim.cell.jobs.items():
        kind = key.partition("/")[2].rstrip("0123456789")
        for index in range(entry.job.tasks):
            at = sim.started_at.get((key, index), sim.now)
            waits.setdefault(kind, []).append(at - entry.accepted_at)
    return waits


@measure("placing_share")
def placing_share() -> Iterator[dict]:
    """Measure the share error on a full zone.

    It is the maximum over teams of |used - fair share| / fair share.
    """
    rng = random.Random(7)
    shares = {f"t{i}": rng.choice([1, 1, 2, 5, 10]) for i in range(12)}
    sim = ZoneSimulation(fleet(100), {t: {"share": str(s)} for t, s in shares.items()})
    for team in shares:
        for n in range(12):
            sim.submit(
                f"b{n}",
                team,
                tasks=2000,
                cpus=rng.choice([1.0, 2.0]),
                memory_mb=1024,
                run_s=rng.choice([5.0, 11.0]),
            )
    cpu_s_by_team: dict[str, float] = dict.fromkeys(shares, 0.0)
    while sim.now < 60:
        sim.round()
        if sim.now >= 20:
            for team, used in sim.cpus_by_team().items():
                cpu_s_by_team[team] += used
        sim.now += 1.0
    total_cpu_s = sum(cpu_s_by_team.values())
    weights = sum(shares.values())
    errors = [
        abs(cpu_s_by_team[t] / total_cpu_s - s / weights) / (s / weights)
        for t, s in shares.items()
    ]
    yield {
        "what": "share error over 12 teams, 100 workers, saturated",
        "max_error": round(max(errors), 4),
        "target": 0.05,
    }


@measure("placing_urgent")
def placing_urgent() -> Iterator[dict]:
    """Measure the wait of urgent tasks on a full zone of 910 workers.

    62 tasks per second are submitted.  A round with its orders is assumed to take
    0.1 s.  The delays of the log and the network are not included.
    """
    sim = ZoneSimulation(fleet(910), {"bulk": {}, "charges": {}})
    for i in range(10):
        sim.submit(f"b{i}", "bulk", tasks=2000, cpus=2.0, run_s=1e5)
    sim.round()
    waits = HdrHistogram(1, 60_000, 3)
    rounds = []
    for tick in range(100):
        # Six per 0.1 s are about 62 per second; a third of them is urgent.
        for n in range(6):
            urgent = n < 2
            sim.submit(
                f"c{tick}-{n}",
                "charges",
                cpus=2.0,
                run_s=3.0,
                priority="urgent" if urgent else "batch",
            )
        started = time.perf_counter()
        sim.scheduler.plan(sim.term, {}, sim.now, sim.now)
        rounds.append(time.perf_counter() - started)
        sim.round()
        sim.now += 0.1
    for _ in range(100):
        sim.round()
        sim.now += 0.1
    unstarted = 0
    for key, entry in sim.cell.jobs.items():
        if entry.job.priority == "urgent":
            at = sim.started_at.get((key, 0))
            unstarted += at is None
            wait = (at if at is not None else sim.now) - entry.accepted_at
            waits.record_value(max(int(wait * 1000), 1))
    yield {
        "what": "urgent wait from acceptance to start order, rounds of 0.1 s",
        "p50_ms": waits.get_value_at_percentile(50),
        "p99_ms": waits.get_value_at_percentile(99),
        "max_ms": waits.get_max_value(),
        "unstarted": unstarted,
        "round_p99_ms": round(_quantile(rounds, 0.99) * 1e3, 1),
        "target_p99_ms": 5600,
    }


@measure("placing_cost")
def placing_cost() -> Iterator[dict]:
    """Measure log records and bytes per task start, and preemptions."""
    sim = _simulate_mixed_load(random.Random(2), fifo=False)
    preempted = [e for e in sim.ended if e.outcome == "preempted"]
    yield {
        "what": "log records and bytes per task started, mixed day",
        "starts": sim.starts,
        "records_per_start": round(sim.appends / sim.starts, 3),
        "bytes_per_start": round(sim.bytes / sim.starts),
        "preempted": len(preempted),
        "preempted_per_start": round(len(preempted) / sim.starts, 4),
    }
    yield from _measure_sync_cost()


def _measure_sync_cost() -> Iterator[dict]:
    """Measure CPU time and bytes of the periodic orders of a lead to 130 workers."""
    for brief in (False, True):
        sim = ZoneSimulation(fleet(130), {"t": {}})
        sim.submit("base", "t", tasks=1300, cpus=1.0, run_s=1e6)
        sim.round()
        sim.round()
        order_bytes = report_bytes = 0
        started = time.perf_counter()
        for worker in sim.workers:
            view = sim.term.workers[worker]
            view.report = attrs.evolve(view.report, brief=brief)
            order = sim.term.next_order(worker, HEALTHY, sim.now)
            order_fields = {k: v for k, v in msgspec.to_builtins(order).items() if v}
            order_bytes += len(msgspec.json.encode(order_fields))
            report = view.report
            if order.renew_all:
                report = attrs.evolve(report, tasks=(), same=True)
            encoded = msgspec.json.encode(report)
            report_bytes += len(encoded)
            decoded = msgspec.json.decode(encoded, type=Report)
            sim.term.note_report(worker, decoded, sim.now)
        elapsed_s = time.perf_counter() - started
        yield {
            "what": "orders to and reports from 130 workers with 1,300 tasks",
            "how": "renewed by digest" if brief else "renewed by name",
            "sync_s": TIMING.sync_s,
            "order_bytes_per_s": round(order_bytes / TIMING.sync_s),
            "report_bytes_per_s": round(report_bytes / TIMING.sync_s),
            "target_bytes_per_s": 14_000,
            "core_share_without_http": round(elapsed_s / TIMING.sync_s, 4),
            "target_core_share": 0.047,
        }
