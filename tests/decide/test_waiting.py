"""Why steps wait, and that advice is widened so that they can start."""

import attrs
import pytest

from firhook.cell import Advice, AdvicePolicy, Resources, StepSpec, Team
from firhook.decide.schedule import WaitReason, WorkerView, place_round
from firhook.decide.waiting import RoundView, WaitLimits, WaitMonitor
from tests.decide.test_schedule import PLAN, World

ADVISED = attrs.evolve(PLAN, prefix="/advised/", advice=AdvicePolicy(0.4, 0.006, 1.5))

NO_WORKER = WaitReason.NO_WORKER
LIMITS = WaitLimits(lease_s=10.0, visibility_s=3.0)


class AdvisedWorld(World):
    """A world whose adviser permits every third worker."""

    def __init__(self, workers, known_workers=None):
        super().__init__(workers)
        self.known_workers = workers if known_workers is None else known_workers

    def report(self, result, answering=()):
        """Return the waiting steps that are reported four seconds later."""
        view = RoundView(result.wait_reasons, answering=answering)
        return list(self.monitor(view).report(5).rows)

    def monitor(self, view, after_s=4.0):
        """Return a monitor that observed the steps some seconds later."""
        monitor = WaitMonitor(self.book, self.tickets, LIMITS)
        monitor.observe(view, self.now + after_s)
        return monitor

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


def test_step_of_a_rare_reason_is_reported_behind_hundreds_of_older_ones():
    """The report must not hide the one step that waits for another reason."""
    world = AdvisedWorld(1)
    for _ in range(400):
        world.submit(PLAN, single(cpu_m=9000))
    world.now += 60.0
    job = world.submit(PLAN, single(label="none"))
    monitor = world.monitor(RoundView(world.run_round().wait_reasons))
    report = monitor.report(5)
    assert len(report.rows) == 5
    assert [row.step.job for row in report.rows if row.reason is NO_WORKER] == [job]
    totals = {reason: total.steps for reason, total in report.totals.items()}
    assert totals == {WaitReason.NO_ROOM: 400, NO_WORKER: 1}
    assert report.totals[NO_WORKER].longest_s == pytest.approx(4.0)


def test_tasks_of_a_step_of_which_others_run_are_reported():
    """A task must not wait unseen because another of its step runs."""
    world = AdvisedWorld(1)
    job = world.submit(PLAN, StepSpec(5, Resources(4000, 100), 1.0))
    result = world.run_round()
    for run in job.runs():
        run.confirmed = True
    (row,) = world.report(result, answering={"w0"})
    assert (row.tasks, row.reason) == (3, WaitReason.NO_ROOM)


def test_gang_that_lost_a_member_is_reported_until_the_others_have_ended():
    world = AdvisedWorld(4)
    job = world.submit(PLAN, gang(4))
    result = world.run_round()
    first, *others = job.runs()
    for run in others:
        run.confirmed = True
    world.book.void(first, "not_there", world.now)
    (row,) = world.report(result, answering=set(world.names))
    assert (row.tasks, row.reason) == (4, WaitReason.GANG_INCOMPLETE)


def test_step_that_was_never_marked_ready_is_reported():
    """A step whose predecessors are done must not wait unseen."""
    world = AdvisedWorld(1)
    job = world.submit(PLAN, single())
    job.steps[0, 0].ready_at = None
    world.book.open_steps.clear()
    (row,) = world.report(world.run_round())
    assert row.reason is WaitReason.NOT_LOOKED_AT


def test_row_tells_where_the_tasks_of_a_gang_would_fit():
    world = AdvisedWorld(9)
    job = world.submit(ADVISED, gang(12))
    world.run_rounds(1.0)
    step = job.steps[0, 0]
    views = {
        name: WorkerView(name, 1, "pool", "r0", frozenset(), Resources(8000, 100000))
        for name in world.names
    }
    views["w0"].unreserved = Resources(4000, 100000)
    view = RoundView({step.name: WaitReason.NO_ROOM}, views, {step.name})
    (row,) = world.monitor(view, after_s=0.0).report(5).rows
    assert row.reserved
    assert (row.room.permitted, row.room.unreserved, row.room.pool) == (6, 5, 12)
    assert row.with_ticket == 3
    (row,) = world.monitor(view, after_s=4.0).report(5).rows
    assert row.with_ticket == 0


