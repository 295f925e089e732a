"""What each step of a job does or waits for."""

from firhook.cell import Resources, StepSpec
from firhook.decide.job_report import RunPhase, StepPhase, report_steps
from tests.decide.test_schedule import PLAN, World, tasks


def report(job, waiting=(), answering=("w0",), max_steps=20, max_runs=10):
    return report_steps(job, waiting, answering, max_steps, max_runs)


def started_run(world, job):
    world.round()
    (run,) = job.runs()
    return run


def test_each_step_has_its_phase_and_those_left_come_first():
    world = World(workers=1)
    chain = (tasks(1), tasks(1, after=(0,)), tasks(1, after=(1,)))
    job = world.submit(PLAN, *chain)
    world.finish(started_run(world, job))
    run = started_run(world, job)
    run.confirmed = True
    rows = report(job)
    assert [(row.step.number, row.phase) for row in rows] == [
        (1, StepPhase.RUNNING),
        (2, StepPhase.BLOCKED),
        (0, StepPhase.DONE),
    ]
    assert [row.blocked_by for row in rows] == [(), (1,), ()]
    (first, *_) = report(job, waiting={job.steps[0, 1]})
    assert first.phase is StepPhase.WAITING


def test_phase_of_a_run_tells_what_its_worker_does_with_it():
    world = World(workers=1)
    job = world.submit(PLAN, tasks(1))
    run = started_run(world, job)

    def phase(answering=("w0",)):
        (row,) = report(job, answering=answering)
        return row.runs[0].phase

    assert phase() is RunPhase.BOUND
    run.confirmed = True
    assert phase() is RunPhase.RUNNING
    assert phase(answering=()) is RunPhase.SILENT
    world.book.stop(run, "stalled")
    assert phase() is RunPhase.STOPPING


def test_report_of_a_large_job_is_bounded():
    world = World(workers=4)
    job = world.submit(PLAN, *(StepSpec(8, Resources(500, 1)) for _ in range(30)))
    world.round()
    rows = report(job, max_steps=5, max_runs=3)
    assert [row.step.number for row in rows] == [0, 1, 2, 3, 4]
    assert [(row.run_count, len(row.runs)) for row in rows] == [(8, 3)] * 5
