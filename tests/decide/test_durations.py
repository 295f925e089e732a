"""How long tasks take, learned by queue and team."""

import math
import random

import attrs
import pytest

from firhook.cell import RunEnd
from firhook.decide.durations import DurationEstimator
from firhook.decide.estimates import Estimates
from tests.decide.test_schedule import BILL, PLAN, World, tasks


def step_of(queue=BILL, team="a", **more):
    world = World()
    return world.submit(queue, tasks(1, **more), team=team).steps[0, 0]


def learn(durations, ratio, count=200, error=0.0, team="a", spread=0.1, seed=1):
    """Record tasks that take a multiple of their work, with inaccurate estimates."""
    rng = random.Random(seed)
    for _ in range(count):
        work_s = 2.0 * rng.lognormvariate(0, 0.4)
        estimate_s = work_s * rng.uniform(1 - error, 1 + error)
        ran_s = ratio * work_s * rng.lognormvariate(0, spread)
        durations.record("bill", team, estimate_s, ran_s, 1.0)


def test_estimate_is_used_until_enough_tasks_have_ended():
    durations = DurationEstimator()
    step = step_of(estimate_s=3.0)
    learn(durations, 5.0, count=19)
    assert durations.expected_s(step) == 3.0
    assert durations.high_s(step) == 0.0
    learn(durations, 5.0, count=1)
    assert durations.expected_s(step) > 8.0


def test_exact_estimates_are_kept():
    durations = DurationEstimator()
    learn(durations, 1.0, spread=0.02)
    for estimate_s in (0.5, 2.0, 8.0):
        step = step_of(estimate_s=estimate_s)
        assert durations.expected_s(step) == pytest.approx(estimate_s, rel=0.1)


def test_estimates_that_predict_nothing_are_shrunk_toward_what_work_takes():
    """Latest starts from estimates that are off by 90% are off by seconds."""
    durations, rng = DurationEstimator(), random.Random(2)
    learn(durations, 1.0, error=0.9)
    own, learned = [], []
    for _ in range(300):
        work_s = 2.0 * rng.lognormvariate(0, 0.4)
        estimate_s = work_s * rng.uniform(0.1, 1.9)
        expected_s = durations.expected_s(step_of(estimate_s=estimate_s))
        own.append(abs(math.log(estimate_s / work_s)))
        learned.append(abs(math.log(expected_s / work_s)))
    assert sum(learned) < 0.75 * sum(own)


def test_teams_differ_and_new_ones_are_taken_for_the_queue():
    durations = DurationEstimator()
    for seed in range(60):
        learn(durations, 4.0, team="long", count=1, seed=seed)
        learn(durations, 1.0, team="short", count=1, seed=seed)
    long, short, other = (
        durations.expected_s(step_of(team=team, estimate_s=2.0))
        for team in ("long", "short", "other")
    )
    assert short < 2.4 < other < 7.0 < long
    assert durations.expected_s(step_of(PLAN, "long", estimate_s=2.0)) == 2.0


def test_speed_of_the_worker_is_taken_out():
    """Half of the tasks ran on workers of half the speed."""
    durations = DurationEstimator()
    for ran_s, speed in ((1.0, 1.0), (2.0, 0.5)) * 50:
        durations.record("bill", "a", 1.0, ran_s, speed)
    assert durations.expected_s(step_of()) == pytest.approx(1.0, rel=0.01)
    assert durations.high_s(step_of()) == pytest.approx(1.0, rel=0.01)


def test_learned_durations_are_bounded():
    durations = DurationEstimator()
    for _ in range(30):
        durations.record("bill", "a", 1.0, 1e5, 1.0)
        durations.record("bill", "a", 0.0, 1.0, 1.0)
    assert durations.expected_s(step_of()) == pytest.approx(12.0)
    for team in range(2000):
        durations.record("bill", f"t{team}", 1.0, 1.0, 1.0)
    assert len(durations.to_hints()) <= 128


def running(world, step, worker="w0", task=0):
    (run,) = world.book.plan(step, [(step.tasks[task], worker, 1)], world.now)
    run.stored = run.confirmed = True
    run.copies.send(run.started_at)
    return run


def test_straggler_of_a_heavy_tail_is_told_from_a_slow_worker():
    """Of some work 3% takes seven times as long; on a slow worker nearly none does."""
    speeds = {"w0": 1.0, "slow": 0.55}
    durations = DurationEstimator(speeds.get)
    learn(durations, 1.0, error=0.5)
    world = World()
    step = world.submit(BILL, tasks(2, estimate_s=2.0)).steps[0, 0]
    runs = [running(world, step), running(world, step, "slow", 1)]
    assert not any(durations.is_straggler(run, world.now + 3.6) for run in runs)
    assert all(durations.is_straggler(run, world.now + 20.0) for run in runs)
    runs[0].percent, runs[0].percent_at = 5.0, world.now + 0.7
    assert durations.is_straggler(runs[0], world.now + 0.8)


