"""Sends the orders of a lead's term to the workers: starts and stops of runs."""

import asyncio
from collections.abc import Callable, Coroutine, Mapping
from typing import Any, Protocol

from firhook.cell import (
    DrainedZones,
    JobTable,
    OrderAnswer,
    OrderOutcome,
    Run,
    StartOrder,
)
from firhook.clock import boot_time
from firhook.decide.hedging import HedgeTimer
from firhook.decide.start_queue import (
    MAX_ANSWER_S,
    StartQueue,
    StartWindow,
    has_valid_ticket,
)
from firhook.decide.suspicion import OVERDUE_S
from firhook.decide.tickets import TicketTable
from firhook.logs import log
from firhook.meters import Meters
from firhook.platform.instance import Bounds
from firhook.platform.workers import Workers
from firhook.services._late_starts import ORDER_RETRY_S, LateStarts
from firhook.services._worker_link import WorkerLink

#: A start is repeated for this time.  After that the run is stopped, which every
#: worker that answers at all confirms.
_START_RETRY_LIMIT_S = 2.5
#: A start without an answer stops counting as in flight after this, if starts that were
#: sent later have one.
_SLOT_HOLD_S = 0.1
#: All members of a gang must have started within this fraction of the time for which
#: they wait for each other.
_GANG_START_FRACTION = 0.6
#: The last repeat of a start to a drained zone is sent this long before no start may
#: arrive there.  A call to a worker takes up to 0.8 s.
_DRAIN_MARGIN_S = 1.5
#: The outcomes after which a start is sent again.
_RETRIED_OUTCOMES = (OrderOutcome.UNKNOWN, OrderOutcome.NOT_SENT, OrderOutcome.EXPIRED)
#: The outcomes after which the worker has taken over the lease that the start names.
_LEASING_OUTCOMES = (
    OrderOutcome.APPLIED,
    OrderOutcome.SUPERSEDED,
    OrderOutcome.NO_CAPACITY,
)
#: The outcomes after which the worker has the run, or refuses to start it.
_TAKEN_OUTCOMES = (OrderOutcome.APPLIED, OrderOutcome.SUPERSEDED)
#: The overdue starts to one worker take up half of the window at most.
_OVERDUE_DIVISOR = 2


class OrderOwner(Protocol):
    """What an order sender needs from the lead's term.

    :ivar drained_zones: the zones whose workers get no new work.
    :ivar fence: the fencing token of every order.
    :ivar lost: whether the term is over, or is ending.
    """

    drained_zones: DrainedZones
    fence: int
    lost: bool
    job_table: JobTable
    tickets: TicketTable
    workers: Workers

    @property
    def links(self) -> Mapping[str, WorkerLink]:
        """The known workers, by name."""

    def may_act(self) -> bool:
        """Return whether orders may be sent now."""

    def may_back_off(self, link: WorkerLink) -> bool:
        """Return whether a worker may get less work than the others of its pool."""

    def on_fenced(self, worker: str) -> None:
        """Handle that a worker has seen a higher fencing token."""


class _Copy:
    """One copy of a run's start, from the call for it to its answer.

    :ivar number: its number; 0 while it is not sent.
    :ivar sent_at: when it was sent.
    :ivar incarnation: the incarnation that it was sent to.
    """

    def __init__(self, run: Run) -> None:
        self.run = run
        self.number = 0
        self.sent_at = 0.0
        self.incarnation = 0

    def send(self, now: float) -> None:
        """Record that the copy is sent now."""
        self.number, self.sent_at = self.run.copies.send(now), now
        self.incarnation = self.run.incarnation

    def withdraw(self) -> None:
        """Record that the copy was not sent after all."""
        self.run.copies.withdraw(self.number)
        self.number = 0


