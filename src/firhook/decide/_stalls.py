"""Runs that make no progress."""

from collections.abc import Iterable

from firhook.cell import Run

#: A run whose percentage has not moved for so long stands still.  Workers are
#: looked at once a second at least, and a percent of the longest tasks, of 16 s,
#: takes 0.16 s; resuming from a checkpoint takes 0.6 s.
STALL_S = 2.2
#: A run that has shown no progress at all since it began stands still after this,
#: and after this part of its estimate more: estimates are off by up to 90% and
#: workers up to seven times as slow as others, so that it shows 3% by then.
_FRESH_S = 0.8
_FRESH_PART = 0.15
#: A run that resumes from a checkpoint begins so much later.
_RESTORE_S = 0.6
#: A run whose percentage moved so lately moves on; workers are looked at once a
#: second at least.
_MOVES_S = 1.2
#: The part of its estimate that a run may stand still for, for work that is far
#: longer than what is usual.
_STALL_PART = 0.05


def stalled(run: Run, now: float) -> bool:
    """Return whether a run stands still.

    Load: workers on which what is started makes no progress, while they answer
    as if all were well.  Harm: its tasks never end, and neither does the job;
    with the others of their kind at work elsewhere nobody would notice before
    the users do.

    Runs of tasks that last have no end to make progress towards, and a member
    of a gang works only from when all are there.
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
        # It may be about to end; percentages are rounded.
        return now - run.percent_at > 2 * limit_s(run)
    if run.percent <= 0:
        return now - run.started_at > _fresh_limit_s(run)
    return now - max(run.percent_at, run.started_at) > limit_s(run)


def limit_s(run: Run) -> float:
    """Return for how long a run may show no progress."""
    return STALL_S + _STALL_PART * run.task.step.spec.estimate_s


def _fresh_limit_s(run: Run) -> float:
    """Return after how long a run must have shown some progress.

    Load: short work on a worker that stands still.  Harm: with as much patience as
    for a run that moved before, tickets of 0.6 s were moved after 3.4 s, when they
    had become worthless, and others were sent to that worker meanwhile.
    """
    step = run.task.step
    restore_s = _RESTORE_S if step.start_checkpoint(run.task) else 0.0
    limit = _FRESH_S + _FRESH_PART * step.spec.estimate_s + restore_s
    return min(limit, limit_s(run) + restore_s)


def standing_still(runs: Iterable[Run], now: float) -> list[Run]:
    """Return the runs of a worker that are to be stopped and run elsewhere.

    A worker that stands still does so with all that it started; where some of
    its runs move on, a run that does not is slow rather than stuck, and a gang
    may wait for a member elsewhere.
    """
    confirmed = [r for r in runs if r.confirmed and not r.task.step.spec.long_running]
    still = [run for run in confirmed if stalled(run, now)]
    moving = [
        run
        for run in confirmed
        if run.percent > max(run.first_percent, 0)
        and run not in still
        and now - run.percent_at <= _MOVES_S
    ]
    return [] if moving else still
