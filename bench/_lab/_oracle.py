"""An upper bound on the jobs that any policy can complete in time."""

from collections.abc import Iterable

import numpy as np

from bench._lab._outcomes import OutcomeKind, Summary, iter_groups
from bench._lab._policies import Policy
from bench._lab._workload import SUBMIT_TIMEOUT_S, Job, Workload

#: Times are rounded to slots of this length, each window outwards.
_SLOT_S = 0.1


class Oracle(Policy, name="oracle"):
    """An upper bound on the jobs in time, for a relaxed model of the cell.

    Each of these relaxations only makes the problem easier, so no policy can complete
    more jobs in time.  The optimum of the relaxed problem is exact:

    - All workers form one machine that never fails, slows down or is isolated.  It
      switches between jobs and splits a job over all its cores at no cost.  Its
      cores have the speeds of their workers, so it can do all that the cell can do,
      and more.
    - It knows all jobs and their true work beforehand.  A job in time has all its
      work done within a window.  The window starts when the job can be accepted,
      which is after its caller sends it and after the caller's zone is no longer
      isolated, plus the shortest answer of the adviser.  It ends at the objective.
    - A job counts by the completed fraction of its work, of which complete jobs are a
      special case.  The amounts of work that fit within the windows form a
      polymatroid.  So the greedy choice, which takes the jobs with the least work
      first, each as far as capacity remains, maximises the sum of the fractions.

    The bound of each group assumes that the cell serves only this group.  The other
    outcomes and the wait times have no bound.
    """

    def evaluate(self, workload: Workload) -> dict[tuple[str, str], Summary]:
        """Return the bound of each group; see :meth:`Policy.evaluate`."""
        return {
            (kind, name): _compute_bound(workload, jobs)
            for kind, name, jobs in iter_groups(workload)
        }


def _compute_bound(workload: Workload, jobs: list[Job]) -> Summary:
    shares: dict[OutcomeKind, float | None] = dict.fromkeys(OutcomeKind)
    shares[OutcomeKind.IN_TIME] = max_in_time(workload, jobs) / len(jobs)
    return Summary(len(jobs), shares)


def released_at(workload: Workload, job: Job) -> float:
    """Return the earliest time at which the first task of a job can start.

    :return: infinity if no instance can accept the job while its caller tries.
    """
    at = job.at
    for fault in workload.faults:
        if fault.label == "zone" and job.zone in fault.names and fault.contains(at):
            at = fault.end
    if at > job.at + SUBMIT_TIMEOUT_S:
        return float("inf")
    return at + job.kind.advice_duration_s(1)


def max_in_time(workload: Workload, jobs: Iterable[Job]) -> float:
    """Return an upper bound on the jobs in time, counting fractions of jobs."""
    cores = sum(workload.speeds.values()) * workload.scenario.cpu_m / 1000
    count = int(workload.end / _SLOT_S) + 2
    # Remaining capacity, in core seconds, from the start of slot i to that of slot j.
    span_slots = np.subtract.outer(np.arange(count + 1), np.arange(count + 1)).T
    remaining = span_slots.astype(float) * (cores * _SLOT_S)
    fastest = max(workload.speeds.values())
    total = 0.0
    for work, first, last in sorted(_windows(workload, jobs, fastest)):
        # Every span that contains the window limits the work done in it.
        enclosing = remaining[: first + 1, last:]
        done_work = min(work, max(float(enclosing.min()), 0.0))
        enclosing -= done_work
        total += done_work / work
    return total


def _windows(
    workload: Workload, jobs: Iterable[Job], fastest: float
) -> Iterable[tuple[float, int, int]]:
    """Yield the work, first slot and end slot of each job that can be in time."""
    for job in jobs:
        begin = released_at(workload, job)
        if begin + job.work_s / fastest > job.due:
            continue
        work = sum(step.core_s for step in job.steps)
        yield work, int(begin / _SLOT_S), int(job.due / _SLOT_S) + 1
