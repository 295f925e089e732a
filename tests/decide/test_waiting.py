"""What a waiting step waits for, and that it does not wait in vain."""

import attrs
import pytest

from firhook.cell import Advice, AdvicePolicy, Resources, StepSpec, Team
from firhook.decide.schedule import WaitReason, WorkerView, place_round
from firhook.decide.waiting import longest_waiting
from tests.decide.test_schedule import PLAN, World

ADVISED = attrs.evolve(PLAN, prefix="/advised/", advice=AdvicePolicy(0.4, 0.006, 1.5))


class AdvisedWorld(World):
    """Workers of which the adviser permits each third."""

    def __init__(self, workers, heard=None):
        super().__init__(workers)
        self.heard = workers if heard is None else heard

    def told(self, result, answering=()):
        """Return what is told of the steps that wait, four seconds later."""
        at = self.now + 4.0
        return longest_waiting(
            self.book, result.wait_reasons, self.tickets, answering, at
        )

    def play_round(self):
        """Play a round, and return what it decided."""
        views = {
            name: WorkerView(
                name,
                1,
                "pool",
                "r0",
                self.labels[name],
                self.capacity.subtract(self.book.worker_usage.get(name, Resources())),
            )
            for name in self.names[: self.heard]
        }
        result = place_round(self.book, views, self.tickets, self.now)
        for placement in result.placements:
            self.book.plan(placement.step, placement.tasks, self.now)
        return result

    def play(self, seconds):
        """Play rounds in which each question is answered; return what was asked."""
        asked = []
        end = self.now + seconds
        while self.now < end:
            for request in self.play_round().advice_requests:
                asked.append(len(request.workers))
                advice = self.tickets.advice_for(request.step)
                good = {w: "yes" for w, _ in request.workers if int(w[1:]) % 3 == 0}
                valid_s = request.step.job.queue.advice.valid_s
                advice.record_answer(request.workers, Advice(good, valid_s), self.now)
            self.now += 0.1
        return asked


def gang(count, cpu_m=4000):
    return StepSpec(count, Resources(cpu_m, 100), 1.0, gang=True)


def test_gang_asked_about_when_one_worker_was_heard_is_asked_about_others():
    world = AdvisedWorld(12, heard=1)
    job = world.submit(ADVISED, gang(6))
    world.play(0.5)
    assert not any(job.runs())
    world.heard = 12
    world.play(1.5)
    assert len(list(job.runs())) == 6


def test_gang_wider_than_what_one_question_finds_is_asked_about_more_workers():
    world = AdvisedWorld(300)
    job = world.submit(ADVISED, gang(90))
    world.play(3.0)
    assert len(list(job.runs())) == 90


def test_task_that_no_permitted_worker_can_ever_hold_is_asked_about_others():
    world = AdvisedWorld(4, heard=1)
    world.submit(PLAN, StepSpec(1, Resources(6000, 100), 1.0, long_running=True))
    world.play_round()
    job = world.submit(ADVISED, StepSpec(1, Resources(4000, 100), 1.0))
    world.play(0.5)
    assert not any(job.runs())
    world.heard = 4
    world.play(1.5)
    assert len(list(job.runs())) == 1


def test_a_full_cell_does_not_draw_more_questions_than_needed():
    world = AdvisedWorld(300)
    world.submit(PLAN, StepSpec(600, Resources(4000, 100), 1.0))
    world.play(0.2)
    world.submit(ADVISED, gang(6))
    first, *others = world.play(3.0)
    assert first == 100
    assert set(others) == {34}


def single(cpu_m=4000, **more):
    return StepSpec(1, Resources(cpu_m, 100), 1.0, **more)


def permit_none(world, step):
    advice = world.tickets.advice_for(step)
    advice.record_answer(
        [(name, 1) for name in world.names], Advice({}, 1.5), world.now
    )


def be_asking(world, step):
    world.tickets.advice_for(step).in_flight = True


@pytest.mark.parametrize(
    ("queue", "spec", "prepare", "why"),
    [
        (PLAN, single(label="none"), None, WaitReason.NO_WORKER),
        (PLAN, single(cpu_m=9000), None, WaitReason.NO_ROOM),
        (PLAN, gang(40), None, WaitReason.NO_ROOM),
        (PLAN, single(cpu_m=8000, label="kind"), None, None),
        (ADVISED, single(), None, WaitReason.ADVICE_DUE),
        (ADVISED, single(), be_asking, WaitReason.ADVICE_ASKED),
        (ADVISED, single(), permit_none, WaitReason.NOT_PERMITTED),
    ],
)
def test_step_that_does_not_start_has_the_reason_that_the_round_found(
    queue, spec, prepare, why
):
    world = AdvisedWorld(4)
    job = world.submit(queue, spec)
    step = job.steps[0, 0]
    if prepare is not None:
        prepare(world, step)
    result = world.play_round()
    assert result.wait_reasons.get(step.name) == why


@pytest.mark.parametrize("spec", [single(), gang(2)])
def test_step_of_a_team_at_its_limit_waits_for_that(spec):
    world = AdvisedWorld(4)
    limit = Team("a", frozenset(), limit=Resources(1000))
    world.book.set_config(attrs.evolve(world.book.config, teams=(limit,)))
    world.submit(PLAN, spec)
    assert [row.reason for row in world.told(world.play_round())] == [
        WaitReason.TEAM_LIMIT
    ]


def test_waiting_step_is_told_of_with_what_the_adviser_said():
    world = AdvisedWorld(9)
    world.submit(ADVISED, gang(40))
    world.play(1.0)
    (row,) = world.told(world.play_round())
    assert (row.asked, row.permitted) == (9, 3)


def test_step_whose_run_no_worker_confirms_names_the_worker():
    world = AdvisedWorld(1)
    job = world.submit(PLAN, single())
    result = world.play_round()
    (row,) = world.told(result, answering={"w0"})
    assert (row.reason, row.workers) == (WaitReason.RUNS_BOUND, ("w0",))
    (run,) = job.runs()
    run.confirmed = True
    assert world.told(result, answering={"w0"}) == []
    (row,) = world.told(result, answering=())
    assert row.workers == ("w0",)


def test_as_many_steps_are_told_of_however_many_wait():
    world = AdvisedWorld(1)
    jobs = []
    for _ in range(30):
        jobs.append(world.submit(PLAN, single(cpu_m=9000)))
        world.now += 0.1
    told = world.told(world.play_round())
    assert [row.step.job for row in told] == jobs[:5]
    assert world.book.jobs.keys() == {job.id for job in jobs}


def test_step_that_no_round_looked_at_is_told_of_as_such():
    world = AdvisedWorld(1)
    job = world.submit(PLAN, single())
    world.book.open_steps.clear()
    (row,) = world.told(world.play_round())
    assert (row.step.job, row.reason) == (job, WaitReason.NOT_LOOKED_AT)
