"""Periodic jobs: each occurrence runs once, whichever leads follow each other."""

import attrs
import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from firhook.cell import (
    AcceptedJob,
    CellConfig,
    EndedRow,
    JobSpec,
    JobState,
    JobStatus,
    JobTable,
    PollReply,
    Pool,
    Queue,
    Resources,
    RunEnd,
    StepSpec,
)
from firhook.cell.records import decode_record, encode_record
from firhook.errors import RecordMalformedError

QUEUE = Queue("plan", "h", "/plan/", "pool", max_attempts=3)
CONFIG = CellConfig(1, (QUEUE,), (), (Pool("pool"),))
JOB = "00000000000000d1"
INTERVAL_S = 10.0
START = 1000.0


def a_step(count, **more):
    return StepSpec(count, Resources(1000, 100), **more)


TASK_THEN_GANG = (a_step(1), a_step(2, after=(0,), gang=True))


def accept(steps, occurrences, start=START):
    spec = JobSpec("x", steps, start, INTERVAL_S, occurrences)
    return AcceptedJob(JOB, "a", QUEUE, START, spec)


def table_of(accepted, state=None, now=START):
    """Return the table of a lead that knows a job; boot and wall clock agree."""
    table = JobTable(CONFIG)
    table.add(accepted, state, now, now)
    return table


def take_over(table, now, read_state=lambda raw: decode_record(JobState, raw)):
    """Return the table of the next lead."""
    job = table.jobs[JOB]
    return table_of(job.accepted, read_state(encode_record(job.to_state(1))), now)


def start(table, name, now, worker="w{index}"):
    """Assign all tasks of a step, each to a worker of its own; return the runs."""
    step = table.open_steps[name]
    rows = [(t, worker.format(index=t.index), 1) for t in step.idle.values()]
    runs = table.plan(step, rows, now)
    for run in table.take_planned():
        run.stored = True
    return runs


def end(table, run, now, how=RunEnd.DONE):
    """Let a worker report the end of a run, and of none of its others."""
    row = EndedRow(1, *run.key, how, "")
    reply = PollReply(1, 1.0, (), (row,))
    table.apply_poll_reply(run.worker, reply, -1.0, now, now)


def read_earlier_state(raw):
    """Return a state as builds wrote it that knew of no releases."""
    state = decode_record(JobState, raw)
    ranges = state.releases.open_ranges
    first = ranges[0].first if ranges else state.releases.next_occurrence
    return attrs.evolve(state, first_occurrence=first, releases=None)


READERS = pytest.mark.parametrize(
    "read_state",
    [lambda raw: decode_record(JobState, raw), read_earlier_state],
    ids=["present", "earlier"],
)


@READERS
def test_done_step_does_not_run_again_while_a_member_of_its_last_gang_is_unheard(
    read_state,
):
    """A successor took steps that are left out of the state for new ones.

    An occurrence is done when one member of its gang says so.  Its record then has
    only the gang, as the other member's worker is cut off.
    """
    table = table_of(accept(TASK_THEN_GANG, 2))
    (first,) = start(table, f"{JOB}.0.0", START)
    end(table, first, START + 1)
    one, other = start(table, f"{JOB}.0.1", START + 1)
    end(table, one, START + 2)
    successor = take_over(table, START + 3, read_state)
    assert not successor.open_steps
    assert list(successor.worker_runs["w1"]) == [other.key]
    end(successor, other, START + 4)
    assert not successor.jobs[JOB].steps
    successor.tick(START + INTERVAL_S, START + INTERVAL_S)
    assert list(successor.open_steps) == [f"{JOB}.1.0"]


@READERS
def test_occurrence_that_waits_while_later_ones_end_is_released_by_the_next_lead(
    read_state,
):
    """The occurrence ran never, as only started ones were in the state."""
    table = table_of(accept((a_step(1),), 3), now=START + 2 * INTERVAL_S)
    for number in (1, 2):
        start(table, f"{JOB}.{number}.0", START + 20, worker=f"w{number}")
    table = take_over(table, START + 21, read_state)
    for number in (1, 2):
        (run,) = table.worker_runs[f"w{number}"].values()
        end(table, run, START + 22)
        table = take_over(table, START + 23)
        assert list(table.open_steps) == [f"{JOB}.0.0"]
    (run,) = start(table, f"{JOB}.0.0", START + 24)
    end(table, run, START + 25)
    assert not table.jobs


def test_waiting_occurrence_keeps_its_due_time_under_the_next_lead():
    table = table_of(accept((a_step(1),), 2), now=START + INTERVAL_S)
    start(table, f"{JOB}.1.0", START + INTERVAL_S)
    job = take_over(table, START + 15).jobs[JOB]
    assert job.due_at == {0: START, 1: START + INTERVAL_S}


def test_stored_state_and_memory_stay_small_with_thousands_of_occurrences():
    """One occurrence waits for long while thousands of later ones run and end."""
    count = 3000
    table = table_of(accept(TASK_THEN_GANG, count))
    for number in range(1, count):
        now = START + number * INTERVAL_S
        table.tick(now, now)
        (run,) = start(table, f"{JOB}.{number}.0", now)
        end(table, run, now)
        for member in start(table, f"{JOB}.{number}.1", now):
            end(table, member, now)
    job = table.jobs[JOB]
    assert len(encode_record(job.to_state(1))) < 200
    assert len(job.steps) == 2
    assert list(job.due_at) == [0]


