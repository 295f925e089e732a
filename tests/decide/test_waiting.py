"""Why steps wait, and that advice is widened so that they can start."""

import attrs
import pytest

from firhook.cell import Advice, AdvicePolicy, Resources, StepSpec, Team
from firhook.decide.schedule import WaitReason, WorkerView, place_round
from firhook.decide.waiting import longest_waiting
from tests.decide.test_schedule import PLAN, World

ADVISED = attrs.evolve(PLAN, prefix="/advised/", advice=AdvicePolicy(0.4, 0.006, 1.5))


class AdvisedWorld(World):
    """A world whose adviser permits every third worker."""

    def __init__(self, workers, known_workers=None):
        super().__init__(workers)
        self.known_workers = workers if known_workers is None else known_workers

    def report(self, result, answering=()):
        """Return the waiting steps that are reported four seconds later."""
        at = self.now + 4.0
        return longest_waiting(
            self.book, result.wait_reasons, self.tickets, answering, at
        )

    def run_round(self):
        """Run a round and return its decisions."""
        views = {
            name: WorkerView(
                name,
                1,
                "pool",
                "r0",
                self.labels[name],
                self.capacity.subtract(self.book.worker_usage.get(name, Resources())),
            )
            for name in self.names[: self.known_workers]
        }
        result = place_round(self.book, views, self.tickets, self.now)
        for placement in result.placements:
            self.book.plan(placement.step, placement.tasks, self.now)
        return result

    def run_rounds(self, seconds):
        """Run rounds in which each request is answered at once.

        :return: the number of workers of each request.
        """
        sizes = []
        end = self.now + seconds
        while self.now < end:
            for request in self.run_round().advice_requests:
                sizes.append(len(request.workers))
                advice = self.tickets.advice_for(request.step)
                tickets = {w: "yes" for w, _ in request.workers if int(w[1:]) % 3 == 0}
                valid_s = request.step.job.queue.advice.valid_s
                advice.record_answer(
                    request.workers, Advice(tickets, valid_s), self.now
                )
            self.now += 0.1
        return sizes


def gang(count, cpu_m=4000):
    return StepSpec(count, Resources(cpu_m, 100), 1.0, gang=True)


def test_gang_is_asked_about_workers_that_became_known_later():
    world = AdvisedWorld(12, known_workers=1)
    job = world.submit(ADVISED, gang(6))
    world.run_rounds(0.5)
    assert not any(job.runs())
    world.known_workers = 12
    world.run_rounds(1.5)
    assert len(list(job.runs())) == 6


def test_gang_that_needs_more_workers_than_one_request_finds_is_asked_about_more():
    world = AdvisedWorld(300)
    job = world.submit(ADVISED, gang(90))
    world.run_rounds(3.0)
    assert len(list(job.runs())) == 90


def test_task_that_no_permitted_worker_can_hold_is_asked_about_others():
    world = AdvisedWorld(4, known_workers=1)
    world.submit(PLAN, StepSpec(1, Resources(6000, 100), 1.0, long_running=True))
    world.run_round()
    job = world.submit(ADVISED, StepSpec(1, Resources(4000, 100), 1.0))
    world.run_rounds(0.5)
    assert not any(job.runs())
    world.known_workers = 4
    world.run_rounds(1.5)
    assert len(list(job.runs())) == 1


def test_full_cell_causes_no_needless_requests():
    world = AdvisedWorld(300)
    world.submit(PLAN, StepSpec(600, Resources(4000, 100), 1.0))
    world.run_rounds(0.2)
    world.submit(ADVISED, gang(6))
    first, *others = world.run_rounds(3.0)
    assert first == 100
    assert set(others) == {34}


def single(cpu_m=4000, **more):
    return StepSpec(1, Resources(cpu_m, 100), 1.0, **more)


def deny_all(world, step):
    advice = world.tickets.advice_for(step)
    advice.record_answer(
        [(name, 1) for name in world.names], Advice({}, 1.5), world.now
    )


def mark_in_flight(world, step):
    world.tickets.advice_for(step).in_flight = True


@pytest.mark.parametrize(
    ("queue", "spec", "prepare", "reason"),
    [
        (PLAN, single(label="none"), None, WaitReason.NO_WORKER),
        (PLAN, single(cpu_m=9000), None, WaitReason.NO_ROOM),
        (PLAN, gang(40), None, WaitReason.NO_ROOM),
        (PLAN, single(cpu_m=8000, label="kind"), None, None),
        (ADVISED, single(), None, WaitReason.ADVICE_DUE),
        (ADVISED, single(), mark_in_flight, WaitReason.ADVICE_ASKED),
        (ADVISED, single(), deny_all, WaitReason.NOT_PERMITTED),
    ],
)
def test_step_that_does_not_start_has_a_reason(queue, spec, prepare, reason):
    world = AdvisedWorld(4)
    job = world.submit(queue, spec)
    step = job.steps[0, 0]
    if prepare is not None:
        prepare(world, step)
    result = world.run_round()
    assert result.wait_reasons.get(step.name) == reason


@pytest.mark.parametrize("spec", [single(), gang(2)])
def test_step_of_a_team_at_its_limit_reports_the_limit(spec):
    world = AdvisedWorld(4)
    limit = Team("a", frozenset(), limit=Resources(1000))
    world.book.set_config(attrs.evolve(world.book.config, teams=(limit,)))
    world.submit(PLAN, spec)
    assert [row.reason for row in world.report(world.run_round())] == [
        WaitReason.TEAM_LIMIT
    ]


def test_report_counts_the_answers_of_the_adviser():
    world = AdvisedWorld(9)
    world.submit(ADVISED, gang(40))
    world.run_rounds(1.0)
    (row,) = world.report(world.run_round())
    assert (row.asked, row.permitted) == (9, 3)


def test_report_names_the_worker_of_an_unconfirmed_run():
    world = AdvisedWorld(1)
    job = world.submit(PLAN, single())
    result = world.run_round()
    (row,) = world.report(result, answering={"w0"})
    assert (row.reason, row.workers) == (WaitReason.RUNS_BOUND, ("w0",))
    (run,) = job.runs()
    run.confirmed = True
    assert world.report(result, answering={"w0"}) == []
    (row,) = world.report(result, answering=())
    assert row.workers == ("w0",)


def test_report_is_limited_to_the_longest_waiting_steps():
    world = AdvisedWorld(1)
    jobs = []
    for _ in range(30):
        jobs.append(world.submit(PLAN, single(cpu_m=9000)))
        world.now += 0.1
    report = world.report(world.run_round())
    assert [row.step.job for row in report] == jobs[:5]
    assert world.book.jobs.keys() == {job.id for job in jobs}


def test_report_marks_steps_that_no_round_considered():
    world = AdvisedWorld(1)
    job = world.submit(PLAN, single())
    world.book.open_steps.clear()
    (row,) = world.report(world.run_round())
    assert (row.step.job, row.reason) == (job, WaitReason.NOT_LOOKED_AT)
