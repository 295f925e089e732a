"""Work survives lost leads, workers and zones, and nothing runs twice."""

import pytest

from firhook.cell import JobStatus
from standins.model import now, pause
from tests.services.scenarios import run_scenario, step

SEEDS = range(8)
REMAINING_ZONE, CUT_ZONE = ("i0", "i1"), ("i2", "i3")
#: The cores of all workers of a scenario.
TOTAL_CORES = 6 * 8


async def move_lead_to(cell, names):
    """Make one of the named instances the lead."""
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


def partition_zone(cell):
    """Partition half of the instances and workers from the store and the rest."""
    for worker in workers_of_cut_zone(cell):
        worker.unreachable_from |= set(REMAINING_ZONE)
    for worker in workers_of_remaining_zone(cell):
        worker.unreachable_from |= set(CUT_ZONE)
    for name in CUT_ZONE:
        cell.store.mode[name] = "silent"
    cell.cut_links += [{a, b} for a in REMAINING_ZONE for b in CUT_ZONE]


def heal_partition(cell):
    """Undo :func:`partition_zone`."""
    for worker in cell.workers.values():
        worker.unreachable_from.clear()
    cell.store.mode.clear()
    cell.cut_links.clear()


def workers_of_remaining_zone(cell):
    return [cell.workers[f"w{i}"] for i in range(3)]


def workers_of_cut_zone(cell):
    return [cell.workers[f"w{i}"] for i in range(3, 6)]


def runs_on(workers):
    """Return the active runs on some workers, by task."""
    return {run.task: run for worker in workers for run in worker.runs.values()}


async def submit_running(cell, tasks, work_s, **more):
    """Submit a job and wait until all its tasks run."""
    job, status = await cell.submit([step(tasks, 2000, **more)], work_s=work_s)
    assert status == 200
    await cell.until(lambda: len(runs_on(cell.workers.values())) == tasks, 5.0)
    return job


@pytest.mark.row(2)
@pytest.mark.parametrize("seed", SEEDS)
def test_blend_plan_finishes_once_although_the_lead_is_killed(seed):
    """Work must survive the loss of the lead without an operator.

    The lead's instance is killed while blend plans run at night.  Their tasks must
    continue or start elsewhere by themselves, and must never run in two places.
    """

    async def scenario(cell):
        job = await submit_running(cell, 12, 6.0)
        began = dict(cell.checks.last_start)
        cell.kill(cell.lead_name())
        await cell.all_done(20.0)
        assert cell.final(job) is JobStatus.COMPLETED
        # The workers stayed available, so that no task had to start again.
        assert cell.checks.last_start == began

    run_scenario(scenario, seed=seed)


