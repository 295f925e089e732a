"""Asking the adviser, through whichever instance it answers first."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from firhook._peer_messages import AdviceAsk, AdviceReply
from firhook.cell import Advice
from firhook.clock import boot_time
from firhook.decide.adviser_slots import AdviserSlot, SlotPlan, choose_slot
from firhook.decide.tickets import AdviceRequest, TicketTable
from firhook.errors import PeerUnreachableError
from firhook.instance import Instance
from firhook.logs import log
from firhook.services._events import AskInstance

#: A step whose answer is so much later than it should be is asked about elsewhere.
#: An instance that is gone costs a quote this much of its half second; answers
#: through a peer come within 5 ms of when they should.
_SLACK_S = 0.25
#: An answer that is so much later does not come any more.
_LOST_S = 3.0


class Advising:
    """Carries out what the lead wants to know of the adviser.

    :param tickets: where answers go.
    :param plan: keeps seats at the adviser for fast questions.
    :param spawn: runs work beside the caller.
    :param answered: called after each answer, or when none came.
    """

    def __init__(
        self,
        instance: Instance,
        tickets: TicketTable,
        plan: SlotPlan,
        spawn: Callable[[Coroutine[Any, Any, None]], None],
        answered: Callable[[], None],
    ) -> None:
        self._instance = instance
        self._tickets = tickets
        self._spawn = spawn
        self._answered = answered
        self._seats: dict[str, AdviserSlot] = {}
        self._plan = plan

    def ask_all(self, wishes: list[AdviceRequest], now: float) -> None:
        """Ask what is wished for, as far as instances are free to."""
        for wish in wishes:
            advice = self._tickets.advice_for(wish.step)
            if not advice.queued:
                # Once for each question, however often it is put off.
                advice.queued = True
                self._plan.record_request(_kind(wish), wish.cost_s, now)
        self._plan.set_waiting((_kind(w), w.cost_s) for w in wishes)
        for wish in sorted(wishes, key=lambda w: w.order_key):
            self._ask_one(wish, now)

    def _ask_one(self, wish: AdviceRequest, now: float) -> None:
        advice = self._tickets.advice_for(wish.step)
        if advice.in_flight:
            return
        seat = choose_slot(self._current_seats(), wish.cost_s, self._plan, now)
        if seat is None:
            return
        advice.in_flight = True
        seat.busy_until = max(seat.busy_until, now) + wish.cost_s
        self._spawn(self._ask(wish, seat))

    def _current_seats(self) -> list[AdviserSlot]:
        peers = self._instance.replica.peers.values()
        # The records that an instance reads at its start fill its link for seconds,
        # and a question through it is lost in the meantime.
        names = {peer.name for peer in peers if not peer.catching_up}
        names.add(self._instance.settings.name)
        if names != set(self._seats):
            self._seats = {n: self._seats.get(n) or AdviserSlot(n) for n in names}
        return list(self._seats.values())

    async def _ask(self, wish: AdviceRequest, seat: AdviserSlot) -> None:
        began = boot_time()
        names = tuple(name for name, _ in wish.workers)
        expected_s = max(seat.busy_until - began, wish.cost_s)
        advice = self._tickets.advice_for(wish.step)
        asking = asyncio.create_task(
            self._ask_through(seat.name, wish.step.name, names, expected_s + _LOST_S)
        )
        is_late = False
        try:
            done, _ = await asyncio.wait({asking}, timeout=expected_s + _SLACK_S)
            if not done:
                is_late = True
                seat.note_overdue()
                advice.in_flight = advice.queued = False
                self._note_late(wish, seat)
            answer = await asking
        finally:
            asking.cancel()
            if is_late:
                seat.clear_overdue()
            else:
                advice.in_flight = advice.queued = False
        now = boot_time()
        if answer is None:
            seat.note_failure(now)
        else:
            seat.note_answer()
            # Tickets hold from when the adviser gives them.  Of an answer that is
            # late it is not known on which part of its way it was held up.
            advice.record_answer(wish.workers, answer, min(now, began + expected_s))
            queue = wish.step.job.queue.name
            self._instance.meters.time("advice", queue, now - began)
        self._answered()

    def _note_late(self, wish: AdviceRequest, seat: AdviserSlot) -> None:
        """Have a step asked about elsewhere whose answer is late.

        The answer is waited for all the same: what it says of workers holds, and it
        may be the first one.
        """
        log("advice.late", level="warning", peer=seat.name, step=wish.step.name)
        self._instance.meters.count("advice_late", seat.name)
        self._answered()

    async def _ask_through(
        self, instance: str, step: str, workers: tuple[str, ...], timeout_s: float
    ) -> Advice | None:
        if instance == self._instance.settings.name:
            adviser = self._instance.platform.adviser
            if adviser is None:
                return None
            return await adviser.ask(step, workers, timeout_s)
        try:
            reply = await self._instance.bus.ask(
                AskInstance(instance, AdviceAsk(step, workers, timeout_s), timeout_s)
            )
        except PeerUnreachableError as exc:
            log("advice.peer_failed", level="warning", peer=instance, error=exc.detail)
            return None
        if not isinstance(reply, AdviceReply) or not reply.answered:
            return None
        return Advice({t.worker: t.ticket for t in reply.tickets}, reply.valid_s)


def _kind(wish: AdviceRequest) -> str:
    return wish.step.job.queue.address
