"""Speeds of workers, stalled runs and workers that fail their runs."""

import random

from firhook.cell import Run, RunEnd
from firhook.decide.speeds import SpeedEstimator
from firhook.decide.stalls import STALL_TIMEOUT_S, stalled_runs
from firhook.decide.worker_health import (
    INITIAL_BACKOFF_S,
    MAX_CONSECUTIVE_FAILURES,
    WorkerHealth,
    may_back_off,
)

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
    found = {f"w{i}" for i in range(24) if estimator.is_slow(f"w{i}")}
    assert len(found & slow) >= 6
    assert len(found - slow) <= 2


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
