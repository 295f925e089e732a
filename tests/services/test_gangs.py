"""Gangs on the platform model whose members fail together."""

import pytest

from standins.model import pause
from tests.services.scenarios import run_scenario, step


@pytest.mark.parametrize("changes_lead", [False, True])
def test_gang_whose_members_fail_together_has_attempts_left(changes_lead):
    """Its job was shown as failed after one of its three attempts."""

    async def scenario(cell):
        cell.gangs.fail_together = True
        workers = list(cell.workers.values())
        for worker in workers:
            worker.fails_all = True
        job, _ = await cell.submit(
            [{**step(3, 5000), "all_or_nothing": True}], work_s=2.0
        )
        await cell.until(lambda: all(worker.runs for worker in workers), 3.0)
        if changes_lead:
            workers[2].mode = "cut"
        for worker in workers:
            worker.fails_all = False
        await pause(0.5)
        if changes_lead:
            cell.kill(cell.lead_name())
            await cell.until(lambda: cell.lead() is not None, 5.0)
            workers[2].mode = "up"
        await cell.all_done(30.0)
        assert cell.final(job).name == "COMPLETED"
        assert all(worker.started_runs == 2 for worker in workers)

    run_scenario(scenario, workers=3)
