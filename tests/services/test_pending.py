"""Which jobs callers are told that wait: those of which no worker began anything."""

import pytest

from firhook.cell import OrderOutcome
from standins.model import ModelCell, ModelRequest, now, pause, run_virtual


def step(count=1, cpu_m=1000, **more):
    return {"count": count, "millicpus": cpu_m, "task_memory_mb": 100, **more}


async def told(cell, job):
    """Return what each living instance says of the job, and how many wait."""
    said = set()
    for found in cell.instances.values():
        if found.alive:
            status, body = await found.call(ModelRequest("GET", "/plan/"))
            assert status == 200
            said.add((await cell.status(job, found), body["pending"]))
    return said


def assigned(cell, job):
    """Return whether the log names a run of the job."""
    views = [i.instance.replica.find(job) for i in cell.instances.values() if i.alive]
    return all(v and v.state and not v.state.over for v in views)


def test_job_whose_workers_are_cut_off_as_it_is_assigned_is_not_said_to_run():
    async def play():
        cell = ModelCell()
        await cell.begin()
        for worker in cell.workers.values():
            worker.mode = "cut"
        job, _ = await cell.submit([step(2)], work_s=5.0)
        await cell.until(lambda: assigned(cell, job), 1.0)
        cut_until = now() + 5.0
        while now() < cut_until:
            assert await told(cell, job) == {("queued", 1)}
            await pause(0.2)
        for worker in cell.workers.values():
            worker.mode = "up"
        await cell.until(lambda: cell.checks.last_start, 20.0)
        await pause(1.0)
        assert await told(cell, job) == {("running", 0)}
        await cell.all_done(20.0)
        assert cell.checks.broken == []

    run_virtual(play())


def test_job_whose_lead_was_lost_between_assignment_and_order_is_not_said_to_run():
    async def play():
        cell = ModelCell()
        await cell.begin()
        first = cell.lead_name()
        # The successor reaches no worker, so that it can only tell what is stored.
        for worker in cell.workers.values():
            worker.cut_from |= set(cell.instances) - {first}
        orders = cell.instances[first].lead.term._orders
        orders.begin = lambda run: cell.kill(first)
        job, _ = await cell.submit([step(1)], work_s=5.0)
        await cell.until(lambda: cell.lead() and cell.lead_name() != first, 5.0)
        await pause(0.5)
        assert assigned(cell, job)
        assert await told(cell, job) == {("queued", 1)}
        for worker in cell.workers.values():
            worker.cut_from.clear()
        await cell.until(lambda: cell.checks.last_start, 20.0)
        await pause(1.0)
        assert await told(cell, job) == {("running", 0)}
        await cell.all_done(20.0)
        assert cell.checks.broken == []

    run_virtual(play())


REFUSALS = [
    OrderOutcome.NO_TICKET,
    OrderOutcome.NO_ROOM,
    OrderOutcome.BUSY,
    OrderOutcome.OLD,
]


@pytest.mark.parametrize("outcome", REFUSALS)
def test_job_whose_starts_are_all_refused_is_not_said_to_run(outcome):
    async def play():
        cell = ModelCell()
        await cell.begin()
        asked = []
        for worker in cell.workers.values():

            def refuse(order, worker=worker):
                asked.append(order)
                return worker._answer(outcome)

            worker.start = refuse
        job, _ = await cell.submit([step(1)])
        await cell.until(lambda: asked, 1.0)
        asked_until = now() + 3.0
        while now() < asked_until:
            assert await told(cell, job) == {("queued", 1)}
            await pause(0.2)
        for worker in cell.workers.values():
            del worker.start
        await cell.all_done(20.0)
        assert cell.checks.broken == []

    run_virtual(play())


def test_job_whose_lead_is_lost_just_after_a_worker_began_it_is_said_to_run():
    async def play():
        cell = ModelCell()
        await cell.begin()
        first = cell.lead_name()
        job, _ = await cell.submit([step(1)], work_s=8.0)
        await cell.until(lambda: cell.checks.last_start, 1.0)
        await pause(0.01)
        cell.kill(first)
        await cell.until(lambda: cell.lead() and cell.lead_name() != first, 5.0)
        await pause(1.0)
        assert await told(cell, job) == {("running", 0)}
        await cell.all_done(20.0)
        assert cell.checks.broken == []

    run_virtual(play())


def test_job_whose_begun_run_is_lost_with_its_worker_is_not_said_to_wait_again():
    async def play():
        cell = ModelCell(workers=1)
        await cell.begin()
        job, _ = await cell.submit([step(1)], work_s=2.0)
        await cell.until(lambda: cell.checks.last_start, 1.0)
        await pause(0.1)
        cell.workers["w0"].crash()
        await pause(15.0)
        assert await told(cell, job) == {("running", 0)}
        cell.workers["w0"].restart()
        await cell.all_done(20.0)
        assert cell.checks.broken == []

    run_virtual(play())


def test_job_that_a_worker_began_without_an_answer_is_said_to_run_once_it_is_listed():
    async def play():
        cell = ModelCell()
        await cell.begin()
        for worker in cell.workers.values():
            worker.mode = "mute"
        job, _ = await cell.submit([step(1)], work_s=8.0)
        await cell.until(lambda: cell.checks.last_start, 1.0)
        await pause(2.0)
        for worker in cell.workers.values():
            worker.mode = "up"
        await pause(2.0)
        assert await told(cell, job) == {("running", 0)}
        await cell.all_done(20.0)
        assert cell.checks.broken == []

    run_virtual(play())
