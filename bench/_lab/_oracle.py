"""An upper bound on what any policy can reach."""

from collections.abc import Iterable

import numpy as np

from bench._lab._outcomes import OutcomeKind, Summary, iter_groups
from bench._lab._policies import Policy
from bench._lab._workload import SUBMIT_TIMEOUT_S, Job, Workload

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

    def evaluate(self, workload: Workload) -> dict[tuple[str, str], Summary]:
        """Return the bounds."""
        return {
            (kind, name): _bound(workload, jobs)
            for kind, name, jobs in iter_groups(workload)
        }


def _bound(workload: Workload, jobs: list[Job]) -> Summary:
    shares: dict[OutcomeKind, float | None] = dict.fromkeys(OutcomeKind)
    shares[OutcomeKind.IN_TIME] = max_in_time(workload, jobs) / len(jobs)
    return Summary(len(jobs), shares)


def released_at(workload: Workload, job: Job) -> float:
    """Return when a job's first task can begin at the earliest.

    :return: infinity if no instance can accept it as long as its caller tries.
    """
    at = job.at
    for fault in workload.faults:
        if fault.label == "zone" and job.zone in fault.names and fault.contains(at):
            at = fault.end
    if at > job.at + SUBMIT_TIMEOUT_S:
        return float("inf")
    return at + job.kind.advice_duration_s(1)


def max_in_time(workload: Workload, jobs: Iterable[Job]) -> float:
    """Return the largest number of jobs that the whole cell could have in time."""
    cores = sum(workload.speeds.values()) * workload.scenario.cpu_m / 1000
    count = int(workload.end / _SLOT_S) + 2
    # What is left of the cell from the start of each slot to the end of each.
    span_slots = np.subtract.outer(np.arange(count + 1), np.arange(count + 1)).T
    remaining = span_slots.astype(float) * (cores * _SLOT_S)
    fastest = max(workload.speeds.values())
    total = 0.0
    for work, first, last in sorted(_windows(workload, jobs, fastest)):
        # Every span that holds the job's window bounds what is done within it.
        enclosing = remaining[: first + 1, last:]
        done_work = min(work, max(float(enclosing.min()), 0.0))
        enclosing -= done_work
        total += done_work / work
    return total


def _windows(
    workload: Workload, jobs: Iterable[Job], fastest: float
) -> Iterable[tuple[float, int, int]]:
    """Return work and first and last slot of each job that can be in time at all."""
    for job in jobs:
        begin = released_at(workload, job)
        if begin + job.work_s / fastest > job.due:
            continue
        work = sum(step.core_s for step in job.steps)
        yield work, int(begin / _SLOT_S), int(job.due / _SLOT_S) + 1
