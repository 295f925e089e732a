"""How much time a step has left on workers of a given speed."""

import math

from firhook.cell import Step

#: Work that takes up to this many times its objective is late but still worth running.
LATE_FACTOR = 3
#: Work whose latest start is further away than this has ample slack.
AMPLE_SLACK_S = 1.5
#: Callers' estimates are inaccurate, so this factor of the estimate stands for a high
#: quantile of the duration until one is learned.
_ESTIMATE_MARGIN = 1.25


def slack_s(step: Step, now: float) -> float:
    """Return how much later a step may start on a worker of speed 1.

    It is counted to the objective, or, once that cannot be met, to the time after which
    the work is worth nothing.
    """
    latest = step.latest_start()
    if latest < now:
        job = step.job
        allowed_s = job.objective_at(step.occurrence) - job.released_at(step.occurrence)
        latest += (LATE_FACTOR - 1) * allowed_s
    return latest - now


def prefers_slow_workers(step: Step, slack: float) -> bool:
    """Return whether a step leaves the fast workers to others."""
    return step.job.queue.priority > 0 and slack > AMPLE_SLACK_S


def high_duration_s(step: Step) -> float:
    """Return a duration at speed 1 that few tasks of a step exceed."""
    return step.high_s or step.spec.estimate_s * _ESTIMATE_MARGIN


def is_surely_in_time(step: Step, slack: float, speed: float) -> bool:
    """Return whether a step that starts now on a worker has enough slack.

    A high quantile of the duration must fit: the work could start at once on a faster
    worker, and the choice of a slow one must not make it late.
    """
    return high_duration_s(step) / speed - step.duration_s <= slack


def latest_start_at(step: Step, speed: float) -> float:
    """Return the latest start on workers of a speed that meets the objective."""
    return step.latest_start() - step.duration_s * (1 / speed - 1)


def timely_speed(step: Step, now: float) -> float:
    """Return the least speed at which a step that starts now meets its objective.

    The result is infinite if no worker is fast enough.
    """
    allowed_s = step.latest_start() + step.duration_s - now
    return step.duration_s / allowed_s if allowed_s > 0 else math.inf
