"""More starts are due than a lead can send while their tickets are valid."""

from standins.model import ModelCell, pause, run_virtual
from tests.services.scenarios import step


def test_starts_are_not_all_refused_though_more_are_due_than_can_be_sent():
    """Each start waited behind others until its ticket had expired, without end."""

    async def scenario():
        cell = ModelCell(workers=100, advised=True, seed=3)
        cell.drop_share = 0.0
        await cell.begin()
        # Some 33 starts a second.
        cell.link_bytes_s[cell.lead_name()] = 30_000.0
        cell.order_bytes = 900
        for _ in range(300):
            await cell.submit([step(4, 500)], work_s=0.3, prefix="/quote/")
        await pause(20.0)
        assert sum(worker.started_runs for worker in cell.workers.values()) > 200

    run_virtual(scenario())
