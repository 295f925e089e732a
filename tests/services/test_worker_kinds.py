"""Workers that restart under their name as workers of another kind."""

import pytest

from firhook.cell import Resources
from firhook.cell.records import STATE_PREFIX
from standins.model import now, pause
from tests.services.scenarios import run_scenario, step


def restart_as(worker, kind="a", cpu_m=8000):
    """Start a new incarnation of another kind, whose entry is not written yet."""
    worker.on_restart = None
    worker.restart()
    worker.kind, worker.capacity = kind, Resources(cpu_m, 65536)


async def submit_for_b(cell, count=1):
    return await cell.submit([{**step(count), "requirements": "b"}], work_s=0.3)


@pytest.mark.parametrize("entry_after_s", [0.0, 0.5, 1.5])
def test_restarted_worker_gets_no_work_by_the_labels_of_its_former_kind(entry_after_s):
    """A poll shows the new incarnation before its entry is read."""

    async def scenario(cell):
        worker = cell.workers["w0"]
        worker.kind = "b"
        cell.register("w0")
        await pause(1.0)
        for kind in ("a", "b") * 3:
            worker.crash()
            for _ in range(3):
                await submit_for_b(cell)
                await pause(0.5)
            restart_as(worker, kind)
            if entry_after_s:
                await pause(entry_after_s)
            cell.register("w0")
            await pause(1.5)
            assert (worker.started_runs > 0) == (kind == "b")
            worker.started_runs = 0
        await cell.all_done(30.0)

    run_scenario(scenario)


@pytest.mark.parametrize("seen_by", ["poll", "entry"])
def test_start_that_was_assigned_before_a_restart_is_not_sent_after_it(seen_by):
    """The new incarnation has less room than the starts assigned to it need.

    The worker restarts while the assignment is being stored.
    """

    async def scenario(cell):
        worker = cell.workers["w0"]
        cell.store.holds = lambda append: any(
            key.startswith(STATE_PREFIX) for key in append.keys
        )
        job, _ = await cell.submit([step(6)], work_s=0.5)
        await cell.until(lambda: cell.store.held, 2.0)
        link = cell.lead().lead.term.links["w0"]
        restart_as(worker, cpu_m=1000)
        if seen_by == "entry":
            worker.mode = "cut"
            cell.register("w0")
            await cell.until(lambda: link.entry.incarnation == worker.incarnation, 3.0)
        else:
            await cell.until(lambda: link.incarnation == worker.incarnation, 3.0)
        cell.store.holds = None
        worker.mode = "up"
        cell.register("w0")
        await cell.until(lambda: cell.ended(job), 20.0)

    run_scenario(scenario, instances=1, workers=1)


def test_worker_that_registers_at_its_start_gets_work_soon_after_it():
    """Waiting for the entry costs no more than the list's delay."""

    async def scenario(cell):
        worker = cell.workers["w0"]
        worker.crash()
        job, _ = await cell.submit([step(1)], work_s=0.1)
        await pause(2.0)
        restart_as(worker)
        cell.register("w0")
        began = now()
        await cell.until(lambda: cell.ended(job), 5.0)
        assert now() - began < 1.0

    run_scenario(scenario, workers=1)


def test_ticket_for_a_new_incarnation_does_not_start_what_its_former_kind_may_run():
    """The ticket is of the incarnation at the answer, not of that at the question."""

    async def scenario(cell):
        cell.adviser.permitted_share = 1.0
        worker = cell.workers["w0"]
        worker.kind = "b"
        cell.register("w0")
        await pause(1.0)
        before, answer = worker.incarnation, cell.adviser.answer

        async def restart_and_answer(*args):
            if worker.incarnation == before:
                restart_as(worker, "a")
            return await answer(*args)

        cell.adviser.answer = restart_and_answer
        await submit_for_b(cell)
        await pause(1.0)

    run_scenario(scenario, instances=1, workers=1, advised=True)
