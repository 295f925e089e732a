"""A worker restarts under its id while the store is down; its later ends get lost."""

import asyncio
import sys
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from platform_standin import CannotRunError, Worker, World, main

WORKERS = 8
#: sites/gasreg-pt.toml has platform_down (silent) with for_s = 4.2, and srv_crash with
#: share = 0.14 and for_s = 4.5; here 1 of 8 workers.
STORE_DOWN_S, WORKER_DOWN_S = 3.0, 0.8


def steps(count: int, estimate_ms: int) -> list[dict[str, Any]]:
    """Return one step of tasks, eight of which fill a worker."""
    return [
        {
            "count": count,
            "millicpus": 1000,
            "task_memory_mb": 100,
            "estimated_ms": estimate_ms,
        }
    ]


async def case(world: World, trouble: bool) -> None:
    """Play the case."""
    # Ordinary work, after which each worker has numbered some tens of ends.
    for number in range(3):
        job = f"{0xA0 + number:016x}"
        await world.submit(job, steps(8 * WORKERS, 300), work_ms=300)
        if not await world.wait_completed(job, 15):
            raise CannotRunError(f"job {job} does not complete")
    # Tasks that end just after the store has gone down.
    ended: asyncio.Future[Worker] = asyncio.get_running_loop().create_future()

    def note_first_end(worker: Worker, row: list[Any]) -> None:
        if not ended.done():
            ended.set_result(worker)

    for worker in world.workers.values():
        worker.on_end = note_first_end
    during = f"{0xB0:016x}"
    await world.submit(during, steps(8 * WORKERS, 1500), work_ms=1500)
    await asyncio.sleep(1.2)
    if trouble:
        world.record.add("the store is down: it answers nothing")
        world.store.silent = True
    worker = await asyncio.wait_for(ended, 5)
    await asyncio.sleep(0.2)
    if trouble:
        await worker.crash()
        await asyncio.sleep(WORKER_DOWN_S)
        await worker.start()
        await asyncio.sleep(STORE_DOWN_S - WORKER_DOWN_S - 0.6)
        world.store.silent = False
        world.record.add("the store is back")
    if not await world.wait_completed(during, 30):
        raise CannotRunError(f"job {during} does not complete")
    await asyncio.sleep(1.0)
    # Ordinary work again.
    for number in range(3):
        job = f"{0xC0 + number:016x}"
        await world.submit(job, steps(8 * WORKERS, 500), work_ms=500)
        if not await world.wait_completed(job, 20):
            world.record.add(f"job {job} is not completed after 20 s")


if __name__ == "__main__":
    main(case, Path(__file__).parent, WORKERS)
