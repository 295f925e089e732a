"""Starts without an answer that a restarted worker may carry out late."""

import asyncio
from collections.abc import Mapping
from typing import Protocol

import attrs

from firhook.cell import JobTable, OrderOutcome, Run
from firhook.cell.job_table import MAX_ORDER_DELAY_S
from firhook.clock import boot_time
from firhook.platform.workers import Workers
from firhook.services._worker_link import WorkerLink

#: The delay before an order without an answer is repeated.
ORDER_RETRY_S = 0.1
#: The outcomes of a stop after which the worker refuses the run.
_STOPPED_OUTCOMES = (OrderOutcome.APPLIED, OrderOutcome.SUPERSEDED)


class LateStartsOwner(Protocol):
    """What :class:`LateStarts` needs from the lead's term."""

    fence: int
    lost: bool
    job_table: JobTable
    workers: Workers

    @property
    def links(self) -> Mapping[str, WorkerLink]:
        """The known workers, by name."""

    def may_act(self) -> bool:
        """Return whether orders may be sent now."""


@attrs.frozen(slots=True)
class LateStart:
    """A start without an answer, of a run that may have ended since.

    :param until: until when it may be carried out, on the boot clock.
    """

    task: str
    number: int
    worker: str
    until: float

    @property
    def key(self) -> tuple[str, int]:
        """The task's name and the run's number."""
        return (self.task, self.number)


class LateStarts:
    """Knows the starts of a term that had no answer, also of runs that have ended.

    The incarnation that received such a start refuses it once the run was stopped or
    has ended there, or its lease has.  The next one knows of none of these.  If it
    carried out the start, the task would run again.
    """

    def __init__(self, term: LateStartsOwner) -> None:
        self._term = term
        self._by_worker: dict[str, dict[tuple[str, int], LateStart]] = {}

    def record(self, run: Run, sent_at: float, now: float) -> None:
        """Record that a copy of a start has no answer."""
        starts = self._by_worker.setdefault(run.worker, {})
        for key in [key for key, start in starts.items() if start.until <= now]:
            del starts[key]
        until = sent_at + MAX_ORDER_DELAY_S
        known = starts.get(run.key)
        if known is None or known.until < until:
            starts[run.key] = LateStart(run.task.name, run.number, run.worker, until)

    def take(self, worker: str, now: float) -> list[LateStart]:
        """Remove and return the starts that a restarted worker may carry out.

        Runs in the job table are left out: they are stopped there, or go on.
        """
        active = self._term.job_table.worker_runs.get(worker, {})
        starts = self._by_worker.get(worker, {})
        ended = [s for s in starts.values() if now < s.until and s.key not in active]
        for start in ended:
            del starts[start.key]
        return ended

    async def stop(self, start: LateStart) -> None:
        """Stop a start until the worker confirms that it never carries it out."""
        while boot_time() < start.until and not self._term.lost:
            link = self._term.links.get(start.worker)
            if link is None:
                return
            if self._term.may_act():
                answer = await self._term.workers.stop(
                    link.entry, start.task, start.number, self._term.fence
                )
                if answer.outcome in _STOPPED_OUTCOMES:
                    return
            await asyncio.sleep(ORDER_RETRY_S)
