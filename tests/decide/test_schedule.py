"""Which waiting tasks start now and on which workers, without a network."""

import attrs
import pytest
from hypothesis import given
from hypothesis import strategies as st

from firhook.cell import (
    AcceptedJob,
    AdvicePolicy,
    CellConfig,
    JobSpec,
    JobTable,
    Pool,
    Queue,
    Resources,
    RunEnd,
    StepSpec,
    Team,
)
from firhook.decide.schedule import (
    RoundMemory,
    WorkerView,
    place_round,
    urgent_headroom_m,
)
from firhook.decide.tickets import TicketTable

QUOTE = Queue("quote", "h", "/quote/", "pool", priority=0, target_s=0.25)
PLAN = Queue("plan", "h", "/plan/", "pool", priority=1, slack_factor=2.2)
BILL = Queue("bill", "h", "/bill/", "pool", priority=2, slack_factor=4.0, target_s=3)
UNLIMITED = Team("a", frozenset())


class World:
    """A book and workers whose free capacity follows from it."""

    def __init__(self, workers=4, cpu_m=8000, teams=(UNLIMITED,), urgent_m=0):
        config = CellConfig(1, (QUOTE, PLAN, BILL), tuple(teams), (Pool("pool"),))
        self.book = JobTable(config)
        self.capacity = Resources(cpu_m, 100000)
        self.names = [f"w{i}" for i in range(workers)]
        self.labels = {name: frozenset({"kind"}) for name in self.names}
        self.incarnations = dict.fromkeys(self.names, 1)
        self.tickets = TicketTable()
        self.memory = RoundMemory()
        self.now = 100.0
        self.urgent_m = urgent_m
        self._jobs = 0

    def submit(self, queue, *steps, team="a"):
        self._jobs += 1
        job_id = f"{self._jobs:016x}"
        spec = JobSpec("x", tuple(steps))
        accepted = AcceptedJob(job_id, team, queue, self.now, spec)
        return self.book.add(accepted, None, self.now, self.now)

    def views(self, book=None):
        usage = (book or self.book).worker_usage
        return {
            name: WorkerView(
                name,
                self.incarnations[name],
                "pool",
                f"r{i // 2}",
                self.labels[name],
                self.capacity.subtract(usage.get(name, Resources())),
                urgent_cpu_m=self.urgent_m,
            )
            for i, name in enumerate(self.names)
        }

    def round(self):
        views = self.views()
        result = place_round(self.book, views, self.tickets, self.now, self.memory)
        started = []
        for placement in result.placements:
            started += self.book.plan(placement.step, placement.tasks, self.now)
        for run in started:
            run.stored = True
        return started

    def finish(self, run, end=RunEnd.DONE):
        self.book.end(run, end, "", self.now, self.now)

    def overcommitted(self):
        return [
            name
            for name in self.names
            if not self.capacity.covers(self.book.worker_usage.get(name, Resources()))
        ]


def tasks(count, cpu_m=1000, **more):
    return StepSpec(count, Resources(cpu_m, 100), **more)


def queues_of(runs):
    return [run.task.step.job.queue.name for run in runs]


def test_quotes_find_capacity_during_a_burst_of_bills():
    """Bills fill the cell for seconds, but quotes have half a second to start.

    Without headroom for quotes, users would wait until a bill ends.
    """
    urgent_m = urgent_headroom_m(8000, 800)
    world = World(urgent_m=urgent_m)
    for _ in range(20):
        world.submit(BILL, tasks(4))
    world.round()
    world.now += 0.1
    world.submit(QUOTE, tasks(2, 800))
    assert queues_of(world.round()) == ["quote", "quote"]


def test_headroom_for_urgent_work_does_not_block_a_gang_forever():
    world = World(workers=1, urgent_m=800)
    world.submit(PLAN, tasks(4, 2000, gang=True))
    assert world.round() == []
    world.now += 2.1
    assert len(world.round()) == 4


def test_gang_is_not_starved_by_a_stream_of_small_tasks():
    """Small tasks end one after the other, and others take their place.

    Without a reservation there is never enough free capacity at once, and the gang
    would wait until the load falls.
    """
    world = World(workers=2)
    small = [world.submit(BILL, tasks(1, 2000, estimate_s=5.0)) for _ in range(8)]
    running = world.round()
    assert len(running) == len(small)
    gang = world.submit(PLAN, tasks(2, 6000, gang=True, estimate_s=5.0))
    for _ in range(12):
        world.now += 0.5
        world.submit(BILL, tasks(1, 2000, estimate_s=5.0))
        if running:
            world.finish(running.pop(0))
        running += [r for r in world.round() if r.task.step.job is not gang]
        if any(gang.runs()):
            break
    assert len(list(gang.runs())) == 2
    assert world.overcommitted() == []