def test_job_with_many_due_occurrences_does_not_fill_the_memory():
    """Any caller may ask for millions of repetitions since 1970.

    The lead released all of them at once, and so did each successor.
    """
    count, most = 30_000, 10_000
    now = START + count * INTERVAL_S
    table = table_of(accept((a_step(1),), count), now=now)
    job = table.jobs[JOB]
    assert job.open_occurrences == set(range(most))
    for number in range(2):
        (run,) = start(table, f"{JOB}.{number}.0", now)
        end(table, run, now)
    table.tick(now, now)
    assert job.open_occurrences == set(range(2, most + 2))
    assert take_over(table, now).jobs[JOB].open_occurrences == job.open_occurrences


@attrs.frozen
class EarlierState:
    """The fields of a state that builds without releases know."""

    status: int
    ended_at: float
    workers: tuple[int, ...]
    steps: tuple[int, ...]
    first_occurrence: int
    version: int


def test_earlier_builds_leave_an_unfinished_periodic_job_alone():
    """During a rolling restart they would take left out steps for new ones."""
    periodic = table_of(accept((a_step(1),), 2)).jobs[JOB]
    with pytest.raises(RecordMalformedError):
        decode_record(EarlierState, encode_record(periodic.to_state(1)))
    single = table_of(accept((a_step(1),), 0)).jobs[JOB]
    state = decode_record(EarlierState, encode_record(single.to_state(1)))
    assert state.first_occurrence == 0
    periodic.status = JobStatus.CANCELLED
    decode_record(EarlierState, encode_record(periodic.to_state(1)))


STEPS = st.sampled_from(
    [
        (a_step(1),),
        TASK_THEN_GANG,
        (a_step(2), a_step(1), a_step(2, after=(0, 1))),
        (a_step(2, gang=True), a_step(1, after=(0,)), a_step(2, after=(1,), gang=True)),
    ]
)
PICK = st.integers(0, 30)


class OccurrenceMachine(RuleBasedStateMachine):
    """Occurrences overlap, workers are heard late, and leads follow each other.

    Every occurrence that is due runs to its end exactly once, and a state that is
    stored and read again is the same state.
    """

    def __init__(self):
        super().__init__()
        self.now = START
        self.done = set()
        self.table = None

    @initialize(steps=STEPS, occurrences=st.integers(1, 6))
    def submit(self, steps, occurrences):
        self.table = table_of(accept(steps, occurrences))

    def job(self):
        return self.table.jobs.get(JOB) if self.table else None

    @rule(seconds=st.floats(0.5, 25.0))
    def time_passes(self, seconds):
        self.now += seconds
        self.table.tick(self.now, self.now)

    @precondition(lambda self: self.job() and self.table.open_steps)
    @rule(pick=PICK)
    def start_a_step(self, pick):
        names = list(self.table.open_steps)
        for run in start(self.table, names[pick % len(names)], self.now):
            assert run.task.name not in self.done

    def end_one(self, pick, how):
        runs = [run for run in self.job().runs() if run.stored]
        if not runs:
            return
        run = runs[pick % len(runs)]
        step = run.task.step
        if step.spec.gang and not step.remaining:
            how = RunEnd.DONE
        if how is RunEnd.DONE:
            self.done.add(run.task.name)
            if step.spec.gang:
                self.done |= {task.name for task in step.tasks}
        end_alone(self.table, run, self.now, how)

    @precondition(lambda self: self.job())
    @rule(pick=PICK)
    def run_is_done(self, pick):
        self.end_one(pick, RunEnd.DONE)

    @precondition(lambda self: self.job())
    @rule(pick=PICK)
    def run_is_stopped(self, pick):
        self.end_one(pick, RunEnd.STOPPED)

    @precondition(lambda self: self.job())
    @rule()
    def another_lead_takes_over(self):
        self.table = take_over(self.table, self.now)

    @precondition(lambda self: self.job())
    @rule(changes_lead=st.booleans())
    def all_goes_well(self, changes_lead):
        job = self.job()
        self.now = START + job.accepted.spec.occurrences * INTERVAL_S
        for _ in range(200):
            self.table.tick(self.now, self.now)
            for name in list(self.table.open_steps):
                for run in start(self.table, name, self.now):
                    assert run.task.name not in self.done
            if changes_lead:
                self.another_lead_takes_over()
            self.end_one(0, RunEnd.DONE)
            if not self.job():
                break
        numbers = range(job.accepted.spec.occurrences)
        steps = list(enumerate(job.accepted.spec.steps))
        assert self.done == {
            f"{JOB}.{k}.{n}.{i}"
            for k in numbers
            for n, spec in steps
            for i in range(spec.count)
        }
        assert not self.table.jobs

    @invariant()
    def stored_state_is_read_as_it_was(self):
        job = self.job()
        if job is None:
            return
        again = take_over(self.table, self.now).jobs[JOB]
        known = job.to_state(1)
        read = again.to_state(1)
        # Reading the state releases the occurrences that are due meanwhile.
        has_ended = known.releases is None or read.releases is None
        if has_ended or (
            read.releases.next_occurrence == known.releases.next_occurrence
        ):
            assert read == known


def end_alone(table, run, now, how):
    """Let a worker report the end of one run, and list its others as running."""
    table.end(run, how, "", now, now)
    table.ended_runs.clear()


TestOccurrences = OccurrenceMachine.TestCase
TestOccurrences.settings = settings(
    max_examples=150, stateful_step_count=40, deadline=None
)
