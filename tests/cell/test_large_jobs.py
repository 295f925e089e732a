"""What large jobs take on the lead and in the store, at any point of their lives."""

import random
import tracemalloc

import attrs
import pytest
from hypothesis import assume, given, settings
from hypothesis import strategies as st

from firhook.cell import (
    AcceptedJob,
    JobSpec,
    JobState,
    JobTable,
    Replica,
    Resources,
    RunEnd,
    StepSpec,
    TaskState,
)
from firhook.cell._records import WorkerIncarnation
from firhook.cell.job_limits import JobLimits, JobSize, find_excess, job_size
from firhook.cell.records import (
    JOB_PREFIX,
    STATE_PREFIX,
    decode_record,
    decode_state_summary,
    encode_record,
)
from firhook.errors import RecordMalformedError
from tests.cell.test_job_table_occurrences import CONFIG, JOB, QUEUE, START

RECORD_BYTES = 262_144
LARGEST = "1" * 1024


def large_job(steps=27, count=10_000, **more):
    step = StepSpec(count, Resources(100, 16), **more)
    spec = JobSpec("nightly", (step,) * steps)
    return AcceptedJob(JOB, "a", QUEUE, START, spec, job_size(spec))


def table_of(job, state=None, limits=None):
    table = JobTable(CONFIG, limits)
    table.add(job, state, START, START)
    return table


def start(table, step, count, worker="w{}"):
    """Start tasks as a round does, as far as the job's state has room."""
    room = len(step.tasks.waiting_again) + step.job.startable_tasks(step)
    indexes = [i for i, _ in zip(step.idle, range(min(count, room)), strict=False)]
    rows = [(step.idle[i], worker.format(i % 40), 7) for i in indexes]
    runs = table.plan(step, rows, START) if rows else []
    for run in table.take_planned():
        run.stored = True
    return runs


def end(table, run, how, checkpoint=""):
    table.end(run, how, checkpoint, START, START)
    table.ended_runs.clear()
    for other in table.take_to_stop():
        table.void(other, "stopped", START)


def stored(job):
    """Return the job's record, which the store must accept."""
    raw = encode_record(job.to_state(10**18))
    assert len(raw) + 256 <= RECORD_BYTES
    return raw


def test_lead_holds_what_was_started_of_a_job_and_not_what_was_asked_for():
    """One accepted job took each lead over its memory, one after the other.

    An object was made for each of two million tasks, in one pass, by each lead.
    """
    tracemalloc.start()
    try:
        table = table_of(large_job(200))
        taken = tracemalloc.get_traced_memory()[0]
        for step in list(table.jobs[JOB].steps.values())[:20]:
            start(table, step, 5)
    finally:
        tracemalloc.stop()
    assert taken < 2_000_000
    assert sum(len(s.tasks.active) for s in table.jobs[JOB].steps.values()) == 100