def fill_with_gangs(world, count):
    """Start as many gangs, each of which fills one worker."""
    jobs = [world.submit(PLAN, tasks(2, 4000, gang=True)) for _ in range(count)]
    world.round()
    return jobs


def starts_beside_younger_gangs(world, running, job):
    """Let one gang end and a younger one arrive at a time; return whether a job starts.

    :param running: gangs that fill the workers.
    """
    for _ in range(50):
        world.now += 0.5
        ending = next(j for j in running if any(j.runs()))
        running.remove(ending)
        for run in list(ending.runs()):
            world.finish(run)
        running.append(world.submit(PLAN, tasks(2, 4000, gang=True)))
        if job in (run.task.step.job for run in world.round()):
            return True
    return False


def test_overdue_gang_is_not_starved_by_a_stream_of_younger_gangs():
    """Younger gangs can be in time, so that they get the capacity of each that ends."""
    world = World(workers=2)
    running = fill_with_gangs(world, 2)
    old = world.submit(PLAN, tasks(2, 8000, gang=True))
    world.now += 30.0
    assert starts_beside_younger_gangs(world, running, old)


def test_overdue_gang_that_its_team_may_not_run_does_not_go_before_another():
    limited = Team("b", frozenset(), limit=Resources(1000, 0))
    world = World(workers=2, teams=(UNLIMITED, limited))
    running = fill_with_gangs(world, 2)
    world.submit(PLAN, tasks(2, 8000, gang=True), team="b")
    world.now += 1.0
    old = world.submit(PLAN, tasks(2, 8000, gang=True))
    world.now += 30.0
    assert starts_beside_younger_gangs(world, running, old)


def test_overdue_gang_does_not_go_before_urgent_work_that_is_in_time():
    world = World(workers=1)
    running = fill_with_gangs(world, 1)
    world.submit(PLAN, tasks(2, 4000, gang=True))
    world.now += 30.0
    world.submit(QUOTE, tasks(1, 4000))
    for run in list(running[0].runs()):
        world.finish(run)
    assert queues_of(world.round()) == ["quote"]


def test_work_that_ends_in_time_backfills_capacity_reserved_for_a_gang():
    world = World(workers=1)
    world.submit(BILL, tasks(1, 6000, estimate_s=10.0))
    world.round()
    world.submit(PLAN, tasks(1, 8000, gang=True, estimate_s=5.0))
    long = world.submit(BILL, tasks(1, 2000, estimate_s=60.0))
    short = world.submit(BILL, tasks(1, 2000, estimate_s=1.0))
    world.round()
    assert not any(long.runs())
    assert any(short.runs())


def test_gang_starts_completely_or_not_at_all():
    world = World(workers=2)
    world.submit(PLAN, tasks(5, 4000, gang=True))
    assert world.round() == []
    job = world.submit(PLAN, tasks(4, 4000, gang=True))
    started = world.round()
    assert [run.task.step.job for run in started] == [job] * 4
    assert {run.number for run in started} == {1}


def test_failed_member_stops_the_gang_and_counts_once():
    world = World()
    queue = attrs.evolve(PLAN, max_attempts=2)
    world.book.config = attrs.evolve(world.book.config, queues=(queue,))
    job = world.submit(queue, tasks(3, gang=True))
    first = world.round()
    world.finish(first[0], RunEnd.FAILED)
    assert {run.stop_reason for run in first[1:]} == {"gang_broken"}
    for run in first[1:]:
        world.finish(run, RunEnd.GANG_BROKEN)
    assert job.steps[0, 0].tasks[1].failures == 1
    second = world.round()
    assert {run.number for run in second} == {2}
    world.finish(second[0], RunEnd.FAILED)
    assert job.status.name == "FAILED"


def test_steps_wait_for_the_steps_before_them():
    world = World()
    job = world.submit(BILL, tasks(2), tasks(1, after=(0,)))
    first = world.round()
    assert {run.task.step.number for run in first} == {0}
    world.finish(first[0])
    assert world.round() == []
    world.finish(first[1])
    last = world.round()
    assert [run.task.step.number for run in last] == [1]
    world.finish(last[0])
    assert job.status.name == "COMPLETED"


def test_team_never_runs_more_than_its_limit():
    limited = Team("a", frozenset(), limit=Resources(3000))
    world = World(teams=(limited,))
    world.submit(BILL, tasks(10))
    started = world.round()
    assert len(started) == 3
    world.book.stop(started[0], "test")
    assert world.round() == []
    world.finish(started[0], RunEnd.STOPPED)
    assert len(world.round()) == 1


