"""More starts are due than a lead can send while their tickets are valid."""

from firhook.decide.start_queue import MAX_WINDOW
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


def test_starts_that_wait_to_be_sent_go_with_valid_tickets_or_not_at_all():
    """They were sent in vain, and those behind them waited until theirs expired."""

    async def scenario():
        cell = ModelCell(workers=10, advised=True, seed=3)
        await cell.begin()
        sender = cell.lead().lead.term._order_sender
        sender._window.in_flight = MAX_WINDOW
        for _ in range(10):
            await cell.submit([step(4, 500)], work_s=0.3, prefix="/quote/")
        await pause(4.0)
        sender._window.in_flight = 0
        sender._send_queued()
        await cell.all_done(5.0)
        assert not any(worker.expired_tickets for worker in cell.workers.values())
        assert cell.checks.violations == []

    run_virtual(scenario())
