"""Which steps have waited longest, and why."""

import heapq
from collections.abc import Container, Iterator, Mapping

import attrs

from firhook.cell import JobTable, Run, Step
from firhook.decide.schedule import Wait
from firhook.decide.tickets import TicketBook

#: A step that waits for less is nothing to tell of: permission may take a second,
#: and work that is not urgent waits some for room.
_TOLD_AFTER_S = 3.0
#: Steps and workers that are told of at once.
_MOST_STEPS = 5
_MOST_WORKERS = 3


@attrs.frozen(slots=True)
class WaitingStep:
    """A step whose turn has come and of which nothing runs, as far as is known.

    :param ready_s: how long ago its turn came, or this lead began.
    :param workers: some of those that its runs are bound to, if that is why.
    :param asked: for how many workers the adviser has answered.
    :param permitted: how many of these may run it.
    """

    step: Step
    ready_s: float
    why: Wait
    workers: tuple[str, ...] = ()
    asked: int = 0
    permitted: int = 0


def longest_waiting(
    book: JobTable,
    waits: Mapping[str, Wait],
    tickets: TicketBook,
    answering: Container[str],
    now: float,
) -> list[WaitingStep]:
    """Return the steps that wait and became ready first, some at the most.

    :param waits: why steps could not start, as the last round found.
    :param answering: the workers that answer.
    """
    first = heapq.nsmallest(
        _MOST_STEPS, _waiting(book, answering, now), key=lambda row: row[:2]
    )
    rows = []
    for ready_at, _, step in first:
        why, workers = _reason(step, waits)
        advice = tickets.of(step)
        asked, permitted = advice.known_count(), len(advice.yes)
        rows.append(WaitingStep(step, now - ready_at, why, workers, asked, permitted))
    return rows


def _waiting(
    book: JobTable, answering: Container[str], now: float
) -> Iterator[tuple[float, str, Step]]:
    for job in book.jobs.values():
        if job.status.ended:
            continue
        for step in job.steps.values():
            if step.ready_at is None or now - step.ready_at < _TOLD_AFTER_S:
                continue
            if step.remaining and not any(
                _works(run, answering) for run in step.runs()
            ):
                yield step.ready_at, step.name, step


def _works(run: Run, answering: Container[str]) -> bool:
    return run.confirmed and not run.stop_reason and run.worker in answering


def _reason(step: Step, waits: Mapping[str, Wait]) -> tuple[Wait, tuple[str, ...]]:
    bound = sorted({run.worker for run in step.runs()})
    if bound:
        return Wait.RUNS_BOUND, tuple(bound[:_MOST_WORKERS])
    return waits.get(step.name, Wait.NOT_LOOKED_AT), ()