def test_labels_and_the_limit_per_worker_are_respected():
    world = World()
    world.labels["w2"] = frozenset({"special"})
    world.submit(BILL, tasks(3, label="special", per_worker=2))
    assert [run.worker for run in world.round()] == ["w2", "w2"]


def test_late_work_goes_behind_work_that_can_be_in_time():
    world = World(workers=1)
    late = world.submit(PLAN, tasks(8, estimate_s=1.0))
    world.now += 60
    timely = world.submit(BILL, tasks(8, estimate_s=1.0))
    assert {run.task.step.job for run in world.round()} == {timely}
    assert late.steps[0, 0].idle


def test_late_quote_goes_before_a_bill_with_slack_and_behind_one_without():
    """Callers wait for quotes, while bills have ten seconds of slack.

    Placed behind all bills that can still be in time, a slightly late quote would
    wait until it is worthless, while the bills end long before their objective.
    """
    world = World(workers=1)
    quote = world.submit(QUOTE, tasks(8, estimate_s=1.0))
    world.now += 0.8
    early = world.submit(BILL, tasks(8, estimate_s=3.0))
    assert {run.task.step.job for run in world.round()} == {quote}
    assert early.steps[0, 0].idle

    world = World(workers=1)
    pressed = world.submit(BILL, tasks(8, estimate_s=3.0))
    world.now += 11.5
    quote = world.submit(QUOTE, tasks(8, estimate_s=1.0))
    world.now += 0.8
    assert {run.task.step.job for run in world.round()} == {pressed}


def test_without_a_ticket_nothing_starts_and_the_adviser_is_asked():
    world = World()
    advised = attrs.evolve(PLAN, advice=AdvicePolicy(0.5, 0.01, 2.0))
    world.book.set_config(attrs.evolve(world.book.config, queues=(advised,)))
    job = world.submit(advised, tasks(1))
    views = {n: WorkerView(n, 1, "pool", "", frozenset(), world.capacity) for n in "ab"}
    result = place_round(world.book, views, world.tickets, world.now)
    assert result.placements == []
    assert [w.step.job for w in result.advice_requests] == [job]
    assert {name for name, _ in result.advice_requests[0].workers} == {"a", "b"}


@given(
    st.lists(
        st.tuples(
            st.sampled_from((QUOTE, PLAN, BILL)),
            st.integers(1, 6),
            st.sampled_from((500, 1000, 3000, 8000)),
            st.booleans(),
        ),
        max_size=25,
    ),
    st.randoms(use_true_random=False),
)
def test_no_worker_is_ever_given_more_than_it_has(jobs, rng):
    limited = Team("a", frozenset(), limit=Resources(20000))
    world = World(workers=3, teams=(limited,), urgent_m=800)
    running = []
    for queue, count, cpu_m, gang in jobs:
        world.submit(queue, tasks(count, cpu_m, gang=gang))
        running += world.round()
        world.now += rng.random() * 3
        assert world.overcommitted() == []
        used = world.book.team_usage.get("a", Resources())
        assert used.cpu_m <= 20000
        if running and rng.random() < 0.7:
            run = running.pop(rng.randrange(len(running)))
            if run in run.task.runs:
                world.finish(run)


@pytest.mark.parametrize("end", [RunEnd.LEASE_EXPIRED, RunEnd.STOPPED, RunEnd.FAILED])
def test_task_that_did_not_complete_runs_again_with_a_higher_run_number(end):
    world = World()
    world.submit(BILL, tasks(1))
    queue = attrs.evolve(BILL, max_attempts=3)
    world.book.set_config(attrs.evolve(world.book.config, queues=(queue,)))
    (first,) = world.round()
    world.finish(first, end)
    (second,) = world.round()
    assert second.number == first.number + 1


def test_urgent_gang_just_past_its_objective_is_placed_once():
    """It ranks as in time and as overdue, and its members must not run twice."""
    world = World(workers=4)
    world.submit(QUOTE, tasks(2, 1000, estimate_s=0.1, gang=True))
    world.now += 0.4
    runs = world.round()
    assert sorted(run.key[0][-1] for run in runs) == ["0", "1"]


def test_step_that_found_no_worker_starts_when_one_restarts_with_its_label():
    """Its free capacity is the same, so the step would wait for the next look."""
    world = World(workers=2)
    world.submit(PLAN, StepSpec(1, Resources(1000, 100), label="b"))
    assert world.round() == []
    assert world.round() == []
    world.labels["w1"] = frozenset({"b"})
    world.incarnations["w1"] = 2
    (run,) = world.round()
    assert (run.worker, run.incarnation) == ("w1", 2)
