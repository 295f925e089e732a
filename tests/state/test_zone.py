"""States of zones and of jobs: equal at every reader, and bounded."""

import msgspec
from hypothesis import given
from hypothesis import strategies as st

from firhook.model import (
    Assigned,
    Assignment,
    CarriedTask,
    Ended,
    Ending,
    Envelope,
    JobAccepted,
    JobEnd,
    JobsClosed,
    JobsEnded,
    JobSpec,
    LeadClaimed,
    TasksCarried,
    Verdict,
    ZoneFenced,
)
from firhook.state import CellState, ZoneState
from firhook.state._cell import MAX_ENDED, MAX_PRUNED
from firhook.state._zone import MAX_CLOSED, MAX_NOTES

JOBS = ["t/a", "t/b", "u/c"]
REFS = st.tuples(st.sampled_from(JOBS), st.integers(0, 2), st.integers(1, 3))
EPOCHS = st.integers(1, 3)
BODIES = st.one_of(
    st.builds(ZoneFenced, EPOCHS, st.just("i")),
    st.builds(
        lambda e, ref, w: Assigned(e, (Assignment(*ref, w),)),
        EPOCHS,
        REFS,
        st.sampled_from(["w0", "w1"]),
    ),
    st.builds(
        lambda e, ref, o: Ended(e, (Ending(*ref, o, "why", 0.5),)),
        EPOCHS,
        REFS,
        st.sampled_from(["done", "failed", "lost", "preempted"]),
    ),
    st.builds(lambda e, j: JobsClosed(e, (j,)), EPOCHS, st.sampled_from(JOBS)),
    st.builds(
        lambda e, ref: TasksCarried(e, "z", (CarriedTask(*ref, "lost", 0.3),)),
        EPOCHS,
        REFS,
    ),
)


def apply_all(state, bodies, lane="l"):
    return [
        state.apply(state.next_offset, Envelope(lane, i, body))
        for i, body in enumerate(bodies, 1)
    ]


@given(st.lists(BODIES, max_size=40))
def test_derived_indexes_agree_with_the_attempts(bodies):
    state = ZoneState("z")
    apply_all(state, bodies)
    live = {
        (t.worker, (job, i, t.attempt))
        for job, tasks in state.tasks.items()
        for i, t in tasks.items()
        if t.live
    }
    assert {(w, ref) for w, ref, _ in state.live_attempts()} == live
    for job in JOBS:
        count = sum(ref[0] == job for _, ref in live)
        assert state.live_tasks.get(job, 0) == count
    assert sum(state.running.values()) == len(live)


@given(st.lists(BODIES, max_size=40), st.lists(BODIES, max_size=10))
def test_a_snapshot_goes_on_like_the_state_it_was_taken_of(before, after):
    """An instance starts from a snapshot instead of all records.

    If the snapshot omitted anything that later verdicts depend on, this instance would
    record other notes and place other tasks than its peers.
    """
    state, booted = ZoneState("z"), ZoneState("z")
    apply_all(state, before)
    booted.from_text(state.next_offset, state.to_text())
    assert apply_all(state, after, "m") == apply_all(booted, after, "m")
    first, second = (msgspec.json.decode(s.to_text()) for s in (state, booted))
    assert first == second


@given(st.lists(BODIES, max_size=40))
def test_an_attempt_is_assigned_only_after_the_end_of_the_one_before(bodies):
    state = ZoneState("z")
    for i, body in enumerate(bodies, 1):
        before = {j: dict(t) for j, t in state.tasks.items()}
        state.apply(state.next_offset, Envelope("l", i, body))
        for job, tasks in state.tasks.items():
            for index, task in tasks.items():
                last = before.get(job, {}).get(index)
                if last and last.attempt != task.attempt:
                    assert not last.live


def test_steps_come_from_records_and_are_folded():
    state = ZoneState("z")
    items = tuple(Assignment("t/a", i, 1, f"w{i % 6}") for i in range(10))
    ends = tuple(Ending("t/a", i, 1, "done") for i in range(10))
    apply_all(state, [Assigned(1, items), Ended(1, ends)])
    assert state.notes["t/a"] == [
        "10 tasks (0 to 9): attempt 1 placed on w0, w1, w2, w3 and 2 more",
        "10 tasks (0 to 9): done",
    ]


def test_a_zone_deletes_the_jobs_closed_longest_ago():
    state = ZoneState("z")
    bodies = []
    for i in range(MAX_CLOSED + 5):
        job = f"t/{i}"
        bodies.append(Assigned(1, (Assignment(job, 0, 1, "w"),)))
        bodies.append(Ended(1, (Ending(job, 0, 1, "done"),)))
        bodies.append(JobsClosed(1, (job,)))
    apply_all(state, bodies)
    assert not state.tasks
    assert len(state.closed) == len(state.notes) == MAX_CLOSED
    assert max(map(len, state.notes.values())) <= MAX_NOTES


def ended_cell(count):
    state = CellState(("z",))
    bodies = [LeadClaimed("z", 1, "i", -1)]
    for i in range(count):
        bodies.append(JobAccepted(JobSpec(f"j{i}", "t"), "z"))
        bodies.append(JobsEnded("z", 1, (JobEnd(f"t/j{i}", "done"),)))
    apply_all(state, bodies)
    return state


def test_ended_jobs_are_bounded_and_their_ids_still_known():
    """A job is submitted again after its entry was deleted.

    If its id were deleted as well, the job would run a second time.
    """
    state = ended_cell(MAX_ENDED + 3)
    assert len(state.jobs) == MAX_ENDED
    again = [
        JobAccepted(JobSpec("j0", "t"), "z"),
        JobAccepted(JobSpec("j1", "t", 2), "z"),
    ]
    assert apply_all(state, again, "m") == [Verdict.REPEATED, Verdict.CONFLICT]
    assert "t/j0" not in state.jobs
    assert len(state.pruned_jobs) <= MAX_PRUNED


def test_a_deposed_lead_cannot_end_jobs():
    state = CellState(("z",))
    verdicts = apply_all(
        state,
        [
            LeadClaimed("z", 1, "i", -1),
            JobAccepted(JobSpec("a", "t"), "z"),
            LeadClaimed("z", 2, "k", 0),
            JobsEnded("z", 1, (JobEnd("t/a", "done"),)),
        ],
    )
    assert verdicts[-1] is Verdict.CONFLICT
    assert state.open_jobs("z")[0].ended == ""
