"""Tasks on workers: never twice at once, never above a worker, finished."""

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
def test_blend_plan_finishes_once_though_the_lead_is_killed():
    """The instance that leads the zone dies while blend plans run at night.

    Nobody is there to restart them: they must go on or start elsewhere by
    themselves, and at no time run in two places.
    """

    async def scenario():
        async with cell(entries=2, workers=2) as c:
            await c.submit(c.entries[0], job_id="plan", tasks=6, run_s=6.0, cpus=8)
            await asyncio.sleep(2.0)
            lead = await c.find_lead("porto")
            lead.kill()
            survivor = c.running_entries("porto")
            other = next(e for e in survivor if e is not lead)
            await c.wait_until_done(other, "plan", 60.0)
            runs = await c.fetch_task_runs()
            assert_no_double_run(runs)
            assert_no_overcommit(runs, 32.0)

    run_scenario(scenario)


@pytest.mark.row(2)
@pytest.mark.proof
def test_lead_paused_past_its_lease_starts_nothing_when_it_resumes():
    """The machine of the zone's lead stands still and goes on much later.

    By then another instance leads.  What the old lead still believes and
    sends must not run a reconciliation a second time.
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
    """A whole zone is lost in the night: its instances and its workers.

    In the morning the reconciliation must be done, from its checkpoint, in
    another zone, without anybody having done anything.
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
    """A zone is parted from all else for a while and then comes back.

    Its lead renews its tasks for a time, then lets them stop; another zone
    takes the work over.  Back again, the old lead must not go on with it.
    """

    async def scenario():
        zones = ("lisboa", "porto")
        async with cell(zones, entries=1, workers=2, links=True) as c:
            away, here = c.running_entries("lisboa")[0], c.running_entries("porto")[0]
            await c.submit(away, job_id="plan", tasks=4, run_s=25.0, cpus=4)
            await asyncio.sleep(2.0)
            c.cluster.cut_zone("lisboa")
            await asyncio.sleep(16.0)
            c.cluster.heal_zone("lisboa")
            await c.wait_until_done(here, "plan", 100.0)
            assert_no_double_run(await c.fetch_task_runs())

    run_scenario(scenario, 200.0)


@pytest.mark.row(1)
def test_workers_are_never_given_more_than_they_have():
    """More work than fits is submitted while the lead changes.

    A worker given more than it has would kill tasks for want of memory.
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
def test_worker_that_restarts_gets_its_tasks_again_from_the_log():
    """A worker is restarted and has forgotten its tasks.

    Its tasks must start again, there or elsewhere, and finish.
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
