"""Which jobs callers are told that wait: those of which no worker began anything."""

import pytest

from firhook.cell import OrderOutcome
from standins.model import ModelRequest, now, pause
from tests.services.scenarios import run_scenario, step

WAITING, RUNNING = ("queued", 1), ("running", 0)


async def told(cell, job):
    """Return what each living instance says of the job, and how many wait."""
    said = set()
    for found in cell.instances.values():
        if found.alive:
            status, body = await found.call(ModelRequest("GET", "/plan/"))
            assert status == 200
            said.add((await cell.status(job, found), body["pending"]))
    return said


async def check_waits(cell, job, seconds):
    """Check that the job is said to wait at every moment of some seconds."""
    until = now() + seconds
    while now() < until:
        assert await told(cell, job) == {WAITING}
        await pause(0.2)


async def check_runs(cell, job):
    """Check that the job is said to run, and comes to its end."""
    assert await told(cell, job) == {RUNNING}
    await cell.all_done(20.0)


async def check_begins(cell, job):
    """Check that a worker begins the job, which is then said to run."""
    await cell.until(lambda: cell.checks.last_start, 20.0)
    await pause(1.0)
    await check_runs(cell, job)


async def submit_begun(cell, work_s):
    """Submit a job and wait until a worker began it."""
    job, _ = await cell.submit([step(1)], work_s=work_s)
    await cell.until(lambda: cell.checks.last_start, 1.0)
    return job


def set_mode(cell, mode):
    """Let all workers behave in one way."""
    for worker in cell.workers.values():
        worker.mode = mode


def assigned(cell, job):
    """Return whether the log names a run of the job."""
    views = [i.instance.replica.find(job) for i in cell.instances.values() if i.alive]
    return all(v and v.state and not v.state.has_no_steps for v in views)


def led_by_another(cell, first):
    return cell.lead() and cell.lead_name() != first


def test_job_whose_workers_are_cut_off_as_it_is_assigned_is_not_said_to_run():
    async def scene(cell):
        set_mode(cell, "cut")
        job, _ = await cell.submit([step(2)], work_s=5.0)
        await cell.until(lambda: assigned(cell, job), 1.0)
        await check_waits(cell, job, 5.0)
        set_mode(cell, "up")
        await check_begins(cell, job)

    run_scenario(scene)


def test_job_whose_lead_was_lost_between_assignment_and_order_is_not_said_to_run():
    async def scene(cell):
        first = cell.lead_name()
        # The successor reaches no worker, so that it can only tell what is stored.
        for worker in cell.workers.values():
            worker.unreachable_from |= set(cell.instances) - {first}
        orders = cell.instances[first].lead.term._order_sender
        orders.start_runs = lambda run: cell.kill(first)
        job, _ = await cell.submit([step(1)], work_s=5.0)
        await cell.until(lambda: led_by_another(cell, first), 5.0)
        await pause(0.5)
        assert assigned(cell, job)
        assert await told(cell, job) == {WAITING}
        for worker in cell.workers.values():
            worker.unreachable_from.clear()
        await check_begins(cell, job)

    run_scenario(scene)


REFUSALS = [
    OrderOutcome.NO_TICKET,
    OrderOutcome.NO_CAPACITY,
    OrderOutcome.BUSY,
    OrderOutcome.SUPERSEDED,
]


@pytest.mark.parametrize("outcome", REFUSALS)
def test_job_whose_starts_are_all_refused_is_not_said_to_run(outcome):
    async def scene(cell):
        asked = []
        for worker in cell.workers.values():

            def refuse(order, worker=worker):
                asked.append(order)
                return worker._answer(outcome)

            worker.start = refuse
        job, _ = await cell.submit([step(1)])
        await cell.until(lambda: asked and assigned(cell, job), 1.0)
        await check_waits(cell, job, 3.0)
        for worker in cell.workers.values():
            del worker.start
        await cell.all_done(20.0)

    run_scenario(scene)


def test_job_whose_lead_is_lost_just_after_a_worker_began_it_is_said_to_run():
    async def scene(cell):
        first = cell.lead_name()
        job = await submit_begun(cell, 8.0)
        await pause(0.01)
        cell.kill(first)
        await cell.until(lambda: led_by_another(cell, first), 5.0)
        await pause(1.0)
        await check_runs(cell, job)

    run_scenario(scene)


def test_job_whose_begun_run_is_lost_with_its_worker_is_not_said_to_wait_again():
    async def scene(cell):
        job = await submit_begun(cell, 2.0)
        await pause(0.1)
        cell.workers["w0"].crash()
        await pause(15.0)
        assert await told(cell, job) == {RUNNING}
        cell.workers["w0"].restart()
        await cell.all_done(20.0)

    run_scenario(scene, workers=1)


def test_job_that_a_worker_began_without_an_answer_is_said_to_run_once_it_is_listed():
    async def scene(cell):
        set_mode(cell, "mute")
        job = await submit_begun(cell, 8.0)
        await pause(2.0)
        set_mode(cell, "up")
        await pause(2.0)
        await check_runs(cell, job)

    run_scenario(scene)
