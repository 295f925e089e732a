"""A round starts new tasks only as far as a lead can store and hold them."""

import attrs
from hypothesis import given, settings
from hypothesis import strategies as st

from firhook.cell import RunEnd
from firhook.cell.job_limits import JobLimits
from firhook.decide.schedule import WaitReason, place_round
from tests.decide.test_schedule import PLAN, World, tasks

#: Room for 14 active tasks without checkpoints in the state of each job.
RECORD_BYTES = 2 * (14 * 96 + 2048)


class FullWorld(World):
    """A world in which jobs fill the records or the memory of a lead."""

    def __init__(self, active_bytes=1e9, record_bytes=RECORD_BYTES, **more):
        super().__init__(**more)
        self.book.limits = attrs.evolve(
            JobLimits(record_bytes), active_bytes=active_bytes
        )

    def reasons(self):
        result = place_round(
            self.book, self.views(), self.tickets, self.now, self.memory
        )
        return result.wait_reasons


def active(job):
    return sum(len(step.tasks.active) for step in job.steps.values())


def room_of(job):
    return job.limits.steps_bytes // 96


def test_steps_of_one_job_share_the_room_of_its_state_in_one_round():
    world = FullWorld(workers=20)
    job = world.submit(PLAN, *[tasks(10, 100) for _ in range(6)])
    other = world.submit(PLAN, tasks(2, 100))
    started = world.round()
    assert active(job) == room_of(job) < 60
    assert active(other) == 2
    assert WaitReason.JOB_FULL in world.reasons().values()
    for run in started[:3]:
        world.finish(run)
    assert len(world.round()) == 3


def test_task_that_was_started_before_starts_again_without_room():
    world = FullWorld(workers=20)
    job = world.submit(PLAN, tasks(40, 100))
    started = world.round()
    for run in started:
        world.finish(run, RunEnd.STOPPED)
    again = world.round()
    assert {r.task.index for r in again} == {r.task.index for r in started}
    assert active(job) == room_of(job)


def test_gang_waits_until_its_job_has_room_for_all_of_it():
    world = FullWorld(workers=20)
    job = world.submit(PLAN, tasks(12, 100), tasks(8, 100, gang=True))
    first = world.round()
    assert len(first) == 12
    for run in first[: 20 - room_of(job) - 1]:
        world.finish(run)
        assert world.round() == []
    world.finish(first[20 - room_of(job) - 1])
    assert len(world.round()) == 8


@given(st.lists(st.integers(1, 60), min_size=1, max_size=8), st.integers(1, 40))
@settings(max_examples=60, deadline=None)
def test_active_tasks_of_all_jobs_stay_within_the_memory(counts, most):
    """Whatever ends, each job ends in the end, and the sum stays within the limit."""
    limit = most * (1024 + 96)
    world = FullWorld(limit, record_bytes=262_144, workers=10)
    jobs = [world.submit(PLAN, tasks(count, 100)) for count in counts]
    for number in range(400):
        world.now += 0.1
        world.round()
        assert world.book.active_bytes <= limit
        assert sum(map(active, jobs)) <= most
        runs = [run for job in jobs for run in job.runs()]
        if not runs:
            break
        for run in runs[:: 1 + number % 2]:
            world.finish(run, RunEnd.STOPPED if number % 3 == 1 else RunEnd.DONE)
    assert not world.book.jobs and world.book.active_bytes == 0
