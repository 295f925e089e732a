"""Copies of one start whose answers come in another order than they were sent."""

from standins.model import pause
from tests.services.scenarios import run_scenario, step


def _use_up_hedges(cell, left):
    """Leave some second copies in the lead's budget."""
    cell.lead().lead.term._order_sender._hedge_timer._budget = float(left)


def test_run_is_kept_if_a_copy_that_nobody_awaits_was_carried_out():
    """The answer to a second copy was discarded, and the task ran twice."""

    async def scenario(cell):
        _use_up_hedges(cell, 1)
        for worker in cell.workers.values():
            worker.greetings = [None, 0.5, *[None] * 20]
        job, _ = await cell.submit([step(1)], work_s=4.0)
        await pause(3.0)
        for worker in cell.workers.values():
            worker.greetings.clear()
        await cell.until(lambda: cell.ended(job), 8.0)
        assert sum(worker.started_runs for worker in cell.workers.values()) == 1

    run_scenario(scenario, workers=2)
