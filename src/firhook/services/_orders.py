"""The orders of a lead's term to the workers: starts and stops of runs."""

import asyncio
import heapq
from collections.abc import Callable, Coroutine, Mapping
from typing import Any, Protocol

from firhook.cell import JobTable, OrderAnswer, OrderOutcome, Run, StartOrder
from firhook.cell.job_table import MAX_ORDER_DELAY_S
from firhook.clock import boot_time
from firhook.decide.tickets import TicketBook
from firhook.logs import log
from firhook.meters import Meters
from firhook.platform.instance import Bounds
from firhook.platform.workers import Workers
from firhook.services._worker_link import WorkerLink

#: An order that got no answer is repeated after this.
_ORDER_RETRY_S = 0.1
#: A start is repeated for so long; then it is stopped, which any worker that
#: answers at all confirms.
_START_TRIES_S = 2.5
#: Starts that are under way at once at most.
_STARTS_AT_ONCE = 24
#: Urgent starts go before others that were due so much earlier.
_HEAD_START_S = 0.4
#: A start that was not answered by then is not counted any more.
_SLOT_S = 0.1
#: The members of a gang must all have started within this part of the time for
#: which they wait for each other.
_GANG_PART = 0.6
#: Answers to a start after which it is sent once more.
_TRIED_AGAIN = (OrderOutcome.UNKNOWN, OrderOutcome.NOT_SENT, OrderOutcome.EXPIRED)


class OrderOwner(Protocol):
    """What orders need of the lead's term.

    :ivar fence: the fencing token of every order.
    :ivar lost: whether another lead has been seen.
    """

    fence: int
    lost: bool
    book: JobTable
    tickets: TicketBook
    workers: Workers

    @property
    def links(self) -> Mapping[str, WorkerLink]:
        """The workers that are known, by name."""

    def may_act(self) -> bool:
        """Return whether orders may be given at this moment."""

    def on_fenced(self, worker: str) -> None:
        """Take note that a worker has seen a higher fencing token."""


