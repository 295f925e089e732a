"""Decides where a task may start after workers rejected its start as malformed."""

from collections.abc import Container

import attrs

from firhook.cell import Step

#: How long a step is kept off a worker that rejected one of its starts, at first and
#: at most; the time doubles with each rejection.
INITIAL_HOLD_S = 1.0
MAX_HOLD_S = 30.0
#: If this many starts of a step were rejected and no worker accepted one, the cause is
#: more likely in the step than in the workers.
_SUSPECT_REJECTIONS = 3
#: How long such a step is not started anywhere, at first and at most; doubles as well.
_INITIAL_PAUSE_S = 0.5
_MAX_PAUSE_S = 10.0


@attrs.define(slots=True)
class _Hold:
    """Keeps a step off one worker.

    :ivar blamed: whether the worker was found to be at fault.
    """

    until: float = 0.0
    duration_s: float = INITIAL_HOLD_S
    blamed: bool = False


@attrs.define(slots=True)
class _StepRejections:
    """The rejections of the starts of one step.

    :ivar holds: the holds by worker.
    :ivar unaccepted: rejections since a worker accepted a start of the step.
    """

    holds: dict[str, _Hold] = attrs.field(factory=dict)
    unaccepted: int = 0
    paused_until: float = 0.0
    pause_s: float = _INITIAL_PAUSE_S


class StartRejections:
    """Tracks the starts that workers rejected as malformed.

    The run of such a start is void at once, and the rejecting worker still is the one
    with the best fit.  It got the same task again in each round, a hundred times a
    second, each time with an append to the store.  The step is therefore kept off the
    worker for a while.

    A rejection alone does not show who is at fault.  If another worker accepts a
    start of the same step, the rejecting worker is.  A step that no worker accepts is
    tried ever more rarely; it must run once its cause is gone.
    """

    def __init__(self) -> None:
        self._steps: dict[str, _StepRejections] = {}

    def record_rejection(self, step: Step, worker: str, now: float) -> bool:
        """Record a rejected start; return whether it is the worker's fault.

        It is if another worker runs a task of the step.
        """
        rejections = self._steps.setdefault(step.name, _StepRejections())
        hold = rejections.holds.setdefault(worker, _Hold())
        hold.until = now + hold.duration_s
        hold.duration_s = min(2 * hold.duration_s, MAX_HOLD_S)
        hold.blamed = any(r.confirmed and r.worker != worker for r in step.runs())
        if hold.blamed:
            return True
        rejections.unaccepted += 1
        # A wide step may be rejected by many workers at the same moment.
        if (
            rejections.unaccepted >= _SUSPECT_REJECTIONS
            and now >= rejections.paused_until
        ):
            rejections.paused_until = now + rejections.pause_s
            rejections.pause_s = min(2 * rejections.pause_s, _MAX_PAUSE_S)
        return False

    def record_acceptance(self, step: Step, worker: str) -> list[str]:
        """Record an accepted start; return the workers that it shows to be at fault."""
        rejections = self._steps.get(step.name)
        if rejections is None:
            return []
        rejections.holds.pop(worker, None)
        rejections.unaccepted, rejections.paused_until = 0, 0.0
        rejections.pause_s = _INITIAL_PAUSE_S
        found = [name for name, hold in rejections.holds.items() if not hold.blamed]
        for name in found:
            rejections.holds[name].blamed = True
        return found

    def is_paused(self, step: Step, now: float) -> bool:
        """Return whether a step must not be started anywhere now."""
        rejections = self._steps.get(step.name)
        return rejections is not None and now < rejections.paused_until

    def held_workers(self, step: Step, now: float) -> set[str]:
        """Return the workers on which a step must not be started now."""
        rejections = self._steps.get(step.name)
        if rejections is None:
            return set()
        return {name for name, hold in rejections.holds.items() if now < hold.until}

    def retain_jobs(self, jobs: Container[str]) -> None:
        """Forget the steps of other jobs."""
        for name in [n for n in self._steps if n.partition(".")[0] not in jobs]:
            del self._steps[name]
