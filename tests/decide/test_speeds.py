"""Speeds of workers, stalled runs and workers that fail their runs."""

import math
import random
import statistics

import pytest

from firhook.cell import Run, RunEnd
from firhook.decide.speeds import SpeedEstimator
from firhook.decide.stalls import STALL_TIMEOUT_S, stalled_runs
from firhook.decide.worker_health import (
    INITIAL_BACKOFF_S,
    MAX_CONSECUTIVE_FAILURES,
    WorkerHealth,
    may_back_off,
)
from tests.decide.uneven_cell import UnevenCell

#: How long a run takes to resume from a checkpoint, in seconds.
RESTORE_S = 0.6


class Spec:
    long_running = False
    gang = False
    estimate_s = 1.0


class FakeStep:
    spec = Spec

    @staticmethod
    def start_checkpoint(task):
        return task.checkpoint


class FakeTask:
    step = FakeStep
    checkpoint = ""


class ResumedTask(FakeTask):
    checkpoint = "saved"


def make_run(first, percent, at, task=FakeTask):
    run = Run(task, 1, "w", 1, 0.0)
    run.confirmed = True
    run.first_percent, run.percent, run.percent_at = first, percent, at
    return run


def test_slow_workers_are_found_by_comparing_tasks_of_the_same_step():
    rng = random.Random(1)
    slow = {f"w{i}" for i in range(7)}
    estimator = SpeedEstimator()
    for step in range(400):
        base = rng.lognormvariate(0, 0.9)
        for worker in rng.sample([f"w{i}" for i in range(24)], 2):
            factor = 1.3 if worker in slow else 1.0
            estimator.record_run(
                str(step), worker, base * factor * rng.lognormvariate(0, 0.15)
            )
        estimator.close_step(str(step))
    found = {f"w{i}" for i in range(24) if estimator.speed(f"w{i}") < 1 / 1.1}
    assert len(found & slow) >= 6
    assert len(found - slow) <= 2


class SiblingStep(FakeStep):
    class Spec(Spec):
        checkpoints = False

    name, spec = "s", Spec


class Sibling(FakeTask):
    step = SiblingStep
    name = "s.0"


def report(
    estimator, worker, percent, took_s, task=Sibling, number=1, sent=(9.99,), **more
):
    """Record the progress of a run on a worker, whose start is known."""
    run = Run(task, number, worker, 1, 10.0, confirmed=True)
    for at in sent:
        run.copies.send(at)
    run.percent, run.percent_at = percent, 10.0 + took_s
    for name, value in more.items():
        setattr(run, name, value)
    # Each worker has another task of the step.
    run.task = type("Task", (task,), {"name": f"s.{worker}"})
    estimator.record_progress(run)
    return run


def compare(estimator, durations, steps=1, first=0):
    """Let one task of each of some steps end on each worker."""
    for step in range(first, first + steps):
        for worker, ran_s in durations.items():
            estimator.record_run(str(step), worker, ran_s)
        estimator.close_step(str(step))


def test_slow_workers_are_known_after_their_first_tasks():
    """A worker known only after five comparisons made five short jobs late first."""
    cell = UnevenCell(1, workers=88)
    cell.begin_load(20)
    slow = [name for name in cell.names if cell.speed_of(name) < 1]
    speeds = cell.estimates.speeds
    comparisons = {}
    while cell.now < 1020:
        cell.run_until(cell.now + 0.1)
        for name in slow:
            if speeds.speed(name) < 0.8:
                comparisons.setdefault(name, speeds.comparisons(name))
    assert len(comparisons) >= 0.9 * len(slow)
    assert statistics.median(comparisons.values()) <= 3
    fast = [name for name in cell.names if name not in slow]
    assert all(speeds.speed(name) > 0.85 for name in fast)


def test_new_worker_in_an_uneven_cell_is_known_after_two_tasks():
    estimator = SpeedEstimator()
    compare(estimator, {"a": 1.0, "b": 2.2, "c": 1.0, "d": 2.2}, steps=30)
    compare(estimator, {"a": 1.0, "b": 2.2, "new": 2.2}, steps=2, first=30)
    assert estimator.speed("new") == pytest.approx(estimator.speed("b"), rel=0.2)


def test_equally_fast_workers_all_have_speed_1():
    """Chance differences would change the order in which workers are filled."""
    cell = UnevenCell(3, speed_of=lambda name: 1.0)
    cell.begin_load(60)
    unequal = 0
    for _ in range(60):
        cell.run_until(cell.now + 1)
        unequal += sum(cell.estimates.speeds.speed(n) != 1.0 for n in cell.names)
    assert not cell.estimates.speeds.differ
    assert unequal <= 0.005 * 60 * len(cell.names)