@pytest.mark.row(2)
@pytest.mark.parametrize("seed", SEEDS)
def test_lead_that_was_frozen_past_its_proof_starts_nothing_afterwards(seed):
    """A superseded lead that resumes must not start anything.

    The lead's machine freezes and resumes after another instance has become lead.
    The stale orders of the old lead must not run a reconciliation a second time.
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


def kill_zone(cell):
    """Lose half of the instances and workers for good; return the tasks on them."""
    lost = set(runs_on(workers_of_cut_zone(cell)))
    for name in CUT_ZONE:
        cell.kill(name)
    for worker in workers_of_cut_zone(cell):
        worker.crash()
        cell.unregister(worker.name)
    return lost


@pytest.mark.row(2)
@pytest.mark.parametrize("seed", SEEDS)
def test_work_of_a_lost_zone_resumes_elsewhere_from_its_checkpoints(seed):
    """Tasks of a lost zone must resume elsewhere from their checkpoints.

    A zone without the lead is lost at night, with its workers.  The reconciliation
    must be complete in the morning without an operator, and work that was saved in a
    checkpoint must not be repeated.
    """

    async def scenario(cell):
        await move_lead_to(cell, REMAINING_ZONE)
        job = await submit_running(cell, 18, 12.0, enable_checkpoints=True)
        await pause(4.0)
        lost = kill_zone(cell)
        assert lost
        resumed = {}

        def all_resumed():
            found = runs_on(workers_of_remaining_zone(cell))
            resumed.update({task: run for task, run in found.items() if task in lost})
            return resumed.keys() == lost

        await cell.until(all_resumed, 40.0)
        assert all(run.saved_s >= 3.0 for run in resumed.values())
        await cell.all_done(40.0)
        assert cell.final(job) is JobStatus.COMPLETED

    run_scenario(scenario, instances=4, seed=seed)


@pytest.mark.row(2)
@pytest.mark.parametrize("seed", SEEDS)
def test_work_of_a_zone_lost_with_the_lead_finishes_elsewhere(seed):
    """Work must survive the simultaneous loss of the lead and its zone.

    The successor knows the lost runs only from the store.  If it ignored them, the
    work would be missing in the morning.  If it started them before their leases
    have expired, the work would be done twice.
    """

    async def scenario(cell):
        await move_lead_to(cell, CUT_ZONE)
        job = await submit_running(cell, 18, 12.0)
        await pause(4.0)
        lost, lost_at = kill_zone(cell), now()
        assert lost
        await cell.all_done(60.0)
        assert cell.final(job) is JobStatus.COMPLETED
        assert all(cell.checks.last_start[task] > lost_at for task in lost)

    run_scenario(scenario, instances=4, seed=seed)


@pytest.mark.row(2)
@pytest.mark.parametrize("cut_s", [2.0, 16.0])
@pytest.mark.parametrize("seed", SEEDS)
def test_partition_of_the_leads_zone_runs_no_task_twice(seed, cut_s):
    """A temporary partition of the lead's zone must not run a task twice.

    The old lead renews the leases of its tasks for a limited time and then lets them
    expire, and the other zone takes the work over.  After the partition heals, the
    old lead must not continue that work.
    """

    async def scenario(cell):
        await move_lead_to(cell, CUT_ZONE)
        job = await submit_running(cell, 18, 25.0)
        partition_zone(cell)
        await pause(cut_s)
        assert cell.lead_name() in REMAINING_ZONE
        heal_partition(cell)
        await cell.all_done(100.0)
        assert cell.final(job) is JobStatus.COMPLETED

    run_scenario(scenario, instances=4, seed=seed)


@pytest.mark.row(1)
@pytest.mark.row(2)
@pytest.mark.parametrize("seed", SEEDS)
def test_workers_are_never_assigned_more_than_their_capacity(seed):
    """A change of the lead must not over-commit workers.

    Three times the work that fits is submitted while the lead changes.  A worker
    that gets more than its capacity would kill tasks for lack of memory.
    """

    async def scenario(cell):
        for _ in range(12):
            await cell.submit([step(4, 3000)], work_s=1.0)
        await cell.until(lambda: used_cores(cell) > TOTAL_CORES / 2, 5.0)
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
    """Tasks that a restarted worker lost must start again somewhere and finish."""

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


@pytest.mark.parametrize("lead_changes", [False, True])
def test_task_does_not_start_after_the_end_of_its_lost_run_was_read(lead_changes):
    """The end of a run that was voided was acknowledged, and its task ran again."""

    async def scenario(cell):
        worker = cell.workers["w0"]
        job, _ = await cell.submit([step(1)], work_s=3.0)
        await pause(1.0)
        worker.mode = "cut"
        await cell.until(lambda: not any(lead_runs(cell)), 20.0)
        if lead_changes:
            cell.kill(cell.lead_name())
            await cell.until(lambda: cell.lead() is not None, 5.0)
        worker.mode = "up"
        await cell.until(lambda: cell.ended(job), 10.0)
        assert worker.started_runs == 1

    run_scenario(scenario, workers=1)


def lead_runs(cell):
    """Return the runs in the lead's table, by worker."""
    return list(cell.lead().lead.term.job_table.worker_runs.values())
