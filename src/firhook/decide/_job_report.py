"""Reports how far a job is: what each of its steps does or waits for."""

import heapq
from collections.abc import Container
from enum import StrEnum

import attrs

from firhook.cell import Job, Run, Step


class StepPhase(StrEnum):
    """What a step does."""

    #: Other steps have to be done first.
    BLOCKED = "blocked"
    #: Tasks of it wait.
    WAITING = "waiting"
    #: Workers run all tasks that are left.
    RUNNING = "running"
    DONE = "done"


class RunPhase(StrEnum):
    """What is known of a run."""

    #: Assigned, but not confirmed by its worker.
    BOUND = "bound"
    RUNNING = "running"
    #: To be stopped, or being stopped.
    STOPPING = "stopping"
    #: Its worker does not answer.
    SILENT = "silent"


@attrs.frozen(slots=True)
class RunReport:
    """A run that may still be executing."""

    run: Run
    phase: RunPhase


@attrs.frozen(slots=True)
class StepReport:
    """A step of a job.

    :param blocked_by: numbers of the steps that have to be done first.
    :param run_count: number of its runs.
    :param runs: the oldest of its runs.
    """

    step: Step
    phase: StepPhase
    blocked_by: tuple[int, ...]
    run_count: int
    runs: tuple[RunReport, ...]


def report_steps(
    job: Job,
    waiting: Container[Step],
    answering: Container[str],
    max_steps: int,
    max_runs: int,
) -> list[StepReport]:
    """Return a job's steps, those that are not done first.

    :param waiting: the steps that have waiting tasks.
    :param answering: the workers that answer polls.
    :param max_steps: largest number of steps to return.
    :param max_runs: largest number of runs to return of each.
    """
    steps = heapq.nsmallest(
        max_steps,
        job.steps.values(),
        key=lambda s: (s.remaining == 0, s.occurrence, s.number),
    )
    return [_report(step, waiting, answering, max_runs) for step in steps]


def _report(
    step: Step, waiting: Container[Step], answering: Container[str], max_runs: int
) -> StepReport:
    runs = list(step.runs())
    oldest = heapq.nsmallest(max_runs, runs, key=lambda r: (r.started_at, r.key))
    blocked_by = tuple(
        number
        for number in step.spec.after
        if step.job.steps[step.occurrence, number].remaining
    )
    return StepReport(
        step,
        _phase(step, waiting, blocked_by),
        blocked_by,
        len(runs),
        tuple(RunReport(run, _run_phase(run, answering)) for run in oldest),
    )


def _phase(
    step: Step, waiting: Container[Step], blocked_by: tuple[int, ...]
) -> StepPhase:
    if not step.remaining:
        return StepPhase.DONE
    if step in waiting:
        return StepPhase.WAITING
    return StepPhase.BLOCKED if blocked_by else StepPhase.RUNNING


def _run_phase(run: Run, answering: Container[str]) -> RunPhase:
    if run.stop_reason:
        return RunPhase.STOPPING
    if run.worker not in answering:
        return RunPhase.SILENT
    return RunPhase.RUNNING if run.confirmed else RunPhase.BOUND