class Orders:
    """Carries out what the book says, each order until it is settled.

    :param spawn: runs work beside the caller.
    :param wake: called after a change that a round should see.
    """

    def __init__(
        self,
        term: OrderOwner,
        bounds: Bounds,
        meters: Meters,
        spawn: Callable[[Coroutine[Any, Any, Any]], None],
        wake: Callable[[], None],
    ) -> None:
        self._term = term
        self._bounds = bounds
        self._meters = meters
        self._spawn = spawn
        self._wake = wake
        self._unanswered: dict[str, dict[tuple[str, int], float]] = {}
        self._waiting: list[tuple[float, int, Run]] = []
        self._count = 0
        self._slots = _STARTS_AT_ONCE

    def stop_late_starts(self, link: WorkerLink, now: float) -> None:
        """Stop in a worker's new life what may yet arrive from before.

        A start that got no answer was stopped, or outlived its lease, in the
        worker's last life.  Carried out late it would reach the new one, which
        knows of neither, and run the task beside its next run.
        """
        term = self._term
        starts = self._unanswered.pop(link.name, {})
        for (task, number), sent_at in starts.items():
            active = (task, number) in term.book.worker_runs.get(link.name, {})
            if now - sent_at < MAX_ORDER_DELAY_S and not active:
                self._spawn(term.workers.stop(link.entry, task, number, term.fence))

    def begin(self, runs: list[Run]) -> None:
        """Have runs started, whose assignment is stored now."""
        now = boot_time()
        for run in runs:
            run.stored = True
            if run.stop_reason or run not in run.task.runs:
                # It was cancelled while its assignment was stored; nothing was sent.
                self._term.book.void(run, "not_sent", now)
                continue
            urgent = run.task.step.job.queue.priority == 0
            self._count += 1
            due = now if urgent else now + _HEAD_START_S
            heapq.heappush(self._waiting, (due, self._count, run))
        self._send_waiting()

    def _send_waiting(self) -> None:
        """Send the starts that wait, urgent ones with a head start, some at a time.

        Load: a step of a hundred tasks starts while short urgent ones come.  Harm:
        sent all at once its starts fill the link and the loop for half a second;
        heartbeats, questions to the adviser and the starts of urgent work wait.  Sent
        after all that is urgent, they would wait without end, and their tickets end.
        """
        while self._waiting and self._slots > 0:
            _, _, run = heapq.heappop(self._waiting)
            self._slots -= 1
            self._spawn(self._start(run))

    def _free_slot(self) -> None:
        self._slots += 1
        self._send_waiting()

    async def _start(self, run: Run) -> None:
        # A worker that does not answer holds up other starts for a moment only.
        loop = asyncio.get_running_loop()
        slot = loop.call_later(_SLOT_S, self._free_slot)
        began = boot_time()
        try:
            await self._start_until_settled(run, began)
        finally:
            if not slot.cancelled() and slot.when() > loop.time():
                slot.cancel()
                self._free_slot()

    async def _start_until_settled(self, run: Run, began: float) -> None:
        step = run.task.step
        limit_s = self._bounds.gang_s * _GANG_PART if step.spec.gang else _START_TRIES_S
        while run in run.task.runs and not run.stop_reason and not self._term.lost:
            if boot_time() - began > limit_s:
                self._give_up_start(run, "start_unanswered")
                return
            answer = await self._send_start(run)
            if self._take_start_answer(run, answer, began):
                return
            await asyncio.sleep(_ORDER_RETRY_S)

    async def _send_start(self, run: Run) -> OrderAnswer:
        link = self._term.links[run.worker]
        step = run.task.step
        order = StartOrder(
            task=run.task.name,
            run=run.number,
            text=step.job.accepted.spec.text,
            fence=self._term.fence,
            lease_until_s=link.lease_until(),
            checkpoint=step.start_checkpoint(run.task),
            ticket=run.ticket,
        )
        # Counted before it is sent: whoever looks meanwhile must take it for
        # one that may yet arrive.
        run.unanswered_starts += 1
        run.sent_at = boot_time()
        call = link.answers.sent(run.sent_at)
        try:
            answer = await self._term.workers.start(link.entry, order)
        finally:
            link.answers.over(call)
        if answer.outcome is OrderOutcome.UNKNOWN:
            link.doubted = True
            self._unanswered.setdefault(run.worker, {})[run.key] = run.sent_at
        else:
            run.unanswered_starts -= 1
        if answer.incarnation:
            link.heard(answer.incarnation, answer.clock_s, boot_time())
        self._meters.count("starts", answer.outcome.value)
        return answer

    def _take_start_answer(self, run: Run, answer: OrderAnswer, began: float) -> bool:
        """Return whether the start is settled."""
        outcome = answer.outcome
        step = run.task.step
        if outcome in (OrderOutcome.APPLIED, OrderOutcome.SUPERSEDED):
            # Every earlier copy of this start is void now: the run is there.
            run.unanswered_starts = 0
            run.absence_conclusive_after = boot_time()
            if answer.incarnation > run.incarnation:
                run.incarnation = answer.incarnation
            if outcome is OrderOutcome.APPLIED:
                self._note_started(run, began)
            return True
        if outcome in _TRIED_AGAIN:
            return False
        if outcome is OrderOutcome.FENCED:
            self._term.on_fenced(run.worker)
            return True
        log(
            "run.refused",
            level="warning",
            task=run.task.name,
            run=run.number,
            worker=run.worker,
            reason=outcome.value,
        )
        if outcome is OrderOutcome.NO_TICKET:
            self._term.tickets.of(step).drop_ticket(run.worker)
        self._give_up_start(run, outcome.value)
        return True

    def _give_up_start(self, run: Run, reason: str) -> None:
        if run not in run.task.runs:
            return
        if run.unanswered_starts:
            # A copy of the start may yet be carried out; only a stop that is
            # answered makes sure that it is not.
            self._term.book.stop(run, reason)
            if run.task.step.spec.gang:
                self._term.book.stop_gang(run.task.step, run.number)
        else:
            self._term.book.void(run, reason, boot_time())
        self._wake()

    def _note_started(self, run: Run, began: float) -> None:
        run.confirmed = True
        now = boot_time()
        self._term.tickets.note_start(now - run.started_at)
        run.started_at = now
        self._term.book.mark_begun(run.task.step.job, now)
        self._meters.time("start", "", now - began)
        log(
            "run.started",
            task=run.task.name,
            run=run.number,
            worker=run.worker,
            took_ms=round((now - began) * 1000, 1),
        )

    async def stop(self, run: Run) -> None:
        """Order a run to be stopped until the worker confirms it."""
        log(
            "run.stopping",
            task=run.task.name,
            run=run.number,
            worker=run.worker,
            reason=run.stop_reason,
        )
        while run in run.task.runs and not self._term.lost:
            if not run.stored:
                return
            link = self._term.links.get(run.worker)
            if link is not None and self._term.may_act():
                answer = await self._term.workers.stop(
                    link.entry, run.task.name, run.number, self._term.fence
                )
                if answer.outcome in (OrderOutcome.APPLIED, OrderOutcome.SUPERSEDED):
                    run.unanswered_starts = 0
                    run.absence_conclusive_after = boot_time()
                    return
                if answer.outcome is OrderOutcome.FENCED:
                    self._term.on_fenced(run.worker)
                    return
            await asyncio.sleep(_ORDER_RETRY_S)
