"""Workers that leave single calls unanswered and answer the others."""

import asyncio

from standins.model import now, pause
from tests.services.scenarios import run_scenario, step


def test_gang_finds_its_workers_though_single_calls_to_them_get_lost():
    """Most workers of a zone counted as isolated as soon as two calls were lost."""

    async def scenario(cell):
        for worker in cell.workers.values():
            worker.lost_share = 0.15

        async def submit_quotes():
            while True:
                await cell.submit([step(10, 100)], work_s=0.3, prefix="/quote/")
                await pause(0.1)

        quotes = asyncio.create_task(submit_quotes())
        await pause(4.0)
        waits_s = []
        for _ in range(10):
            gang = {**step(24, 5000), "all_or_nothing": True}
            began = now()
            job, _ = await cell.submit([gang], work_s=0.5)
            await cell.until(lambda job=job: cell.ended(job), 60.0)
            waits_s.append(now() - began - 0.5)
        quotes.cancel()
        assert sorted(waits_s)[5] < 0.5

    run_scenario(scenario, instances=1, workers=30, seed=3)


def test_worker_whose_clock_was_set_back_gets_work_again():
    """Its later incarnation names an earlier time as its start."""

    async def scenario(cell):
        worker = cell.workers["w0"]
        await cell.submit([step(1)], work_s=0.5)
        await pause(0.2)
        worker.crash()
        worker.incarnation -= 3000
        worker.restart()
        await cell.submit([step(1)], work_s=0.5)
        await cell.all_done(20.0)

    run_scenario(scenario, instances=1, workers=1)
