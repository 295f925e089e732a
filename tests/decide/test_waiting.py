"""What a waiting step waits for, and that it does not wait in vain."""

import attrs

from firhook.cell import Advice, AdvicePolicy, Resources, StepSpec
from firhook.decide.schedule import WorkerView, place_round
from tests.decide.test_schedule import PLAN, World

ADVISED = attrs.evolve(PLAN, prefix="/advised/", advice=AdvicePolicy(0.4, 0.006, 1.5))


class AdvisedWorld(World):
    """Workers of which the adviser permits each third."""

    def __init__(self, workers, heard=None):
        super().__init__(workers)
        self.heard = workers if heard is None else heard

    def play_round(self):
        """Play a round, and return what it decided."""
        views = {
            name: WorkerView(
                name,
                1,
                "pool",
                "r0",
                self.labels[name],
                self.capacity.minus(self.book.worker_use.get(name, Resources())),
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
            for wish in self.play_round().wishes:
                asked.append(len(wish.workers))
                advice = self.tickets.of(wish.step)
                good = {w: "yes" for w, _ in wish.workers if int(w[1:]) % 3 == 0}
                valid_s = wish.step.job.queue.advice.valid_s
                advice.take(wish.workers, Advice(good, valid_s), self.now)
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
    world.submit(PLAN, StepSpec(1, Resources(6000, 100), 1.0, lasting=True))
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