class OrderSender:
    """Sends the starts and stops of runs, each until it is settled.

    :param spawn: starts a coroutine as a background task.
    :param wake: called after a change that needs a round.
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
        self._late_starts = LateStarts(term)
        self._queue = StartQueue()
        # When the last one of the starts with an answer was sent.
        self._answered_until = float("-inf")
        self._window = StartWindow()
        # The starts that are overdue and still count as in flight, by worker.
        self._overdue: dict[str, set[tuple[str, int]]] = {}
        # The loop holds tasks by weak references only, and some are awaited by nobody.
        self._calls: set[asyncio.Task[OrderAnswer]] = set()
        self._hedge_timer = HedgeTimer()

    def answer_delay_s(self) -> float:
        """Return the time in seconds within which a worker that answers does so."""
        return self._hedge_timer.delay_s()

    def stop_late_starts(self, link: WorkerLink, now: float) -> None:
        """Stop starts to a worker's previous incarnation that may still arrive."""
        for start in self._late_starts.take(link.name, now):
            self._spawn(self._late_starts.stop(start))

    def start_runs(self, runs: list[Run]) -> None:
        """Queue the starts of runs whose assignments are now stored."""
        now = boot_time()
        for run in runs:
            run.stored = True
            if run.stop_reason or run not in run.task.runs:
                # Cancelled while its assignment was being stored; nothing was sent.
                self._term.job_table.void(run, "not_sent", now)
                continue
            self._queue.add(run, now)
        self._send_queued()

    def _send_queued(self) -> None:
        """Send queued starts, a limited number at a time and urgent ones early.

        A step of a hundred tasks may start while short urgent ones arrive.  Sent all
        at once, its starts would occupy the network link and the event loop for half
        a second, during which heartbeats, adviser requests and urgent starts
        wait.  Sent only after all urgent starts, they could wait without end, and
        their tickets would expire.
        """
        while self._queue and self._window.is_open:
            run = self._queue.take()
            if not self._is_wanted(run):
                continue
            if not self._ticket_holds(run):
                self._drop_expired(run)
                continue
            self._window.in_flight += 1
            self._spawn(self._start(run))

    def may_plan(self) -> bool:
        """Return whether further starts would be sent soon."""
        return self._queue.may_plan(boot_time())

    def _ticket_holds(self, run: Run) -> bool:
        """Return whether a start that is sent now arrives before its ticket expires."""
        arrives_in_s = min(self._hedge_timer.mean_s, MAX_ANSWER_S)
        return has_valid_ticket(run, boot_time() + arrives_in_s)

    def _drop_expired(self, run: Run) -> None:
        """Void a queued run whose ticket expired."""
        self._meters.count("starts_expired")
        self._term.tickets.record_start(boot_time() - run.started_at)
        self._void(run, "ticket_expired")
        self._wake()

    def _void(self, run: Run, reason: str) -> None:
        """Void a run, and the members of its gang of which nothing was sent.

        Those need no stop, for which a worker that is lost would have to be awaited.
        """
        step, now = run.task.step, boot_time()
        members = [run]
        if step.spec.gang:
            members += [
                other
                for other in step.runs()
                if other is not run
                and other.number == run.number
                and not (other.copies.count or other.confirmed)
            ]
        for member in members:
            self._term.job_table.void(member, reason, now)

    async def _start(self, run: Run) -> None:
        """Start a run, which takes up a slot of the window for a while."""
        loop, began, is_released = asyncio.get_running_loop(), boot_time(), False

        def release_slot() -> None:
            nonlocal is_released
            if not is_released:
                is_released = True
                overdue = self._overdue.get(run.worker, set())
                overdue.discard(run.key)
                if not overdue:
                    self._overdue.pop(run.worker, None)
                self._window.in_flight -= 1
                self._send_queued()

        def release_unless_saturated() -> None:
            nonlocal timer
            if self._may_be_saturated(run, began):
                timer = loop.call_later(_SLOT_HOLD_S, release_unless_saturated)
            else:
                release_slot()

        timer = loop.call_later(_SLOT_HOLD_S, release_unless_saturated)
        try:
            await self._start_until_settled(run, began)
        finally:
            timer.cancel()
            release_slot()

    def _may_be_saturated(self, run: Run, began: float) -> bool:
        """Return whether a start may lack an answer since the lead or its link is slow.

        More starts would only wait there, until their tickets have expired.  A worker
        that does not answer delays other starts only briefly: starts that were sent
        later are answered, or many others to this worker are overdue as well.
        """
        if max(began, run.copies.sent_at) < self._answered_until:
            return False
        overdue = self._overdue.setdefault(run.worker, set())
        if len(overdue) < max(self._window.size // _OVERDUE_DIVISOR, 1):
            overdue.add(run.key)
        return run.key in overdue

    async def _start_until_settled(self, run: Run, began: float) -> None:
        step = run.task.step
        limit_s = (
            self._bounds.gang_timeout_s * _GANG_START_FRACTION
            if step.spec.gang
            else _START_RETRY_LIMIT_S
        )
        calls: set[asyncio.Task[OrderAnswer]] = set()
        while self._is_wanted(run):
            if run.confirmed:
                # The answer to any copy, or a poll, shows that the worker has the run.
                self._note_started(run, began)
                return
            if boot_time() - began > limit_s:
                self._note_unanswered(run, began)
                self._abandon_start(run, "start_unanswered")
                return
            if self._is_drained(run):
                self._abandon_start(run, "zone_drained")
                return
            if not self._ticket_holds(run) and not run.copies.may_arrive:
                self._abandon_start(run, "ticket_expired")
                return
            if self._has_other_incarnation(run):
                self._abandon_start(run, "worker_restarted")
                return
            if self._may_send(run) and not self._is_unheard(run):
                answer = await self._send_start(run, calls)
                if self._handle_start_answer(run, answer):
                    return
                if run.confirmed:
                    continue
            await asyncio.sleep(ORDER_RETRY_S)

    def _is_wanted(self, run: Run) -> bool:
        """Return whether a run is still to be started."""
        is_current = run in run.task.runs and not run.stop_reason
        return is_current and not self._term.lost

    def _is_unheard(self, run: Run) -> bool:
        """Return whether the worker answered nothing since a start without an answer.

        If it is lost, each further copy only puts off the moment from which none can
        be carried out any more, and the task may start elsewhere.  A worker that lost
        one order answers polls, once a second at least.
        """
        heard_at = self._term.links[run.worker].last_heard_at
        return run.copies.may_arrive and heard_at < run.copies.sent_at

    def _note_unanswered(self, run: Run, began: float) -> None:
        """Keep new work off a worker that answers polls but not a start.

        A start that was given up early, because its job ended or its gang was broken,
        shows nothing: workers may leave single orders unanswered.
        """
        link = self._term.links[run.worker]
        answers_polls = link.last_reply_at > began + OVERDUE_S
        if run.copies.may_arrive and answers_polls:
            self._record_refusal(run.worker)

    def _has_other_incarnation(self, run: Run) -> bool:
        """Return whether a run's worker restarted since the run was assigned.

        The worker may be of another kind now, without the label or the capacity that
        the run needs.
        """
        return self._term.links[run.worker].has_restarted_since(run.incarnation)

    def _is_drained(self, run: Run) -> bool:
        """Return whether a start must not be sent because its zone is drained.

        A start that was sent before may have begun, and the other members of its gang
        may wait for it.  It is repeated as long as it may still arrive.
        """
        zones = self._term.drained_zones
        zone = self._term.links[run.worker].entry.zone
        if zone not in zones:
            return False
        if not run.copies.may_arrive:
            return True
        drain_s = self._bounds.zone_drain_s - _DRAIN_MARGIN_S
        return not zones.may_repeat_start(zone, boot_time(), drain_s)

    async def _send_start(
        self, run: Run, calls: set[asyncio.Task[OrderAnswer]]
    ) -> OrderAnswer:
        """Send a start, and a second copy of it if the first is not answered soon.

        :param calls: the calls of earlier copies without an answer, which this adds to.
        :return: the first answer to any copy that settles the start; else that of the
            last one sent here.
        """
        self._hedge_timer.record_order()
        before = run.copies.count
        sent = {self._begin_start(run)}
        calls |= sent
        first, delay_s = asyncio.FIRST_COMPLETED, self._hedge_timer.delay_s()
        try:
            done, _ = await asyncio.wait(calls, timeout=delay_s, return_when=first)
            while not done and run.copies.count == before:
                # It still waits for a connection, as a second copy would.
                done, _ = await asyncio.wait(calls, timeout=delay_s, return_when=first)
            if not done and self._may_hedge(run):
                self._meters.count("starts_hedged")
                second = self._begin_start(run)
                sent.add(second)
                calls.add(second)
            while True:
                done, _ = await asyncio.wait(calls, return_when=first)
                calls -= done
                for answer in (call.result() for call in done):
                    if answer.outcome not in _RETRIED_OUTCOMES:
                        return answer
                if run.confirmed or not sent & calls:
                    return answer
        except asyncio.CancelledError:
            for call in calls:
                call.cancel()
            raise

    def _begin_start(self, run: Run) -> asyncio.Task[OrderAnswer]:
        call = asyncio.create_task(self._send_start_once(run))
        self._calls.add(call)
        call.add_done_callback(self._calls.discard)
        return call

    def _may_hedge(self, run: Run) -> bool:
        return self._may_send(run) and self._term.may_act() and self._hedge_timer.take()

    async def _send_start_once(self, run: Run) -> OrderAnswer:
        """Send one copy of a start, and take over what its answer says.

        An answer counts whether or not anybody awaits it any more.
        """
        link = self._term.links[run.worker]
        copy = _Copy(run)

        def compose() -> StartOrder | None:
            # The run may have been given up, or the lease extended, while the
            # connection was being opened.
            copy.withdraw()
            return self._compose(link, copy) if self._may_send(run) else None

        began = boot_time()
        call = link.pending_calls.note_sent(began)
        try:
            answer = await self._term.workers.start(
                link.entry, self._term.fence, compose
            )
        except Exception as exc:
            log("run.start_failed", level="error", task=run.task.name, error=repr(exc))
            is_sent = copy.number > 0
            answer = OrderAnswer(
                OrderOutcome.UNKNOWN if is_sent else OrderOutcome.NOT_SENT
            )
        finally:
            link.pending_calls.note_finished(call)
        self._note_answer(link, copy, answer)
        self._meters.count("starts", answer.outcome.value)
        if copy.number > 1 or answer.outcome is not OrderOutcome.APPLIED:
            self._log_copy(copy, answer, began)
        return answer

    def _may_send(self, run: Run) -> bool:
        """Return whether a copy of a start may be sent at this moment."""
        return (
            self._is_wanted(run)
            and not run.confirmed
            and self._ticket_holds(run)
            and not self._is_drained(run)
            and not self._has_other_incarnation(run)
        )

    def _compose(self, link: WorkerLink, copy: "_Copy") -> StartOrder:
        run = copy.run
        step = run.task.step
        copy.send(boot_time())
        return StartOrder(
            task=run.task.name,
            run=run.number,
            text=step.job.accepted.spec.text,
            fence=self._term.fence,
            lease_until_s=link.lease_until(),
            checkpoint=step.start_checkpoint(run.task),
            ticket=run.ticket,
        )

    def _note_answer(
        self, link: WorkerLink, copy: "_Copy", answer: OrderAnswer
    ) -> None:
        run, now = copy.run, boot_time()
        if answer.outcome is OrderOutcome.UNKNOWN:
            # Another copy may have been answered meanwhile.
            link.suspected = link.suspected or run.copies.may_arrive
            self._late_starts.record(run, copy.sent_at, now)
            if link.has_restarted_since(copy.incarnation):
                # The restart was noticed while the copy was still awaited.
                self.stop_late_starts(link, now)
        elif answer.outcome is OrderOutcome.NOT_SENT:
            copy.withdraw()
        else:
            run.copies.settle(copy.number)
            self._answered_until = max(self._answered_until, copy.sent_at)
            self._window.record_answer(copy.sent_at, now)
            self._hedge_timer.record_answer(now - copy.sent_at)
        if answer.outcome in _LEASING_OUTCOMES:
            link.lease.note_start_answered(now)
        if answer.incarnation:
            link.on_order_answer(answer.incarnation, answer.clock_s, now)
        # Else an incarnation answered of which the lead knows that it is gone.
        is_current = copy.incarnation >= run.incarnation
        if is_current and answer.outcome in _TAKEN_OUTCOMES:
            self._note_taken(run, answer)

    @staticmethod
    def _note_taken(run: Run, answer: OrderAnswer) -> None:
        """Record that the worker has a run, or refuses to start it from now on."""
        run.copies.take()
        run.confirmed = run.confirmed or answer.outcome is OrderOutcome.APPLIED
        run.absence_conclusive_after = boot_time()
        run.incarnation = max(run.incarnation, answer.incarnation)

    @staticmethod
    def _log_copy(copy: "_Copy", answer: OrderAnswer, began: float) -> None:
        run, now = copy.run, boot_time()
        log(
            "start.copy",
            task=run.task.name,
            run=run.number,
            worker=run.worker,
            copy=copy.number,
            outcome=answer.outcome.value,
            open=run.copies.open_count,
            current=run in run.task.runs,
            took_ms=round((now - began) * 1000, 1),
            sent_ms=round((copy.sent_at - began) * 1000, 1) if copy.number else None,
        )

    def _handle_start_answer(self, run: Run, answer: OrderAnswer) -> bool:
        """Handle the answer to a start; return whether nothing is left to do."""
        outcome = answer.outcome
        step = run.task.step
        if outcome is OrderOutcome.FENCED:
            self._term.on_fenced(run.worker)
            return True
        if outcome is OrderOutcome.SUPERSEDED:
            return True
        if run.confirmed or outcome in (*_RETRIED_OUTCOMES, OrderOutcome.APPLIED):
            return False
        log(
            "run.refused",
            level="warning",
            task=run.task.name,
            run=run.number,
            worker=run.worker,
            reason=outcome.value,
        )
        if outcome is OrderOutcome.NO_TICKET:
            self._term.tickets.advice_for(step).expire_ticket(run.worker)
        if outcome in (OrderOutcome.BUSY, OrderOutcome.NO_CAPACITY):
            self._record_refusal(run.worker)
        if outcome is OrderOutcome.INVALID:
            self._record_rejection(run)
        self._abandon_start(run, outcome.value)
        return True

    def _record_rejection(self, run: Run) -> None:
        rejections, step = self._term.tickets.rejections, run.task.step
        if rejections.record_rejection(step, run.worker, boot_time()):
            self._record_rejecting_worker(run.worker)

    def _record_rejecting_worker(self, worker: str) -> None:
        """Keep new work off a worker that rejects what others accept."""
        log("worker.rejects_starts", level="warning", worker=worker)
        self._meters.count("workers_rejecting")
        self._record_refusal(worker)

    def _record_refusal(self, worker: str) -> None:
        link = self._term.links[worker]
        link.health.record_refusal(boot_time(), self._term.may_back_off(link))

    def _abandon_start(self, run: Run, reason: str) -> None:
        if run not in run.task.runs:
            return
        if run.copies.may_arrive or run.confirmed or run.was_carried_out:
            # A copy of the start was or may still be carried out.  Only a poll that
            # was sent after a confirmed stop shows whether the run has ended.
            self._term.job_table.stop(run, reason)
            if run.task.step.spec.gang:
                self._term.job_table.stop_gang(run.task.step, run.number)
        else:
            self._void(run, reason)
        self._wake()

    def _note_started(self, run: Run, began: float) -> None:
        now = boot_time()
        rejections = self._term.tickets.rejections
        for worker in rejections.record_acceptance(run.task.step, run.worker):
            self._record_rejecting_worker(worker)
        self._term.tickets.record_start(now - run.started_at)
        run.started_at = now
        self._term.job_table.mark_begun(run.task.step.job, now)
        self._meters.record_duration("start", "", now - began)
        log(
            "run.started",
            task=run.task.name,
            run=run.number,
            worker=run.worker,
            life=run.incarnation,
            took_ms=round((now - began) * 1000, 1),
        )

    async def stop(self, run: Run) -> None:
        """Send a stop of a run until the worker confirms it."""
        if run not in run.task.runs:
            return
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
                incarnation = max(run.incarnation, link.newest_incarnation)
                answer = await self._term.workers.stop(
                    link.entry, run.task.name, run.number, self._term.fence
                )
                is_confirmed = answer.outcome in _TAKEN_OUTCOMES
                # Else an earlier incarnation may have confirmed it.
                if is_confirmed and run.incarnation <= incarnation:
                    run.confirm_stop(incarnation, boot_time())
                    return
                if answer.outcome is OrderOutcome.FENCED:
                    self._term.on_fenced(run.worker)
                    return
            await asyncio.sleep(ORDER_RETRY_S)
