"""What a zone's lead spends on its workers: the real kernel over fakes."""

import asyncio
import time
from collections.abc import Iterable
from typing import Any

from bench._registry import measure
from bench._slope import points
from firhook.events import Append
from firhook.kernel import Kernel
from firhook.model import Endpoint, JobAccepted, JobSpec, Row, RowsChanged
from standins.fakes import FakeLog, FakeWorkers, fake_platform, small_settings

WORKERS = (24, 72, 144)
TASKS_PER_WORKER = 10
TASKS_PER_JOB = 60
HOLD_S = 6.0
START_WITHIN_S = 60.0


def _workers(count: int) -> list[Endpoint]:
    return [
        Endpoint(
            f"worker-{i:03}",
            "worker",
            "porto",
            f"127.0.0.1:{i + 1}",
            rack=f"rack-{i // 6}",
            cpus=32.0,
            memory_mb=65536,
        )
        for i in range(count)
    ]


async def _accept(kernel: Kernel, tasks: int) -> None:
    rows = (
        Row("plans", "large", {"share": "1", "limit": "100000"}),
        Row("teams", "team-1", {"plan": "large"}),
    )
    await kernel.bus.ask(Append("config", RowsChanged(0, rows)))
    jobs = [
        JobSpec(f"job-{i}", "team-1", tasks=TASKS_PER_JOB, cpus=2, run_s=3600)
        for i in range(tasks // TASKS_PER_JOB)
    ]
    await asyncio.gather(
        *(kernel.bus.ask(Append("cell", JobAccepted(job, "porto"))) for job in jobs)
    )


async def _until(check: Any, limit_s: float) -> None:
    give_up = time.monotonic() + limit_s
    while not check():
        if time.monotonic() > give_up:
            raise TimeoutError("the zone's lead did not start all tasks in time")
        await asyncio.sleep(0.02)


async def _run(count: int) -> dict[str, float]:
    """Start ten tasks at each worker, then hold them for a while."""
    platform = fake_platform(_workers(count))
    log, workers = platform.log, platform.workers
    assert isinstance(log, FakeLog)
    assert isinstance(workers, FakeWorkers)
    kernel = Kernel(small_settings(), platform, "bench")
    await kernel.start()
    tasks = count * TASKS_PER_WORKER
    try:
        lead = kernel.roles["members"]
        await _until(lambda: lead.states.cell.leads["porto"].instance, 30.0)
        # Workers are placed upon once they were looked at.
        await asyncio.sleep(3.0)
        before = time.process_time(), log.appends, log.bytes
        await _accept(kernel, tasks)
        await _until(lambda: workers.running >= tasks, START_WITHIN_S)
        start_cpu = time.process_time() - before[0]
        start_appends, start_bytes = log.appends - before[1], log.bytes - before[2]
        await asyncio.sleep(1.0)
        before = time.process_time(), log.appends, workers.syncs
        at = time.monotonic()
        await asyncio.sleep(HOLD_S)
        took = time.monotonic() - at
        return {
            "core": (time.process_time() - before[0]) / took * 100,
            "appends_per_s": (log.appends - before[1]) / took,
            "syncs_per_s": (workers.syncs - before[2]) / took,
            "start_us": start_cpu * 1e6,
            "start_appends": start_appends,
            "start_bytes": start_bytes,
        }
    finally:
        await kernel.stop()


@measure("capacity_lead")
def capacity_lead() -> Iterable[dict[str, Any]]:
    """A zone lead that holds ten tasks at each worker, and that starts them."""
    runs = [asyncio.run(_run(count)) for count in WORKERS]
    tasks = [count * TASKS_PER_WORKER for count in WORKERS]
    for what, unit, key, sizes in (
        ("worker held by the lead", "% of a core", "core", WORKERS),
        ("worker held by the lead", "syncs a second", "syncs_per_s", WORKERS),
        ("worker held by the lead", "log appends a second", "appends_per_s", WORKERS),
        ("task started", "us of processor time", "start_us", tasks),
        ("task started", "log appends", "start_appends", tasks),
        ("task started", "bytes on the log", "start_bytes", tasks),
    ):
        yield points("cell", what, unit, sizes, [run[key] for run in runs])
