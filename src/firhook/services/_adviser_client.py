"""The lead's requests to the adviser, sent through the instance that is fastest."""

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

#: If an answer is overdue by more than this, the request is repeated through
#: another instance.  A short request has half a second, of which an unreachable
#: instance costs this much.  Answers through a peer arrive within 5 ms of the
#: expected time.
_OVERDUE_AFTER_S = 0.25
#: An answer that is overdue by more than this is considered lost.
_LOST_AFTER_S = 3.0


class AdviserClient:
    """Sends the lead's requests to the adviser.

    :param tickets: stores the answers.
    :param slot_plan: reserves adviser slots for fast requests.
    :param spawn: starts a coroutine as a background task.
    :param on_answer: called after each answer, and when an answer is overdue or lost.
    """

    def __init__(
        self,
        instance: Instance,
        tickets: TicketTable,
        slot_plan: SlotPlan,
        spawn: Callable[[Coroutine[Any, Any, None]], None],
        on_answer: Callable[[], None],
    ) -> None:
        self._instance = instance
        self._tickets = tickets
        self._spawn = spawn
        self._on_answer = on_answer
        self._slots: dict[str, AdviserSlot] = {}
        self._slot_plan = slot_plan

    def ask_all(self, requests: list[AdviceRequest], now: float) -> None:
        """Send requests as long as adviser slots are free, the most urgent first."""
        for request in requests:
            advice = self._tickets.advice_for(request.step)
            if not advice.queued:
                # Counted once per request, however often it is deferred.
                advice.queued = True
                self._slot_plan.record_request(
                    _request_class(request), request.cost_s, now
                )
        self._slot_plan.set_waiting((_request_class(r), r.cost_s) for r in requests)
        for request in sorted(requests, key=lambda r: r.order_key):
            self._ask_one(request, now)

    def _ask_one(self, request: AdviceRequest, now: float) -> None:
        advice = self._tickets.advice_for(request.step)
        if advice.in_flight:
            return
        slot = choose_slot(self._current_slots(), request.cost_s, self._slot_plan, now)
        if slot is None:
            return
        advice.in_flight = True
        slot.busy_until = max(slot.busy_until, now) + request.cost_s
        self._spawn(self._ask(request, slot))

    def _current_slots(self) -> list[AdviserSlot]:
        peers = self._instance.replica.peers.values()
        # The records that a starting instance reads fill its network link for
        # seconds.  Requests through it would be lost meanwhile.
        names = {peer.name for peer in peers if not peer.catching_up}
        names.add(self._instance.settings.name)
        if names != set(self._slots):
            self._slots = {n: self._slots.get(n) or AdviserSlot(n) for n in names}
        return list(self._slots.values())

    async def _ask(self, request: AdviceRequest, slot: AdviserSlot) -> None:
        began = boot_time()
        names = tuple(name for name, _ in request.workers)
        expected_s = max(slot.busy_until - began, request.cost_s)
        advice = self._tickets.advice_for(request.step)
        ask_task = asyncio.create_task(
            self._ask_through(
                slot.name, request.step.name, names, expected_s + _LOST_AFTER_S
            )
        )
        is_overdue = False
        try:
            done, _ = await asyncio.wait(
                {ask_task}, timeout=expected_s + _OVERDUE_AFTER_S
            )
            if not done:
                is_overdue = True
                slot.note_overdue()
                advice.in_flight = advice.queued = False
                self._on_overdue(request, slot)
            answer = await ask_task
        finally:
            ask_task.cancel()
            if is_overdue:
                slot.clear_overdue()
            else:
                advice.in_flight = advice.queued = False
        now = boot_time()
        if answer is None:
            slot.note_failure(now)
        else:
            slot.note_answer()
            # Tickets are valid from the moment at which the adviser issues them.
            # It is unknown where an overdue answer was delayed, so that its tickets
            # count from the expected time of the answer.
            advice.record_answer(request.workers, answer, min(now, began + expected_s))
            queue = request.step.job.queue.name
            self._instance.meters.record_duration("advice", queue, now - began)
        self._on_answer()

    def _on_overdue(self, request: AdviceRequest, slot: AdviserSlot) -> None:
        """Allow an overdue request to be repeated through another instance.

        The overdue answer is still awaited: it is valid, and it may arrive first.
        """
        log("advice.late", level="warning", peer=slot.name, step=request.step.name)
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


def _request_class(request: AdviceRequest) -> str:
    return request.step.job.queue.address
