"""Tasks run once at a time, within the capacity of workers, and finish."""

import asyncio
import signal

import pytest

from tests.failures.cells import (
    assert_no_double_run,
    assert_no_overcommit,
    cell,
    run_scenario,
)


@pytest.mark.row(2)
def test_tasks_finish_once_though_the_lead_is_killed():
    """The lead of the zone is killed while tasks are running.

    The tasks must continue or restart elsewhere without an operator, and must never
    run in two places at once.
    """

    async def scenario():
        async with cell(entries=2, workers=2) as c:
            await c.submit(c.entries[0], job_id="plan", tasks=6, run_s=6.0, cpus=8)
            await asyncio.sleep(2.0)
            lead = await c.find_lead("porto")
            lead.kill()
            running = c.running_entries("porto")
            other = next(e for e in running if e is not lead)
            await c.wait_until_done(other, "plan", 60.0)
            runs = await c.fetch_task_runs()
            assert_no_double_run(runs)
            assert_no_overcommit(runs, 32.0)

    run_scenario(scenario)


@pytest.mark.row(2)
@pytest.mark.proof
def test_lead_paused_past_its_lease_starts_nothing_when_it_resumes():
    """The process of the zone's lead is paused and resumes much later.

    Another instance has taken over meanwhile.  Orders of the old lead must not run
    a task a second time.
    """

    async def scenario():
        async with cell(entries=2, workers=2) as c:
            lead = await c.find_lead("porto")
            other = next(e for e in c.entries if e is not lead)
            for n in range(10):
                await c.submit(other, job_id=f"plan-{n}", tasks=2, run_s=4.0, cpus=4)
            await asyncio.sleep(0.6)
            lead.kill(signal.SIGSTOP)
            await asyncio.sleep(6.0)
            lead.kill(signal.SIGCONT)
            for n in range(10):
                await c.wait_until_done(other, f"plan-{n}", 60.0)
            runs = await c.fetch_task_runs()
            assert_no_double_run(runs)
            assert_no_overcommit(runs, 32.0)

    run_scenario(scenario)


@pytest.mark.row(2)
@pytest.mark.proof
def test_batch_work_of_a_lost_zone_finishes_in_another_zone():
    """A zone is lost with its instances and workers.

    Its batch job must finish in another zone, from its checkpoint, without an
    operator.
    """

    async def scenario():
        zones = ("lisboa", "porto")
        async with cell(zones, entries=2, workers=2, links=True) as c:
            entry = c.running_entries("lisboa")[0]
            await c.submit(entry, job_id="plan", tasks=2, run_s=12.0, cpus=4)
            await asyncio.sleep(2.0)
            c.cluster.cut_zone("lisboa")
            await c.wait_until_done(c.running_entries("porto")[0], "plan", 90.0)
            assert_no_double_run(await c.fetch_task_runs())

    run_scenario(scenario, 200.0)


@pytest.mark.row(2)
@pytest.mark.proof
def test_zone_cut_and_healed_runs_no_task_twice():
    """A zone is partitioned from everything else, and the partition heals.

    Its lead renews its tasks for a limited time and then lets them stop.  Another
    zone takes over the job.  After the partition the old lead must not continue it.
    """

    async def scenario():
        zones = ("lisboa", "porto")
        async with cell(zones, entries=1, workers=2, links=True) as c:
            lost, other = c.running_entries("lisboa")[0], c.running_entries("porto")[0]
            await c.submit(lost, job_id="plan", tasks=4, run_s=25.0, cpus=4)
            await asyncio.sleep(2.0)
            c.cluster.cut_zone("lisboa")
            await asyncio.sleep(16.0)
            c.cluster.heal_zone("lisboa")
            await c.wait_until_done(other, "plan", 100.0)
            assert_no_double_run(await c.fetch_task_runs())

    run_scenario(scenario, 200.0)


@pytest.mark.row(1)
def test_workers_are_never_given_more_than_they_have():
    """The lead changes while more work is submitted than the workers can run.

    A worker with more tasks than its capacity would kill some for lack of memory.
    """

    async def scenario():
        async with cell(entries=2, workers=2, limit=400) as c:
            for n in range(8):
                await c.submit(
                    c.entries[0], job_id=f"j{n}", tasks=4, run_s=1.0, cpus=10
                )
            await asyncio.sleep(1.0)
            lead = await c.find_lead("porto")
            lead.kill()
            other = next(e for e in c.entries if e is not lead)
            for n in range(8):
                await c.wait_until_done(other, f"j{n}", 90.0)
            runs = await c.fetch_task_runs()
            assert_no_overcommit(runs, 32.0)
            assert_no_double_run(runs)

    run_scenario(scenario)


@pytest.mark.row(2)
@pytest.mark.proof
def test_tasks_of_a_lost_worker_start_again_and_finish():
    """A worker is lost with its tasks.

    They must start again elsewhere and finish.
    """

    async def scenario():
        async with cell(entries=1, workers=2) as c:
            await c.submit(c.entries[0], job_id="plan", tasks=4, run_s=5.0, cpus=8)
            await asyncio.sleep(2.0)
            c.workers[0].kill()
            await c.workers[0].wait()
            await c.wait_until_done(c.entries[0], "plan", 90.0)
            c.workers = c.workers[1:]
            assert_no_double_run(await c.fetch_task_runs())

    run_scenario(scenario)