def test_progress_of_running_siblings_shows_a_slow_worker():
    estimator = SpeedEstimator()
    for worker in ("a", "b", "c"):
        report(estimator, worker, 60, 0.5)
    run = report(estimator, "slow", 25, 0.5)
    assert estimator.comparisons("slow") == 1
    # The end of a run that was compared by its progress does not count again.
    estimator.record_run("s", "slow", 2.0, run.key)
    assert estimator.comparisons("slow") == 1


@pytest.mark.parametrize(
    "changes",
    [
        {"spec": {"gang": True}},
        {"spec": {"checkpoints": True}, "number": 2},
        {"stop_reason": "stalled"},
        {"sent": ()},
        {"sent": (9.98, 9.99)},
        {"sent": (8.0,)},
        {"first_percent": 50.0, "first_percent_at": 9.995},
    ],
    ids=["gang", "resumed", "stalled", "restored", "resent", "late_answer", "listed"],
)
def test_run_whose_rate_says_nothing_of_its_worker_does_not_count(changes):
    """Such a run takes longer than its siblings, or seems to, on any worker."""
    estimator = SpeedEstimator()
    for worker in ("a", "b", "c"):
        report(estimator, worker, 60, 0.5)
    spec = type("Spec", (SiblingStep.Spec,), changes.pop("spec", {}))
    step = type("Step", (SiblingStep,), {"spec": spec})
    task = type("Task", (Sibling,), {"step": step})
    report(estimator, "d", 25, 0.5, task, **changes)
    assert estimator.comparisons("d") == 0


def test_stragglers_do_not_make_a_worker_slow_but_a_seventh_of_the_speed_does():
    """Of some work 3% takes seven times as long; faults slow workers down as much."""
    estimator = SpeedEstimator()
    usual = {"a": 1.0, "b": 1.0, "c": 1.0, "d": 1.0}
    for step in range(20):
        straggles = {"a": 7.0} if step % 5 == 4 else {}
        compare(estimator, usual | straggles, first=step)
    assert all(estimator.speed(name) == 1.0 for name in usual)
    compare(estimator, usual | {"d": 7.0}, steps=4, first=20)
    assert estimator.speed("d") < 0.5


def test_single_tasks_are_compared_with_what_such_work_takes():
    """A third of short work has one task; a worker may get no other for a while."""
    estimator = SpeedEstimator()
    for step in range(12):
        estimator.record_run(str(step), "slow", 2.0)
        estimator.close_step(str(step), expected_s=1.0, variance=0.2)
    assert estimator.speed("slow") < 0.7
    once = SpeedEstimator()
    compare(once, {"slow": 2.0, "other": 1.0})
    single = SpeedEstimator()
    single.record_run("s", "slow", 2.0)
    single.close_step("s", expected_s=1.0, variance=0.2)
    assert single.to_hints()[1][2] > once.to_hints()[1][2]


def test_restarted_worker_keeps_its_speed_with_less_weight():
    estimator = SpeedEstimator()
    compare(estimator, {"a": 1.0, "b": 2.0, "c": 1.0}, steps=20)
    before = estimator.speed("b")
    estimator.restart("b")
    assert estimator.differ
    assert estimator.speed("b") == before < 0.75
    compare(estimator, {"a": 1.0, "b": 1.0, "c": 1.0}, steps=4, first=20)
    assert estimator.speed("b") > 0.85


def test_hints_carry_the_speeds_to_the_next_lead():
    """Each new lead used to start with nothing, and short jobs were late again."""
    cell = UnevenCell(2)
    cell.begin_load(20)
    cell.run_until(1020)
    hints = cell.estimates.speeds.to_hints()
    after = SpeedEstimator()
    after.apply_hints(hints)
    assert after.differ
    for name in cell.names:
        old = cell.estimates.speeds.speed(name)
        assert after.speed(name) == pytest.approx(old, rel=0.02)
    # What the new lead has seen itself is kept.
    seen = after.speed("w000")
    after.apply_hints([("w000", 2.0, 0.01, 9.0)])
    assert after.speed("w000") == seen


def test_hints_out_of_range_are_limited():
    estimator = SpeedEstimator()
    rows = [("", 1e9, 1.0, -5.0), ("w1", 1e9, -1.0, 3.0), ("w2", math.nan, 0.1, 3.0)]
    estimator.apply_hints(rows + [(f"x{i}", 0.0, 0.1, 1.0) for i in range(5000)])
    assert 1.0 <= estimator.speed("w1") < 20
    assert estimator.speed("w2") == 1.0
    assert len(estimator.to_hints()) <= 512


