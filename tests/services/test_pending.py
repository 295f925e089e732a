"""A job counts as waiting until a worker started one of its tasks."""

import pytest

from firhook.cell import OrderOutcome
from standins.model import ModelRequest, now, pause
from tests.services.scenarios import run_scenario, step

WAITING, RUNNING = ("queued", 1), ("running", 0)


async def collect_answers(cell, job):
    """Return each live instance's status of the job and count of waiting jobs."""
    answers = set()
    for found in cell.instances.values():
        if found.alive:
            status, body = await found.call(ModelRequest("GET", "/plan/"))
            assert status == 200
            answers.add((await cell.status(job, found), body["pending"]))
    return answers


async def check_queued(cell, job, seconds):
    """Check for some seconds that the job is always reported as queued."""
    until = now() + seconds
    while now() < until:
        assert await collect_answers(cell, job) == {WAITING}
        await pause(0.2)


async def check_running(cell, job):
    """Check that the job is reported as running, and ends."""
    assert await collect_answers(cell, job) == {RUNNING}
    await cell.all_done(20.0)


async def check_starts(cell, job):
    """Check that a worker starts the job, which is then reported as running."""
    await cell.until(lambda: cell.checks.last_start, 20.0)
    await pause(1.0)
    await check_running(cell, job)


async def submit_and_wait_for_start(cell, work_s):
    """Submit a job and wait until a worker started it."""
    job, _ = await cell.submit([step(1)], work_s=work_s)
    await cell.until(lambda: cell.checks.last_start, 1.0)
    return job


def set_mode(cell, mode):
    """Set the mode of all workers."""
    for worker in cell.workers.values():
        worker.mode = mode


def assigned(cell, job):
    """Return whether the log holds a run of the job."""
    views = [i.instance.replica.find(job) for i in cell.instances.values() if i.alive]
    return all(v and v.state and not v.state.has_no_steps for v in views)


def led_by_another(cell, first):
    return cell.lead() and cell.lead_name() != first


def test_job_whose_workers_are_cut_off_when_it_is_assigned_is_not_reported_running():
    async def scenario(cell):
        set_mode(cell, "cut")
        job, _ = await cell.submit([step(2)], work_s=5.0)
        await cell.until(lambda: assigned(cell, job), 1.0)
        await check_queued(cell, job, 5.0)
        set_mode(cell, "up")
        await check_starts(cell, job)

    run_scenario(scenario)


def test_job_whose_lead_is_lost_between_assignment_and_order_is_not_reported_running():
    async def scenario(cell):
        first = cell.lead_name()
        # The successor reaches no worker, so it knows only what is stored.
        for worker in cell.workers.values():
            worker.unreachable_from |= set(cell.instances) - {first}
        orders = cell.instances[first].lead.term._order_sender
        orders.start_runs = lambda run: cell.kill(first)
        job, _ = await cell.submit([step(1)], work_s=5.0)
        await cell.until(lambda: led_by_another(cell, first), 5.0)
        await pause(0.5)
        assert assigned(cell, job)
        assert await collect_answers(cell, job) == {WAITING}
        for worker in cell.workers.values():
            worker.unreachable_from.clear()
        await check_starts(cell, job)

    run_scenario(scenario)


REFUSALS = [
    OrderOutcome.NO_TICKET,
    OrderOutcome.NO_CAPACITY,
    OrderOutcome.BUSY,
    OrderOutcome.SUPERSEDED,
]


@pytest.mark.parametrize("outcome", REFUSALS)
def test_job_whose_starts_are_all_refused_is_not_reported_running(outcome):
    async def scenario(cell):
        asked = []
        for worker in cell.workers.values():

            def refuse(order, worker=worker):
                asked.append(order)
                return worker._answer(outcome)

            worker.start = refuse
        job, _ = await cell.submit([step(1)])
        await cell.until(lambda: asked and assigned(cell, job), 1.0)
        await check_queued(cell, job, 3.0)
        for worker in cell.workers.values():
            del worker.start
        await cell.all_done(20.0)

    run_scenario(scenario)


def test_job_whose_lead_is_lost_just_after_its_start_is_reported_running():
    async def scenario(cell):
        first = cell.lead_name()
        job = await submit_and_wait_for_start(cell, 8.0)
        await pause(0.01)
        cell.kill(first)
        await cell.until(lambda: led_by_another(cell, first), 5.0)
        await pause(1.0)
        await check_running(cell, job)

    run_scenario(scenario)


def test_job_whose_run_is_lost_with_its_worker_is_not_reported_queued_again():
    async def scenario(cell):
        job = await submit_and_wait_for_start(cell, 2.0)
        await pause(0.1)
        cell.workers["w0"].crash()
        await pause(15.0)
        assert await collect_answers(cell, job) == {RUNNING}
        cell.workers["w0"].restart()
        await cell.all_done(20.0)

    run_scenario(scenario, workers=1)


def test_job_whose_start_was_not_answered_is_reported_running_once_its_run_is_listed():
    async def scenario(cell):
        set_mode(cell, "mute")
        job = await submit_and_wait_for_start(cell, 8.0)
        await pause(2.0)
        set_mode(cell, "up")
        await pause(2.0)
        await check_running(cell, job)

    run_scenario(scenario)
