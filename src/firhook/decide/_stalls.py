"""Detects runs that make no progress."""

from collections.abc import Iterable

from firhook.cell import Run

#: A run whose progress has not changed for this long is stalled.  Workers are polled
#: at least once a second, and one percent of the longest tasks (16 s) takes 0.16 s.
STALL_TIMEOUT_S = 2.2
#: A run without any progress since its start is stalled after this time plus a
#: fraction of its estimate.  Estimates are off by up to 90% and workers up to seven
#: times as slow as others, so even such a run shows 3% by then.
_FIRST_PROGRESS_S = 0.8
_FIRST_PROGRESS_FRACTION = 0.15
#: A run whose progress changed this recently is progressing.  Workers are polled at
#: least once a second.
_RECENT_PROGRESS_S = 1.2
#: The extra stall timeout as a fraction of the estimate, for unusually long work.
_STALL_FRACTION = 0.05


def is_stalled(run: Run, now: float, restore_s: float) -> bool:
    """Return whether a run is stalled.

    Tasks on a faulty worker may make no progress while it answers polls normally.
    They and their job would never end, and since similar tasks progress elsewhere,
    nobody would notice before the users do.

    Long-running tasks have no end and thus no progress.  A gang member works only once
    all members have started.

    :param restore_s: how long a run takes to resume from a checkpoint, in seconds.
    """
    spec = run.task.step.spec
    if (
        spec.long_running
        or not run.confirmed
        or run.stop_reason
        or run.first_percent < 0
    ):
        return False
    if run.percent >= 99:
        # It may be about to end: percentages are rounded.
        return now - run.percent_at > 2 * stall_timeout_s(run)
    if run.percent <= 0:
        return now - run.started_at > _first_progress_timeout_s(run, restore_s)
    return now - max(run.percent_at, run.started_at) > stall_timeout_s(run)


def stall_timeout_s(run: Run) -> float:
    """Return how long a run may show no progress, in seconds."""
    return STALL_TIMEOUT_S + _STALL_FRACTION * run.task.step.spec.estimate_s


def _first_progress_timeout_s(run: Run, restore_s: float) -> float:
    """Return how long a run may take to show its first progress, in seconds.

    With the timeout of runs that progressed before, short tasks of 0.6 s on a
    stalled worker were moved only after 3.4 s.  By then they were worthless, and
    further tasks had been sent to that worker.
    """
    step = run.task.step
    if not step.start_checkpoint(run.task):
        restore_s = 0.0
    timeout_s = (
        _FIRST_PROGRESS_S + _FIRST_PROGRESS_FRACTION * step.spec.estimate_s + restore_s
    )
    return min(timeout_s, stall_timeout_s(run) + restore_s)


def _waits_for_members(run: Run) -> bool:
    """Return whether another member of a run's gang is not known to have started."""
    step = run.task.step
    return step.spec.gang and not all(
        task.done or any(other.confirmed for other in task.runs) for task in step.tasks
    )


def stalled_runs(runs: Iterable[Run], now: float, restore_s: float) -> list[Run]:
    """Return the runs of a worker that should be stopped and run elsewhere.

    A stalled worker stalls all its runs.  If some of its runs progress, the others
    are slow rather than stalled, or wait for gang members on other workers.

    :param restore_s: how long a run takes to resume from a checkpoint, in seconds.
    """
    confirmed = [r for r in runs if r.confirmed and not r.task.step.spec.long_running]
    stalled = [
        run
        for run in confirmed
        if is_stalled(run, now, restore_s) and not _waits_for_members(run)
    ]
    progressing = [
        run
        for run in confirmed
        if run.percent > max(run.first_percent, 0)
        and run not in stalled
        and now - run.percent_at <= _RECENT_PROGRESS_S
    ]
    return [] if progressing else stalled
