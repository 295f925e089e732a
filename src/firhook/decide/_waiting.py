"""Finds the steps that have waited longest, and why."""

import heapq
from collections.abc import Container, Iterator, Mapping

import attrs

from firhook.cell import JobTable, Run, Step
from firhook.decide.schedule import WaitReason
from firhook.decide.tickets import TicketTable

#: Shorter waits are not reported: advice may take a second, and work that is not
#: urgent waits some time for capacity.
_MIN_WAIT_S = 3.0
#: Limits of a report.
_MAX_STEPS = 5
_MAX_WORKERS = 3


@attrs.frozen(slots=True)
class WaitingStep:
    """A step that is ready and has no confirmed run.

    :param ready_s: seconds since it became ready, or since this lead's term began if
        that was later.
    :param reason: why it does not run.
    :param workers: some of the workers that its runs are bound to, if any.
    :param asked: for how many workers the adviser has answered.
    :param permitted: how many of these may run it.
    """

    step: Step
    ready_s: float
    reason: WaitReason
    workers: tuple[str, ...] = ()
    asked: int = 0
    permitted: int = 0


def longest_waiting(
    book: JobTable,
    wait_reasons: Mapping[str, WaitReason],
    tickets: TicketTable,
    answering: Container[str],
    now: float,
) -> list[WaitingStep]:
    """Return the waiting steps that became ready first, up to a limit.

    :param wait_reasons: why steps could not start in the last round.
    :param answering: the workers that answer polls.
    """
    first = heapq.nsmallest(
        _MAX_STEPS, _waiting_steps(book, answering, now), key=lambda row: row[:2]
    )
    rows = []
    for ready_at, _, step in first:
        reason, workers = _reason(step, wait_reasons)
        advice = tickets.advice_for(step)
        asked, permitted = advice.answered_count(), len(advice.permitted)
        rows.append(
            WaitingStep(step, now - ready_at, reason, workers, asked, permitted)
        )
    return rows


def _waiting_steps(
    book: JobTable, answering: Container[str], now: float
) -> Iterator[tuple[float, str, Step]]:
    for job in book.jobs.values():
        if job.status.ended:
            continue
        for step in job.steps.values():
            if step.ready_at is None or now - step.ready_at < _MIN_WAIT_S:
                continue
            if step.remaining and not any(
                _is_active(run, answering) for run in step.runs()
            ):
                yield step.ready_at, step.name, step


def _is_active(run: Run, answering: Container[str]) -> bool:
    return run.confirmed and not run.stop_reason and run.worker in answering


def _reason(
    step: Step, wait_reasons: Mapping[str, WaitReason]
) -> tuple[WaitReason, tuple[str, ...]]:
    bound = sorted({run.worker for run in step.runs()})
    if bound:
        return WaitReason.RUNS_BOUND, tuple(bound[:_MAX_WORKERS])
    return wait_reasons.get(step.name, WaitReason.NOT_LOOKED_AT), ()
