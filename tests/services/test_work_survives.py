"""Work goes on through lost leads, workers and zones, and nothing runs twice."""

import pytest

from firhook.cell import JobStatus
from standins.model import now, pause
from tests.services.scenarios import run_scenario, step

SEEDS = range(8)
HERE, AWAY = ("i0", "i1"), ("i2", "i3")
#: What the workers of the scenes have together, in cores.
CORES = 6 * 8


async def lead_from(cell, names):
    """Let one of some instances lead."""
    others = [name for name in cell.instances if name not in names]
    if cell.lead_name() in names:
        return
    for name in others:
        cell.kill(name)
    await cell.until(lambda: cell.lead() is not None, 5.0)
    for name in others:
        await cell.restart(name)
    await pause(1.0)
    assert cell.lead_name() in names


def cut_zone(cell):
    """Part half of the instances and workers from the store and all others."""
    for worker in workers_away(cell):
        worker.unreachable_from |= set(HERE)
    for worker in workers_here(cell):
        worker.unreachable_from |= set(AWAY)
    for name in AWAY:
        cell.store.mode[name] = "silent"
    cell.cut_links += [{a, b} for a in HERE for b in AWAY]


def heal_zone(cell):
    """Undo :func:`cut_zone`."""
    for worker in cell.workers.values():
        worker.unreachable_from.clear()
    cell.store.mode.clear()
    cell.cut_links.clear()


def workers_here(cell):
    return [cell.workers[f"w{i}"] for i in range(3)]


def workers_away(cell):
    return [cell.workers[f"w{i}"] for i in range(3, 6)]


def runs_on(workers):
    """Return the runs that go on there, by task."""
    return {run.task: run for worker in workers for run in worker.runs.values()}


async def submit_running(cell, tasks, work_s, **more):
    """Submit a job and wait until all its tasks run."""
    job, status = await cell.submit([step(tasks, 2000, **more)], work_s=work_s)
    assert status == 200
    await cell.until(lambda: len(runs_on(cell.workers.values())) == tasks, 5.0)
    return job


@pytest.mark.row(2)
@pytest.mark.parametrize("seed", SEEDS)
def test_blend_plan_finishes_once_though_the_lead_is_killed(seed):
    """The instance that leads dies while blend plans run at night.

    Nobody is there to restart them: they must go on or start elsewhere by
    themselves, and at no time run in two places.
    """

    async def scenario(cell):
        job = await submit_running(cell, 12, 6.0)
        began = dict(cell.checks.last_start)
        cell.kill(cell.lead_name())
        await cell.all_done(20.0)
        assert cell.final(job) is JobStatus.COMPLETED
        # The workers were never lost, so that nothing had to start again.
        assert cell.checks.last_start == began

    run_scenario(scenario, seed=seed)


@pytest.mark.row(2)
@pytest.mark.parametrize("seed", SEEDS)
def test_lead_held_up_past_its_proof_starts_nothing_when_it_goes_on(seed):
    """The machine of the lead stands still and goes on much later.

    By then another instance leads.  What the old lead still believes and sends
    must not run a reconciliation a second time.
    """

    async def scenario(cell):
        for _ in range(10):
            await cell.submit([step(2, 4000)], work_s=4.0)
        await pause(0.6)
        first = cell.lead_name()
        cell.freeze(first)
        await pause(6.0)
        cell.unfreeze(first)
        await pause(0.5)
        assert not cell.instances[first].leads
        await cell.all_done(40.0)

    run_scenario(scenario, seed=seed)


def lose_zone(cell):
    """Lose half of the instances and workers for good; return what ran there."""
    lost = set(runs_on(workers_away(cell)))
    for name in AWAY:
        cell.kill(name)
    for worker in workers_away(cell):
        worker.crash()
        cell.unregister(worker.name)
    return lost