@pytest.mark.parametrize("checkpoints", [False, True])
def test_state_of_a_large_job_fits_in_a_record_throughout_its_life(checkpoints):
    """The state of a job of 27 steps of 10,000 tasks outgrew the store's limit.

    Nothing of any job was stored or started any more.
    """
    rng = random.Random(1)
    job = large_job(4, 3_000, checkpoints=checkpoints)
    table = table_of(job)
    ended, rounds = 0, 0
    while JOB in table.jobs:
        rounds += 1
        for step in list(table.open_steps.values()):
            start(table, step, 700)
        found = table.jobs[JOB]
        raw = stored(found)
        runs = [run for run in found.runs() if run.task.index % 1000]
        runs = runs or list(found.runs())
        rng.shuffle(runs)
        for run in runs[: max(len(runs) * 3 // 4, 1)]:
            lost = rng.random() < 0.1 and rounds < 60
            how = RunEnd.STOPPED if lost else RunEnd.DONE
            ended += not lost
            end(table, run, how, LARGEST)
        if rounds % 3 == 0 and JOB in table.jobs:
            raw = stored(table.jobs[JOB])
            before = table
            table = table_of(job, decode_state_summary(raw).decode())
            assert stored(table.jobs[JOB]) == raw
            again, known = table.jobs[JOB], before.jobs[JOB]
            assert again.active_row_bytes == known.active_row_bytes
            assert [s.remaining for s in again.steps.values()] == [
                s.remaining for s in known.steps.values()
            ]
    assert ended == 12_000
    assert table.active_bytes == 0 and table.jobs_size == JobSize()


STEPS = st.lists(
    st.builds(
        lambda count, gang, checkpoints: StepSpec(
            count, Resources(100, 16), gang=gang, checkpoints=checkpoints
        ),
        st.one_of(st.integers(1, 200), st.integers(1, 10_000)),
        st.booleans(),
        st.booleans(),
    ),
    min_size=1,
    max_size=60,
)


@given(STEPS, st.integers(0, 3), st.integers(0, 2**32))
@settings(max_examples=40, deadline=None)
def test_state_of_any_accepted_job_fits_with_all_that_may_be_active(
    steps, occurrences, seed
):
    """Every other task is done, and the others were stopped with long checkpoints."""
    limits = JobLimits(RECORD_BYTES)
    spec = JobSpec("x", tuple(steps), START - 3.0, 1.0, occurrences)
    assume(not find_excess(spec, limits))
    job = AcceptedJob(JOB, "a", QUEUE, START, spec)
    table = table_of(job, limits=limits)
    rng = random.Random(seed)
    for _ in range(4):
        for step in list(table.open_steps.values()):
            whole = step.spec.count
            if step.spec.gang and step.job.startable_tasks(step) < whole:
                continue
            runs = start(table, step, whole if step.spec.gang else 300)
            ends = rng.random() < 0.3
            for run in runs:
                run.task.update_checkpoint(LARGEST)
                if (
                    run.task.runs
                    and (ends or (rng.random() < 0.5))
                    and not (step.spec.gang)
                ):
                    end(table, run, RunEnd.DONE if ends else RunEnd.STOPPED, LARGEST)
        if JOB not in table.jobs:
            return
        state = decode_record(JobState, stored(table.jobs[JOB]))
        assert state.status == table.jobs[JOB].status


def test_every_accepted_job_may_start_a_task_while_all_others_are_done():
    """The room of a state must not be used up by the tasks that are done."""
    limits = JobLimits(RECORD_BYTES)
    job = large_job(70)
    assert find_excess(job.spec, limits) == ""
    table = table_of(job, limits=limits)
    step = table.jobs[JOB].steps[0, 0]
    (first,) = start(table, step, 1)
    while step.remaining > 1:
        for run in start(table, step, 500):
            end(table, run, RunEnd.DONE)
    assert step.job.startable_tasks(step) > 900
    stored(step.job)
    end(table, first, RunEnd.DONE)
    assert not step.tasks.active


@pytest.mark.parametrize(
    "steps", [((10_000, False),) * 200, ((2000, True),), ((10_000, True),)]
)
def test_job_whose_state_may_outgrow_a_record_is_not_accepted(steps):
    spec = JobSpec(
        "x", tuple(StepSpec(n, Resources(100, 16), gang=g) for n, g in steps)
    )
    assert find_excess(spec, JobLimits(RECORD_BYTES))


def test_ended_job_takes_the_memory_of_its_digest_only():
    """Ended jobs are kept for minutes with specifications that nobody needs."""
    replica, job = Replica(), large_job(200)
    replica.apply(0, JOB_PREFIX + JOB, encode_record(job), 1)
    assert replica.jobs_size == job.size == JobSize(job.size.memory_bytes, 200)
    assert job.size.memory_bytes > 2_000_000
    state = JobState(2, START, version=1)
    replica.apply(0, STATE_PREFIX + JOB, encode_record(state), 0)
    assert replica.jobs[JOB].accepted.is_digest
    assert replica.jobs_size.fits_in(JobSize(2000, 0))
    # The record is read once more when the partition is read again.
    replica.apply(0, JOB_PREFIX + JOB, encode_record(job), 1)
    assert replica.jobs[JOB].accepted.is_digest
    for partition, prefix in ((1, JOB_PREFIX), (0, STATE_PREFIX)):
        replica.apply(1, prefix + JOB, None, partition)
    assert replica.jobs_size == JobSize() and not replica.jobs


def test_repeated_occurrences_share_a_bounded_memory():
    """Each periodic job had thousands of open occurrences, whatever others had."""
    table = JobTable(CONFIG, JobLimits(repeat_bytes=200_000))
    spec = JobSpec("x", (StepSpec(1, Resources(100, 16)),), START, 0.001, 5000)
    for number in range(20):
        job = AcceptedJob(f"{number:016x}", "a", QUEUE, START, spec)
        table.add(job, None, START, START + 60)
    opened = [len(job.open_occurrences) for job in table.jobs.values()]
    assert min(opened) == 1 and sum(opened) < 120
    assert table.repeat_bytes <= 210_000
    for job in list(table.jobs):
        table.cancel(job, START)
    assert table.repeat_bytes == 0 and table.jobs_size == JobSize()


@attrs.frozen
class EarlierStep:
    """The fields of a step that builds without ranges know."""

    occurrence: int
    number: int
    tasks: tuple[TaskState | None, ...]
    failed_run: int = 0


@attrs.frozen
class EarlierState:
    """The fields of a state up to its steps, as builds without ranges know them."""

    status: int
    ended_at: float
    workers: tuple[WorkerIncarnation, ...]
    steps: tuple[EarlierStep, ...]


@pytest.mark.parametrize(("count", "is_read"), [(128, True), (129, False)])
def test_earlier_builds_read_small_states_and_leave_large_jobs_alone(count, is_read):
    """They would take a step whose tasks are not listed for one never started."""
    table = table_of(large_job(1, count))
    start(table, table.jobs[JOB].steps[0, 0], 3)
    raw = stored(table.jobs[JOB])
    if is_read:
        (step,) = decode_record(EarlierState, raw).steps
        assert [task is not None for task in step.tasks] == [True] * 3 + [False] * 125
    else:
        with pytest.raises(RecordMalformedError):
            decode_record(EarlierState, raw)
    assert decode_state_summary(raw).decode().steps[0].number == 0
