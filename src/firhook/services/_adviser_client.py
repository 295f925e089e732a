"""Asking the adviser, through whichever instance it answers first."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from firhook._peer_messages import AdviceAsk, AdviceReply
from firhook.cell import Advice
from firhook.clock import boot_time
from firhook.decide.seats import AdviserSeat, SeatPlan, choose_seat
from firhook.decide.tickets import AdviceWish, TicketBook
from firhook.errors import PeerUnreachableError
from firhook.instance import Instance
from firhook.logs import log
from firhook.services._events import AskInstance

#: A step whose answer is so much later than it should be is asked about elsewhere.
#: An instance that is gone costs a quote this much of its half second; answers
#: through a peer come within 5 ms of when they should.
_LATE_AFTER_S = 0.25
#: An answer that is so much later does not come any more.
_LOST_AFTER_S = 3.0


class AdviserClient:
    """Carries out what the lead wants to know of the adviser.

    :param tickets: where answers go.
    :param slot_plan: keeps seats at the adviser for fast questions.
    :param spawn: runs work beside the caller.
    :param on_answer: called after each answer, or when none came.
    """

    def __init__(
        self,
        instance: Instance,
        tickets: TicketBook,
        slot_plan: SeatPlan,
        spawn: Callable[[Coroutine[Any, Any, None]], None],
        on_answer: Callable[[], None],
    ) -> None:
        self._instance = instance
        self._tickets = tickets
        self._spawn = spawn
        self._on_answer = on_answer
        self._slots: dict[str, AdviserSeat] = {}
        self._slot_plan = slot_plan

    def ask_all(self, wishes: list[AdviceWish], now: float) -> None:
        """Ask what is wished for, as far as instances are free to."""
        for wish in wishes:
            advice = self._tickets.of(wish.step)
            if not advice.wished:
                # Once for each question, however often it is put off.
                advice.wished = True
                self._slot_plan.note(_question_class(wish), wish.cost_s, now)
        self._slot_plan.note_waiting((_question_class(w), w.cost_s) for w in wishes)
        for wish in sorted(wishes, key=lambda w: w.before):
            self._ask_one(wish, now)

    def _ask_one(self, wish: AdviceWish, now: float) -> None:
        advice = self._tickets.of(wish.step)
        if advice.asking:
            return
        slot = choose_seat(self._current_slots(), wish.cost_s, self._slot_plan, now)
        if slot is None:
            return
        advice.asking = True
        slot.busy_until = max(slot.busy_until, now) + wish.cost_s
        self._spawn(self._ask(wish, slot))

    def _current_slots(self) -> list[AdviserSeat]:
        peers = self._instance.replica.peers.values()
        # The records that an instance reads at its start fill its link for seconds,
        # and a question through it is lost in the meantime.
        names = {peer.name for peer in peers if not peer.reading}
        names.add(self._instance.settings.name)
        if names != set(self._slots):
            self._slots = {n: self._slots.get(n) or AdviserSeat(n) for n in names}
        return list(self._slots.values())

    async def _ask(self, wish: AdviceWish, slot: AdviserSeat) -> None:
        began = boot_time()
        names = tuple(name for name, _ in wish.workers)
        expected_s = max(slot.busy_until - began, wish.cost_s)
        advice = self._tickets.of(wish.step)
        asking = asyncio.create_task(
            self._ask_through(
                slot.name, wish.step.name, names, expected_s + _LOST_AFTER_S
            )
        )
        is_late = False
        try:
            done, _ = await asyncio.wait({asking}, timeout=expected_s + _LATE_AFTER_S)
            if not done:
                is_late = True
                slot.note_late()
                advice.asking = advice.wished = False
                self._note_late(wish, slot)
            answer = await asking
        finally:
            asking.cancel()
            if is_late:
                slot.note_overdue_answer()
            else:
                advice.asking = advice.wished = False
        now = boot_time()
        if answer is None:
            slot.failed(now)
        else:
            slot.answered()
            # Tickets hold from when the adviser gives them.  Of an answer that is
            # late it is not known on which part of its way it was held up.
            advice.take(wish.workers, answer, min(now, began + expected_s))
            queue = wish.step.job.queue.name
            self._instance.meters.time("advice", queue, now - began)
        self._on_answer()

    def _note_late(self, wish: AdviceWish, slot: AdviserSeat) -> None:
        """Have a step asked about elsewhere whose answer is late.

        The answer is waited for all the same: what it says of workers holds, and it
        may be the first one.
        """
        log("advice.late", level="warning", peer=slot.name, step=wish.step.name)
        self._instance.meters.count("advice_late", slot.name)
        self._on_answer()

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


def _question_class(wish: AdviceWish) -> str:
    return wish.step.job.queue.address
