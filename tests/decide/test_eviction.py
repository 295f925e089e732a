"""Which checkpointed runs are stopped for urgent work and for gangs."""

import itertools

import attrs
import pytest

from firhook.cell import (
    AcceptedJob,
    Advice,
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
from firhook.decide.eviction import (
    EVICTED,
    EVICTION_BURST,
    EVICTIONS_PER_S,
    MIN_GAIN_FACTOR,
    EvictionBudget,
    choose_stops,
)
from firhook.decide.schedule import WorkerView, place_round
from firhook.decide.tickets import TicketTable
from firhook.decide.token_bucket import TokenBucket
from firhook.platform.instance import Bounds
from tests.decide.cell_simulation import Kind, Simulation

SHORT = Queue("short", "h", "/s/", "pool", 0, slack_factor=1.5, target_s=0.25)
PLAN = Queue("plan", "h", "/p/", "pool", 1, slack_factor=2.2, target_s=1.0)
BULK = Queue("bulk", "h", "/b/", "pool", 2, slack_factor=4.0, target_s=3.0)
ADVICE = AdvicePolicy(0.02, 0.0, 2.0)
BOUNDS = Bounds(task_stop_s=0.4, checkpoint_s=2.0, restore_s=0.1)


@attrs.frozen
class Shares:
    """Teams that are above their share."""

    over: frozenset = frozenset()
    is_crowded: bool = True

    def is_over(self, team):
        return team in self.over


class World:
    """Workers of 32 cores, with rounds as the lead runs them."""

    def __init__(self, workers=1, queues=(SHORT, PLAN, BULK), limit_m=0, bounds=BOUNDS):
        teams = [Team(n, frozenset(), 1.0, Resources(limit_m)) for n in "ab"]
        config = CellConfig(1, tuple(queues), tuple(teams), (Pool("pool"),))
        self.table = JobTable(config)
        self.capacity = Resources(32000, 1_000_000)
        self.names = [f"w{i}" for i in range(workers)]
        self.lost = set()
        self.tickets = TicketTable()
        self.budget = EvictionBudget()
        self.bounds = bounds
        self.shares = None
        self.now = 100.0
        self._jobs = 0

    def submit(self, queue, count=1, cpu_m=3500, estimate_s=10.0, team="a", **more):
        self._jobs += 1
        step = StepSpec(count, Resources(cpu_m, 100), estimate_s, **more)
        spec = JobSpec("x", (step,))
        job_id = f"{self._jobs:016x}"
        accepted = AcceptedJob(job_id, team, queue, self.now, spec)
        job = self.table.add(accepted, None, self.now, self.now)
        return job.steps[0, 0]

    def round(self):
        """Run a round; return the stops that it leads to."""
        used = self.table.worker_usage
        views = {
            n: WorkerView(n, 1, "pool", f"r{n}", frozenset(), free)
            for n in self.names
            if n not in self.lost
            for free in [self.capacity.subtract(used.get(n, Resources()))]
        }
        result = place_round(self.table, views, self.tickets, self.now)
        for placement in result.placements:
            for run in self.table.plan(placement.step, placement.tasks, self.now):
                run.stored = run.confirmed = True
        stops = choose_stops(
            self.table,
            views,
            self.tickets,
            result,
            self.shares,
            self.budget,
            self.bounds,
            self.now,
        )
        for stop in stops:
            self.table.stop(stop.run, EVICTED)
        return stops

    def fill(self, count=9, team="a", queue=BULK, **more):
        """Start single tasks of 3.5 cores, nine of which fill a worker."""
        step = self.submit(queue, count, team=team, **{"checkpoints": True} | more)
        assert self.round() == []
        assert len(list(step.runs())) == count
        self.now += 0.5
        return step

    def end(self, run, end=RunEnd.STOPPED, checkpoint="saved"):
        self.table.end(run, end, checkpoint, self.now, self.now)

    def answer(self, step, names, valid_s=2.0):
        """Have the adviser permit workers for a step."""
        advice = self.tickets.advice_for(step)
        asked = [(name, 1) for name in self.names]
        advice.record_answer(
            asked, Advice(dict.fromkeys(names, "t"), valid_s), self.now
        )


def submit_urgent(world, **more):
    """Submit two urgent tasks of 8 cores for 3 s, worth five tasks of 3.5 cores."""
    return world.submit(SHORT, **{"count": 2, "cpu_m": 8000, "estimate_s": 3.0} | more)


def submit_gang(world, count=2, **more):
    """Submit a gang and let its last moment come, 1.6 s before its latest start."""
    step = world.submit(PLAN, count, 9000, estimate_s=4.0, gang=True, **more)
    world.round()
    world.now += 4.2
    return step


def stopped(stops):
    return {stop.run for stop in stops}


# The load that each decision answers.


def test_burst_of_urgent_work_gets_capacity_of_bulk_work_in_a_full_cell():
    """It would start after 9 s, when the first bulk task ends, and be worthless."""
    world = World()
    bulk = world.fill()
    urgent = submit_urgent(world)
    stops = world.round()
    # 0.5 cores are free, so that five tasks of 3.5 cores make room for 16 cores.
    assert len(stops) == 5
    assert all(stop.beneficiary is urgent for stop in stops)
    cost = sum(stop.cost_core_s for stop in stops)
    assert stops[0].gain_core_s == pytest.approx(48)
    assert cost * MIN_GAIN_FACTOR <= 48
    world.now += 0.4
    for stop in stops:
        world.end(stop.run)
    assert world.round() == []
    assert len(list(urgent.runs())) == 2
    assert {bulk.tasks[s.run.task.index].checkpoint for s in stops} == {"saved"}
    assert len(list(bulk.runs())) == 4 and len(bulk.idle) == 5


def test_stopped_task_resumes_from_its_checkpoint_when_the_urgent_work_has_ended():
    world = World()
    bulk = world.fill()
    urgent = submit_urgent(world)
    for stop in world.round():
        world.end(stop.run)
    world.round()
    world.now += 3.0
    for run in list(urgent.runs()):
        world.end(run, RunEnd.DONE, "")
    world.round()
    assert len(list(bulk.runs())) == 9
    resumed = [run for run in bulk.runs() if run.number == 2]
    assert len(resumed) == 5
    assert all(bulk.start_checkpoint(run.task) == "saved" for run in resumed)


def test_gang_gets_capacity_only_at_its_last_moment():
    """Before that, other work may still end and make the stops unnecessary."""
    world = World()
    world.fill()
    gang = world.submit(PLAN, 2, 9000, estimate_s=4.0, gang=True)
    latest = gang.latest_start()
    stopped_at = None
    while stopped_at is None and world.now < latest:
        if world.round():
            stopped_at = world.now
        world.now += 0.1
    assert 1.45 <= latest - stopped_at <= 1.95


def test_gang_starts_on_the_capacity_of_stops_that_take_effect_one_after_the_other():
    """Smaller work that waits, such as the stopped tasks, must not take it meanwhile.

    It would be done before the stopped runs would have ended by themselves.
    """
    world = World(workers=2)
    bulk = world.fill(18, estimate_s=16.0)
    world.submit(BULK, 9, 3000, estimate_s=2.0)
    gang = submit_gang(world, 4)
    stops = world.round()
    assert len({stop.run.worker for stop in stops}) == 2
    for stop in stops:
        assert not any(gang.runs())
        world.now += 0.03
        world.end(stop.run)
        assert world.round() == []
    assert len(list(gang.runs())) == 4
    assert len(list(bulk.runs())) == 18 - len(stops)


def test_no_stop_for_a_gang_for_which_there_is_not_enough_to_stop():
    world = World(workers=2)
    world.fill(9)
    world.fill(9, checkpoints=False)
    submit_gang(world, 6)
    assert world.round() == []


def test_one_missing_task_of_a_short_job_is_worth_a_stop_but_not_a_whole_job():
    """Three tasks of 0.8 s are worth less than three times what five stops cost."""
    world = World()
    world.fill()
    world.submit(SHORT, 3, 5000, estimate_s=0.8)
    assert world.round() == []
    world = World()
    world.fill(6)
    job = world.submit(SHORT, 3, 5000, estimate_s=0.8)
    assert len(world.round()) == 2
    assert len(list(job.runs())) == 2


# What is never stopped.


@pytest.mark.parametrize(
    "more",
    [
        {"checkpoints": False},
        {"long_running": True},
        {"long_running": True, "max_unavailable": 2},
        {"max_unavailable": 1},
        {"gang": True},
        {"queue": PLAN},
        {"queue": SHORT},
        {"estimate_s": 1.4},
    ],
)
def test_other_work_is_never_stopped(more):
    """The last case is about to end: it has 0.9 s left, and moving it takes 0.5 s."""
    world = World()
    world.fill(**more)
    submit_urgent(world)
    assert world.round() == []


def test_unconfirmed_runs_and_copies_of_a_task_are_not_stopped():
    """After a change of the lead a run may not exist, and a copy continues the task."""
    world = World(workers=2)
    bulk = world.fill(18, duplicates=True)
    for run in list(bulk.runs())[:9]:
        run.confirmed = False
    for run in list(bulk.runs())[9:]:
        run.copies.send(world.now)
    submit_urgent(world)
    assert world.round() == []


@pytest.mark.parametrize("queues", [(PLAN, BULK), (SHORT,)])
def test_nothing_is_stopped_without_urgent_and_less_urgent_work(queues):
    world = World(queues=queues)
    world.fill(queue=queues[-1])
    submit_gang(world) if PLAN in queues else submit_urgent(world)
    assert world.round() == []


def test_nothing_is_stopped_where_resuming_takes_long():
    bounds = attrs.evolve(BOUNDS, restore_s=3.0)
    world = World(bounds=bounds)
    world.fill(estimate_s=30.0)
    submit_urgent(world)
    assert world.round() == []


def test_nothing_is_stopped_in_a_cell_that_is_not_crowded():
    world = World()
    world.fill()
    world.shares = Shares(is_crowded=False)
    submit_urgent(world)
    assert world.round() == []


# Which runs are stopped.


def test_runs_of_teams_above_their_share_are_stopped_first():
    world = World(workers=2)
    world.fill(9, team="b", cpu_m=3400)
    world.fill(9, team="a", cpu_m=3500)
    world.shares = Shares(frozenset("a"))
    submit_urgent(world, team="b")
    stops = world.round()
    assert {stop.run.task.step.job.team for stop in stops} == {"a"}
    assert all(stop.over_share for stop in stops)


def test_urgent_work_of_a_team_above_its_share_may_take_the_place_of_its_bulk():
    """Alone in a full cell, a team is above its share whatever it runs."""
    world = World()
    bulk = world.fill(team="b")
    world.shares = Shares(frozenset("b"))
    submit_urgent(world, team="b")
    stops = stopped(world.round())
    assert stops and stops <= set(bulk.runs())


def test_nothing_of_a_team_below_its_share_is_stopped_for_one_above_it():
    world = World()
    world.fill()
    world.shares = Shares(frozenset("b"))
    submit_urgent(world, team="b")
    assert world.round() == []


def test_one_large_run_is_stopped_instead_of_several_small_ones():
    world = World()
    world.fill(4)
    large = world.fill(1, cpu_m=17500)
    submit_urgent(world, cpu_m=8500)
    assert stopped(world.round()) == set(large.runs())


def test_runs_that_would_start_again_first_are_not_stopped():
    """A bulk task whose latest start is before the gang's goes first in the round."""
    world = World()
    bulk = world.fill(9, estimate_s=30.0)
    gang = submit_gang(world)
    bulk.job.accepted_at = gang.latest_start() - 0.2 - 4.0 * 30 - 3.0 + 30
    assert world.round() == []
    bulk.job.accepted_at += 10.0
    world.budget = EvictionBudget()
    assert len(world.round()) == 5


# Limits.


def test_budget_limits_stops_by_rate_and_burst():
    budget = EvictionBudget()
    assert budget.tokens.available(10.0) == EVICTION_BURST
    budget.tokens.spend(int(EVICTION_BURST))
    assert budget.tokens.available(10.0) == 0
    assert budget.tokens.available(11.0) == EVICTIONS_PER_S
    assert budget.tokens.available(100.0) == EVICTION_BURST


def test_no_part_of_a_job_is_served_if_the_budget_does_not_suffice_for_all():
    world = World()
    world.fill()
    world.budget = EvictionBudget(TokenBucket(0.0, 4.0))
    submit_urgent(world)
    assert world.round() == []
    world.budget = EvictionBudget(TokenBucket(0.0, 5.0))
    assert len(world.round()) == 5


def test_task_is_not_stopped_twice_within_a_short_time_nor_often():
    world = World()
    bulk = world.fill(9, estimate_s=100.0)
    times = []
    for _ in range(600):
        urgent = submit_urgent(world)
        for _ in range(2):
            for stop in world.round():
                times.append((stop.run.task.index, world.now))
                world.end(stop.run)
            world.now += 0.05
        world.table.cancel(urgent.job.id, world.now)
        for run in list(urgent.runs()):
            world.end(run)
        assert world.round() == []
    for index in range(9):
        at = [when for i, when in times if i == index]
        assert len(at) <= 3
        assert all(b - a >= 5.0 for a, b in itertools.pairwise(at))
    assert len(times) > 9 and len(bulk.tasks) == 9


@pytest.mark.parametrize(("limit_m", "stops"), [(15999 + 31500, 0), (47500, 5)])
def test_nothing_is_stopped_for_a_team_at_its_limit(limit_m, stops):
    """The work would not start on the capacity that is made free for it."""
    world = World(limit_m=limit_m)
    world.fill()
    submit_urgent(world)
    assert len(world.round()) == stops


@pytest.mark.parametrize(("valid_s", "stops"), [(0.5, 0), (2.0, 5)])
def test_ticket_must_outlast_the_stop(valid_s, stops):
    """Else the start is refused, after the stop of the others' work."""
    short = attrs.evolve(SHORT, advice=ADVICE)
    world = World(workers=2, queues=(short, PLAN, BULK))
    world.fill(18)
    urgent = world.submit(short, 2, 8000, 3.0)
    world.answer(urgent, ["w1"], valid_s)
    chosen = world.round()
    assert len(chosen) == stops
    assert {stop.run.worker for stop in chosen} <= {"w1"}


def test_limit_of_tasks_on_a_worker_is_kept():
    world = World(workers=2)
    world.fill(18)
    submit_urgent(world, per_worker=1)
    stops = world.round()
    assert {stop.run.worker for stop in stops} == {"w0", "w1"}


# Failures.


def test_rounds_that_follow_stop_nothing_more_for_the_same_work():
    world = World(workers=3)
    world.fill(27)
    submit_urgent(world)
    assert len(world.round()) == 5
    for _ in range(4):
        world.now += 0.01
        assert world.round() == []


def test_capacity_of_runs_stopped_for_other_reasons_is_counted():
    world = World()
    bulk = world.fill()
    world.table.cancel(bulk.job.id, world.now)
    submit_urgent(world)
    assert world.round() == []


def test_lost_stop_order_leads_to_a_stop_elsewhere_only_after_its_time():
    """The order is repeated; until the end is listed the capacity is not used."""
    world = World(workers=2)
    world.fill(18)
    urgent = submit_urgent(world, estimate_s=6.0)
    first = world.round()
    assert len(first) == 5
    seen = []
    for _ in range(12):
        world.now += 0.1
        seen += [(round(world.now - 100.5, 1), s) for s in world.round()]
    assert not any(urgent.runs())
    assert {at for at, _ in seen} <= {0.9, 1.0} and seen
    assert {s.run.worker for _, s in seen} != {s.run.worker for s in first}


def test_victim_that_ends_by_itself_meanwhile_is_done():
    world = World()
    bulk = world.fill()
    urgent = submit_urgent(world)
    stops = world.round()
    world.end(stops[0].run, RunEnd.DONE, "")
    for stop in stops[1:]:
        world.end(stop.run)
    world.round()
    assert len(list(urgent.runs())) == 2
    assert bulk.tasks[stops[0].run.task.index].done and bulk.remaining == 8


def test_capacity_serves_others_when_the_beneficiary_is_cancelled():
    world = World()
    bulk = world.fill()
    urgent = submit_urgent(world)
    stops = world.round()
    world.table.cancel(urgent.job.id, world.now)
    for stop in stops:
        world.end(stop.run)
    assert world.round() == []
    assert not any(urgent.runs())
    assert len(list(bulk.runs())) == 9


def test_capacity_serves_others_when_the_beneficiary_starts_elsewhere():
    world = World(workers=2)
    world.fill(9)
    other = world.fill(9, checkpoints=False)
    urgent = submit_urgent(world)
    stops = world.round()
    assert {stop.run.worker for stop in stops} == {"w0"}
    for run in list(other.runs())[:5]:
        world.end(run, RunEnd.DONE, "")
    second = submit_urgent(world)
    assert world.round() == []
    assert len(list(urgent.runs())) == 2
    # The capacity of the stopped runs is expected for the next urgent work.
    for stop in stops:
        world.end(stop.run)
    assert world.round() == []
    assert len(list(second.runs())) == 2


def test_new_lead_decides_anew_and_stops_only_runs_that_it_has_seen():
    """The old lead's orders may or may not have arrived."""
    world = World()
    bulk = world.fill()
    submit_urgent(world, estimate_s=6.0)
    stops = world.round()
    world.end(stops[0].run)
    jobs = [(job.accepted, job.to_state()) for job in world.table.jobs.values()]
    world.table, world.budget = JobTable(world.table.config), EvictionBudget()
    for accepted, state in jobs:
        world.table.add(accepted, state, world.now, world.now)
    runs = list(world.table.jobs[bulk.job.id].runs())
    assert len(runs) == 8 and not any(run.stop_reason for run in runs)
    assert world.round() == []
    world.now += 0.1
    for run in runs:
        run.confirmed = True
    # The run that ended has started again on the capacity that it left.
    tasks = world.table.jobs[bulk.job.id].steps[0, 0].tasks
    assert tasks[stops[0].run.task.index].last_run == 2
    again = world.round()
    assert len(again) == 5 and all(stop.run.number == 1 for stop in again)
    for stop in again:
        world.end(stop.run)
    world.round()
    (urgent,) = (j for j in world.table.jobs.values() if j.queue.priority == 0)
    assert len(list(urgent.runs())) == 2


def test_runs_on_a_lost_worker_are_not_stopped():
    world = World(workers=2)
    world.fill(18)
    world.lost = {"w1"}
    submit_urgent(world)
    assert {stop.run.worker for stop in world.round()} == {"w0"}


@pytest.mark.parametrize("evicts", [False, True])
def test_gangs_start_in_time_in_a_cell_full_of_bulk_work_with_an_adviser(evicts):
    """Over many rounds, with tickets that expire and stops that take their time."""
    plan = attrs.evolve(PLAN, advice=AdvicePolicy(0.1, 0.01, 2.0))
    bulk = attrs.evolve(BULK, advice=AdvicePolicy(0.02, 0.002, 2.0))
    kinds = tuple(
        Kind(queue, 1.0, 1.0, 1, 1, 1.0, 1000, 100) for queue in (plan, bulk, SHORT)
    )
    simulation = Simulation(3, workers=40, team_limit_m=0, kinds=kinds, evicts=evicts)
    spec = StepSpec(360, Resources(3500, 100), 14.0, checkpoints=True)
    simulation.occupy(spec, simulation.names * 9)
    work = StepSpec(8, Resources(9000, 100), 4.0, gang=True)
    gangs = [simulation.submit(kinds[0], [work]).steps[0, 0] for _ in range(2)]
    simulation.run_until(gangs[0].latest_start())
    assert [gang.started for gang in gangs] == [evicts, evicts]
    stops = len(simulation.evictions)
    assert stops <= EVICTION_BURST
    simulation.run_until(simulation.now + 30.0)
    assert not simulation.table.jobs
    assert len(simulation.saved_s) == stops == len(simulation.evictions)
