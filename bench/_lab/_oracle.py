"""An upper bound on what any policy can reach."""

from collections.abc import Iterable

import numpy as np

from bench._lab._load import PATIENCE_S, Day, Job
from bench._lab._policies import Policy
from bench._lab._tally import Fate, Figures, groups_of

#: Times are rounded to so much, each window of work outwards.
_SLOT_S = 0.1


class Oracle(Policy, name="oracle"):
    """The most jobs that could be in time, were the cell one large machine.

    No policy can have more of them in time, since each of these only makes it
    easier, and the most is then found exactly:

    - All workers are one machine that never fails, slows down or is cut off, and
      that goes from one job to another, and splits each over all its processors,
      at no cost.  A day's processors, each at its worker's speed, could do all
      that the cell can do, and more.
    - It knows all jobs beforehand, and the true work of each.  A job that is in
      time had at least that work done between its window's ends: it was accepted
      after its caller sent it, and after a cut of the caller's zone was over; its
      first task began after the shortest answer of the adviser; and it was done
      by its objective.
    - A job counts by the part of its work that is done.  Whole jobs are a case of
      that.  What work can be done within windows is a polymatroid, so that taking
      the jobs with the least work first, each as far as there is room, gives the
      largest sum of parts.

    Each group's bound is found as if the cell served this group alone.  Other
    fates and waits have no bound here.
    """

    def figures(self, day: Day) -> dict[tuple[str, str], Figures]:
        """Return the bounds."""
        return {(kind, name): _bound(day, jobs) for kind, name, jobs in groups_of(day)}


def _bound(day: Day, jobs: list[Job]) -> Figures:
    shares: dict[Fate, float | None] = dict.fromkeys(Fate)
    shares[Fate.IN_TIME] = most_in_time(day, jobs) / len(jobs)
    return Figures(len(jobs), shares)


def released_at(day: Day, job: Job) -> float:
    """Return when a job's first task can begin at the earliest.

    :return: infinity if no instance can accept it as long as its caller tries.
    """
    at = job.at
    for fault in day.faults:
        if fault.what == "zone" and job.zone in fault.names and fault.covers(at):
            at = fault.end
    if at > job.at + PATIENCE_S:
        return float("inf")
    return at + job.kind.advice_takes_s(1)


def most_in_time(day: Day, jobs: Iterable[Job]) -> float:
    """Return the largest number of jobs that the whole cell could have in time."""
    cores = sum(day.speeds.values()) * day.scenario.cpu_m / 1000
    count = int(day.end / _SLOT_S) + 2
    # What is left of the cell from the start of each slot to the end of each.
    room = np.subtract.outer(np.arange(count + 1), np.arange(count + 1)).T
    left = room.astype(float) * (cores * _SLOT_S)
    fastest = max(day.speeds.values())
    total = 0.0
    for work, first, last in sorted(_windows(day, jobs, fastest)):
        # Every span that holds the job's window bounds what is done within it.
        spans = left[: first + 1, last:]
        part = min(work, max(float(spans.min()), 0.0))
        spans -= part
        total += part / work
    return total


def _windows(
    day: Day, jobs: Iterable[Job], fastest: float
) -> Iterable[tuple[float, int, int]]:
    """Return work and first and last slot of each job that can be in time at all."""
    for job in jobs:
        begin = released_at(day, job)
        if begin + job.work_s / fastest > job.due:
            continue
        work = sum(step.core_s for step in job.steps)
        yield work, int(begin / _SLOT_S), int(job.due / _SLOT_S) + 1