def test_reason_is_timed_from_its_last_change():
    world = AdvisedWorld(1)
    step = world.submit(PLAN, single()).steps[0, 0]
    monitor = world.monitor(RoundView({step.name: WaitReason.NO_ROOM}), after_s=1.0)
    for after_s, reason in ((2.0, NO_WORKER), (5.0, NO_WORKER)):
        monitor.observe(RoundView({step.name: reason}), world.now + after_s)
    (row,) = monitor.report(5).rows
    assert (row.waits_s, row.reason_s) == (pytest.approx(5.0), pytest.approx(3.0))


def test_wait_begins_when_the_last_task_stops_running():
    world = AdvisedWorld(1)
    job = world.submit(PLAN, single(long_running=True))
    result = world.run_round()
    (run,) = job.runs()
    run.confirmed = True
    monitor = world.monitor(RoundView(result.wait_reasons, answering={"w0"}))
    assert monitor.report(5).rows == ()
    monitor.observe(RoundView(), world.now + 600.0)
    assert monitor.report(5, min_wait_s=597.0).rows == ()
    (row,) = monitor.report(5, min_wait_s=595.0).rows
    assert row.ready_s == pytest.approx(600.0)
    assert row.waits_s == pytest.approx(596.0)


@pytest.mark.parametrize(
    ("reason", "explained_s"),
    [
        (WaitReason.NOT_LOOKED_AT, LIMITS.visibility_s),
        (WaitReason.GANG_INCOMPLETE, LIMITS.lease_s + 12.5),
        (WaitReason.RUNS_BOUND, LIMITS.lease_s + 12.5),
        (WaitReason.ADVICE_ASKED, 3 * (0.4 + 0.6)),
        (WaitReason.NO_ROOM, 3 * (2.2 * (20.0 + 0.58) + 1.0)),
    ],
)
def test_step_is_overdue_once_its_reason_no_longer_explains_its_wait(
    reason, explained_s
):
    world = AdvisedWorld(1)
    spec = StepSpec(1, Resources(9000, 100), 20.0)
    step = world.submit(ADVISED, spec).steps[0, 0]
    monitor = world.monitor(RoundView({step.name: reason}), explained_s - 0.1)
    assert monitor.take_overdue(5) == []
    monitor.observe(RoundView({step.name: reason}), world.now + explained_s + 0.1)
    (row,) = monitor.take_overdue(5)
    assert (row.step, row.reason, row.overdue) == (step, reason, True)


def test_overdue_steps_are_repeated_at_growing_intervals_and_a_bounded_rate():
    world = AdvisedWorld(1)
    for _ in range(12):
        world.submit(PLAN, single())
    world.book.open_steps.clear()
    monitor = WaitMonitor(world.book, world.tickets, LIMITS)
    taken = {}
    for second in range(70):
        monitor.observe(RoundView(), world.now + second)
        rows = monitor.take_overdue(5)
        assert len(rows) <= 5
        for row in rows:
            taken.setdefault(row.step.name, []).append(second)
    assert len(taken) == 12
    for times in taken.values():
        first, second, third = times
        assert 10 <= second - first < 12
        assert 20 <= third - second < 22


def test_overdue_step_whose_reasons_alternate_is_reported_once_for_each():
    world = AdvisedWorld(1)
    step = world.submit(PLAN, single()).steps[0, 0]
    monitor = WaitMonitor(world.book, world.tickets, LIMITS)
    taken = []
    for second in range(100, 110):
        reason = (WaitReason.NO_ROOM, WaitReason.ADVICE_ASKED)[second % 2]
        monitor.observe(RoundView({step.name: reason}), world.now + second)
        taken += [row.reason for row in monitor.take_overdue(5)]
    assert taken == [WaitReason.NO_ROOM, WaitReason.ADVICE_ASKED]