@pytest.mark.row(2)
@pytest.mark.parametrize("seed", SEEDS)
def test_work_of_a_lost_zone_goes_on_elsewhere_from_its_checkpoints(seed):
    """A zone is lost in the night, its workers with it; the lead is in another one.

    In the morning the reconciliation must be done, without anybody having done
    anything; and what was saved of it must not have been done again.
    """

    async def scenario(cell):
        await lead_from(cell, HERE)
        job = await submit_running(cell, 18, 12.0, enable_checkpoints=True)
        await pause(4.0)
        lost = lose_zone(cell)
        assert lost
        resumed = {}

        def all_resumed():
            found = runs_on(workers_here(cell))
            resumed.update({task: run for task, run in found.items() if task in lost})
            return resumed.keys() == lost

        await cell.until(all_resumed, 40.0)
        assert all(run.saved_s >= 3.0 for run in resumed.values())
        await cell.all_done(40.0)
        assert cell.final(job) is JobStatus.COMPLETED

    run_scenario(scenario, instances=4, seed=seed)


@pytest.mark.row(2)
@pytest.mark.parametrize("seed", SEEDS)
def test_work_of_a_zone_that_is_lost_with_the_lead_finishes_elsewhere(seed):
    """Instances, workers and the lead are gone in the same moment.

    The successor knows what ran there from the store alone.  Were it forgotten,
    or started before the leases there have lapsed, the work would be missing in
    the morning or be done twice.
    """

    async def scenario(cell):
        await lead_from(cell, AWAY)
        job = await submit_running(cell, 18, 12.0)
        await pause(4.0)
        lost, lost_at = lose_zone(cell), now()
        assert lost
        await cell.all_done(60.0)
        assert cell.final(job) is JobStatus.COMPLETED
        assert all(cell.checks.last_start[task] > lost_at for task in lost)

    run_scenario(scenario, instances=4, seed=seed)


@pytest.mark.row(2)
@pytest.mark.parametrize("cut_s", [2.0, 16.0])
@pytest.mark.parametrize("seed", SEEDS)
def test_zone_with_the_lead_that_is_cut_and_healed_runs_no_task_twice(seed, cut_s):
    """A zone is parted from all else for a while and then comes back.

    Its lead renews its tasks for a time, then lets them lapse; the other zone
    takes the work over.  Back again, the old lead must not go on with it.
    """

    async def scenario(cell):
        await lead_from(cell, AWAY)
        job = await submit_running(cell, 18, 25.0)
        cut_zone(cell)
        await pause(cut_s)
        assert cell.lead_name() in HERE
        heal_zone(cell)
        await cell.all_done(100.0)
        assert cell.final(job) is JobStatus.COMPLETED

    run_scenario(scenario, instances=4, seed=seed)


@pytest.mark.row(1)
@pytest.mark.row(2)
@pytest.mark.parametrize("seed", SEEDS)
def test_workers_are_never_given_more_than_they_have(seed):
    """Three times the work that fits is submitted while the lead changes.

    A worker given more than it has would kill tasks for want of memory.
    """

    async def scenario(cell):
        for _ in range(12):
            await cell.submit([step(4, 3000)], work_s=1.0)
        await cell.until(lambda: used_cores(cell) > CORES / 2, 5.0)
        cell.kill(cell.lead_name())
        began = now()
        await cell.all_done(60.0)
        assert now() - began > 1.0

    run_scenario(scenario, seed=seed)


def used_cores(cell):
    return sum(w.used().cpu_m for w in cell.workers.values()) / 1000


@pytest.mark.row(2)
@pytest.mark.parametrize("seed", SEEDS)
def test_tasks_of_a_worker_that_restarts_run_again(seed):
    """A worker is restarted and has forgotten its tasks.

    They must start again, there or elsewhere, and finish.
    """

    async def scenario(cell):
        job = await submit_running(cell, 12, 5.0)
        worker = next(w for w in cell.workers.values() if w.runs)
        lost = set(runs_on([worker]))
        crashed_at = now()
        worker.restart()
        cell.register(worker.name)
        await cell.all_done(40.0)
        assert cell.final(job) is JobStatus.COMPLETED
        assert all(cell.checks.last_start[task] > crashed_at for task in lost)

    run_scenario(scenario, seed=seed)
