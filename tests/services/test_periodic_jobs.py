"""Periodic jobs on the platform model, through changes of the lead."""

import random

import pytest

from firhook.clock import unix_time
from standins.model import pause
from tests.services.scenarios import run_scenario, step

INTERVAL_S = 2.0


async def submit_periodic(cell, steps, occurrences, due_in_s=0.5, **more):
    """Submit a job whose first occurrence is due soon; return its id."""
    job, status = await cell.submit(
        steps,
        start_time_ms=int((unix_time() + due_in_s) * 1000),
        interval_ms=int(INTERVAL_S * 1000),
        repetitions=occurrences,
        **more,
    )
    assert status == 200
    return job


async def replace_lead(cell):
    """Kill the lead, wait for its successor, and start it again."""
    name = cell.lead_name()
    cell.kill(name)
    await cell.until(lambda: cell.lead() is not None, 5.0)
    await cell.restart(name)


def test_step_that_is_done_does_not_run_again_after_a_change_of_the_lead():
    """Users paid twice for a step of a job that had already ended for the day.

    The gang after it is done, and the worker of one of its members is cut off when
    the lead is killed.
    """

    async def scenario(cell):
        job = await submit_periodic(
            cell,
            [
                {**step(1), "work_s": 0.3},
                {**step(2, 5000, after=[0]), "all_or_nothing": True, "work_s": 3.0},
            ],
            2,
        )
        gang = [f"{job}.0.1.{i}" for i in range(2)]
        await cell.until(
            lambda: (
                {task for w in cell.workers.values() for task, _ in w.runs} >= set(gang)
            ),
            5.0,
        )
        cut = next(
            w for w in cell.workers.values() if any(t == gang[1] for t, _ in w.runs)
        )
        await pause(1.0)
        cut.mode = "cut"
        await cell.until(lambda: gang[0] in cell.checks.done, 5.0)
        await replace_lead(cell)
        await pause(4.0)
        cut.mode = "up"
        await cell.all_done(40.0)

    run_scenario(scenario)


@pytest.mark.parametrize("seed", range(12))
def test_each_occurrence_runs_once_through_random_changes_of_the_lead(seed):
    async def scenario(cell):
        rng = random.Random(seed)
        shapes = (
            [step(1)],
            [step(2), step(1, after=[0])],
            [step(1), {**step(2, 5000, after=[0]), "all_or_nothing": True}],
        )
        jobs = {}
        for shape in shapes:
            count = rng.randrange(2, 7)
            work_s = rng.choice((0.5, 3.0))
            job = await submit_periodic(cell, shape, count, work_s=work_s)
            jobs[job] = count
        for _ in range(4):
            await pause(rng.uniform(0.5, 4.0))
            worker = rng.choice(list(cell.workers.values()))
            worker.mode = rng.choice(("up", "cut"))
            await replace_lead(cell)
        for worker in cell.workers.values():
            worker.mode = "up"
        await cell.all_done(60.0)
        for job, count in jobs.items():
            begun = {
                int(task.split(".")[1])
                for task in cell.checks.last_start
                if task.startswith(job)
            }
            assert begun == set(range(count))

    run_scenario(scenario, workers=3, seed=seed)