def test_two_stragglers_in_a_row_do_not_make_a_worker_slow():
    estimates, rng = Estimates(), random.Random(3)
    learn(estimates.durations, 1.0)
    world = World()
    for number in range(20):
        step = world.submit(BILL, tasks(3, estimate_s=2.0)).steps[0, 0]
        runs = [running(world, step, f"w{i}", i) for i in range(3)]
        usual_s = [rng.uniform(1.8, 2.2) for _ in runs]
        if number in (10, 11):
            usual_s[2] = 14.0
        for run, ran_s in zip(runs, usual_s, strict=True):
            ended_at = world.now + ran_s
            world.book.end(run, RunEnd.DONE, "", ended_at, ended_at)
            estimates.record_poll((), [(run, RunEnd.DONE)], ended_at)
    assert estimates.speeds.outliers == 2
    assert all(estimates.speeds.speed(f"w{i}") == 1.0 for i in range(3))


def test_gang_is_recorded_once_from_its_last_start_at_the_least_speed():
    """Members wait for each other, and the slowest one determines the duration."""
    estimates = Estimates()
    estimates.speeds.speed = {"w0": 1.0, "w1": 0.5}.get
    world = World()
    for _ in range(20):
        step = world.submit(PLAN, tasks(2, gang=True)).steps[0, 0]
        rows = [(task, f"w{i}", 1) for i, task in enumerate(step.tasks)]
        runs = world.book.plan(step, rows, world.now)
        for run, started_s in zip(runs, (0.1, 0.9), strict=True):
            run.stored = run.confirmed = True
            run.copies.send(world.now + started_s)
            run.started_at = run.copies.sent_at
        for run in runs:
            world.book.end(run, RunEnd.DONE, "", world.now + 2.9, 0.0)
            estimates.record_poll((), [(run, RunEnd.DONE)], world.now + 2.9)
    (row, _) = estimates.durations.to_hints()
    assert row[2] == 20
    assert estimates.durations.expected_s(step) == pytest.approx(1.0, rel=0.01)


def test_latest_start_uses_the_learned_durations_of_all_later_steps():
    durations = DurationEstimator()
    for _ in range(30):
        durations.record("bill", "a", 1.0, 3.0, 1.0)
    world = World()
    job = world.submit(
        BILL, tasks(1), tasks(1, after=(0,)), tasks(1, long_running=True)
    )
    before = job.steps[0, 0].latest_start()
    durations.refresh(world.book, world.now)
    first, second, service = (job.steps[0, n] for n in range(3))
    assert (first.critical_path_s, second.critical_path_s) == pytest.approx((6.0, 3.0))
    assert service.duration_s == 1.0
    # The objective is a multiple of the work, so it is learned as well.
    assert first.latest_start() == pytest.approx(before + 3.0 * 4.0)


def test_hints_carry_the_durations_to_the_next_lead():
    durations, after = DurationEstimator(), DurationEstimator()
    learn(durations, 3.0, error=0.5)
    after.apply_hints(durations.to_hints())
    for estimate_s in (0.5, 2.0, 8.0):
        step = step_of(estimate_s=estimate_s)
        expected_s, high_s = durations.expected_s(step), durations.high_s(step)
        assert after.expected_s(step) == pytest.approx(expected_s, rel=0.15)
        assert after.high_s(step) == pytest.approx(high_s, rel=0.25)


def test_malformed_hints_are_left_out():
    durations = DurationEstimator()
    good = (0.0,) * 12
    durations.apply_hints(
        [
            ("bill", "a", 50, *good[1:]),
            ("bill", "b", 50, *good[1:], math.nan),
            ("bill", "c", 0, *good),
            ("bill", "d", 10**9, *good),
        ]
    )
    assert [row[:3] for row in durations.to_hints()] == [("bill", "d", 50)]


def test_backfill_uses_the_learned_high_quantile():
    """Work that takes four times its estimate would delay the gang."""
    world = World(workers=1)
    durations = DurationEstimator()
    learn(durations, 1.0, team="a")
    learn(durations, 4.0, team="b")
    world.submit(PLAN, tasks(1, 6000, estimate_s=10.0))
    world.round()
    world.submit(PLAN, tasks(1, 8000, gang=True, estimate_s=5.0))
    queue = attrs.evolve(BILL, slack_factor=40.0)
    usual = world.submit(queue, tasks(1, 500, estimate_s=4.0))
    longer = world.submit(queue, tasks(1, 500, estimate_s=4.0), team="b")
    durations.refresh(world.book, world.now)
    world.round()
    assert any(usual.runs())
    assert not any(longer.runs())