def test_runs_of_a_stalled_worker_are_moved():
    """A faulty worker accepts work and answers polls, but nothing progresses.

    Its tasks would never end, and users would see a job that runs forever.
    """
    stalled = [make_run(0, 50, 1.0), make_run(0, 50, 1.0)]
    assert stalled_runs(stalled, 1.0 + STALL_TIMEOUT_S / 2, RESTORE_S) == []
    assert stalled_runs(stalled, 1.5 + STALL_TIMEOUT_S, RESTORE_S) == stalled


def test_short_run_without_any_progress_is_moved_in_time():
    """A ticket task of 0.6 s starts on a stalled worker.

    With the timeout of runs that progressed before, it would be worthless by the
    time it starts again elsewhere.
    """
    fresh = [make_run(0, 0, 0.4)]
    assert stalled_runs(fresh, 0.7, RESTORE_S) == []
    assert stalled_runs(fresh, 1.0, RESTORE_S) == fresh
    resumed = [make_run(0, 0, 0.4, ResumedTask)]
    assert stalled_runs(resumed, 1.4, RESTORE_S) == []
    assert stalled_runs(resumed, 1.7, RESTORE_S) == resumed


def test_resumed_run_has_the_time_to_restore_that_the_settings_give():
    """A run must not be moved while it still restores, nor much later than that."""
    resumed = [make_run(0.0, 0.0, 0.0, ResumedTask)]
    assert stalled_runs(resumed, 1.2, restore_s=0.1) == resumed
    assert stalled_runs(resumed, 1.2, restore_s=0.6) == []


def test_earlier_progress_does_not_hide_that_a_worker_is_stalled_now():
    before, fresh = make_run(0, 60, 1.0), make_run(0, 0, 1.5)
    fresh.started_at = 1.2
    assert stalled_runs([before, fresh], 2.1, RESTORE_S) == []
    assert stalled_runs([before, fresh], 2.4, RESTORE_S) == [fresh]


def test_slow_run_beside_a_progressing_one_is_not_stalled():
    runs = [make_run(0, 0, 1.0), make_run(0, 50, 4.0)]
    assert stalled_runs(runs, 4.2, RESTORE_S) == []


def test_worker_that_fails_several_jobs_backs_off_and_then_gets_one_task():
    """A faulty worker fails every run within milliseconds.

    It always has free capacity and would attract most of the waiting work, and each
    task has only a few attempts.
    """
    health = WorkerHealth()
    for job in range(MAX_CONSECUTIVE_FAILURES):
        health.record_end(str(job), RunEnd.FAILED, 10.0)
    assert not health.accepts(0, 10.1)
    assert health.accepts(0, 10.0 + INITIAL_BACKOFF_S)
    assert not health.accepts(1, 10.0 + INITIAL_BACKOFF_S)
    health.record_end("other", RunEnd.DONE, 13.0)
    assert health.accepts(5, 13.0)


def test_job_that_cannot_succeed_causes_no_backoff():
    health = WorkerHealth()
    for _ in range(10):
        health.record_end("hopeless", RunEnd.FAILED, 10.0)
    assert health.accepts(3, 10.0)


def test_worker_that_refuses_starts_gets_none_for_a_while_then_one_at_a_time():
    health = WorkerHealth()
    for at in (10.0, 10.01):
        health.record_refusal(at, True)
    assert not health.accepts(0, 10.0 + INITIAL_BACKOFF_S - 0.01)
    assert health.accepts(0, 10.0 + INITIAL_BACKOFF_S)
    assert not health.accepts(1, 10.0 + INITIAL_BACKOFF_S)
    health.record_refusal(20.0, True)
    assert not health.accepts(0, 20.0 + 2 * INITIAL_BACKOFF_S - 0.01)
    health.record_end("j", RunEnd.DONE, 30.0)
    assert health.accepts(1, 30.0)


def test_at_most_half_of_a_pool_backs_off_if_all_its_workers_refuse_starts():
    pool = [WorkerHealth() for _ in range(9)]
    for at in (10.0, 20.0):
        for health in pool:
            health.record_refusal(at, may_back_off(health, pool))
        backed_off = [not h.accepts(0, at + INITIAL_BACKOFF_S - 0.01) for h in pool]
        assert sum(backed_off) == 4
    assert not may_back_off(pool[8], pool[8:])
