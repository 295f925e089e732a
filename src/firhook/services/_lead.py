"""Stands for the lead of the cell, leads it, and hands it over."""

import asyncio
import contextlib
import math

import attrs

from firhook._peer_messages import (
    AdviceAsk,
    AdviceReply,
    LeadAlive,
    LeadOffer,
    LeadOfferReply,
    PassedOn,
    StrongerHere,
    WorkerTicket,
)
from firhook.cell import LeadRecord
from firhook.cell.records import LEAD_KEY, encode_record, state_version
from firhook.clock import boot_time
from firhook.decide.election import (
    Election,
    line_of_succession,
    much_stronger,
)
from firhook.decide.schedule import place_round
from firhook.decide.seats import SeatPlan
from firhook.errors import FirhookError, LogMovedError, PeerUnreachableError
from firhook.instance import InstanceService, StopBegun, register_service
from firhook.logs import log
from firhook.platform.store import CELL_TOPIC, KeyedRecord, encode_keyed_record
from firhook.services._events import (
    LEAD_PARTITIONS,
    AskInstance,
    ConfigApplied,
    Following,
    HeardLead,
    JobChanged,
    LeadSeen,
    LeadSpoke,
    PartitionRebuilt,
    ReadToEnd,
    ServeInstance,
    StoreTime,
    TellInstance,
    TellInstances,
)
from firhook.services._members import candidates
from firhook.services._term import PROOF_S, Term
from firhook.tasks import log_failure

#: How often an instance looks whether the lead is its own business.
_TICK_S = 0.1
#: How often the lead tells the others that it leads.
_SPEAK_S = 0.1
#: The longest that the claim of the lead may take at the store.
_CLAIM_S = 1.0
#: An offered lead still writes until it is told that its offer is taken, and a
#: claim holds only if nothing was written since the log was read.
_CLAIM_TRIES = 6
#: A new lead that has not begun after this leaves the cell to another one.  Its
#: four calls to a store that answers 60 times slower than its 4 ms take 1.5 s.
_TAKEOVER_S = 3.0
#: One that reads the jobs for it over a thin link may take so long: others that
#: could lead have to read them too.
_READING_S = 12.0
#: An instance whose takeover failed leaves the lead to others for so long.
_FAILED_REST_S = 6.0
#: An instance that was replaced does not stand before its successor is heard.
_REPLACED_REST_S = 0.5
#: The lead offers itself to a successor if the store took none of its appends for
#: so long.  It proves itself every 0.2 s.
_UNPROVEN_S = 0.4
#: Between offers while nobody takes the lead.
_OFFER_EVERY_S = 0.5
#: Instances that are offered the lead at most, and how long each may take to answer.
_OFFERS = 4
_OFFER_S = 0.2
#: A stopping lead waits for a store that takes longer than this to be faster again,
#: for this part of the time that the platform gives it to stop.
_SLOW_STORE_S = 0.05
_WAIT_PART = 0.5
#: A lead whose offer was taken writes nothing for so long.
_HANDOVER_S = 0.5
#: The lead moves to a stronger instance only after it led, and the stronger one
#: was ready, for so long: at a start of all, the strong ones are not the first.
_SETTLED_S = 2.0
#: How often a stronger instance says that it is there.
_STRONGER_EVERY_S = 1.0


@register_service("lead")
class Lead(InstanceService):
    """Stands for the lead when it is due, and leads the cell.

    :cvar place: decides which waiting tasks start, and where.
    :cvar seat_plan: makes what keeps seats at the adviser for fast questions.
    """

    place = staticmethod(place_round)
    seat_plan = SeatPlan

    def wire(self) -> None:
        """Take in what the lead goes by."""
        self._election = Election(self.settings.name)
        self._act_until = float("-inf")
        self._left = False
        self._offered = False
        self._offering: asyncio.Task[bool] | None = None
        self._offered_at = float("-inf")
        self._stronger_waits = False
        self._spoke_at = float("-inf")
        self._began_at = float("-inf")
        self._stop_began_at = float("inf")
        self._woken = asyncio.Event()
        self.term: Term | None = None
        self.adviser = self.instance.platform.adviser
        self.bus.subscribe(JobChanged, self._on_job)
        self.bus.subscribe(ConfigApplied, self._on_config)
        self.bus.subscribe(LeadSeen, self._on_seen)
        self.bus.subscribe(PartitionRebuilt, self._on_rebuilt)
        self.bus.subscribe(StopBegun, self._on_stop_begun)
        self.bus.answer(HeardLead, self._heard_lead)

    async def on_started(self) -> None:
        """Begin to listen for the lead."""
        self.bus.publish(ServeInstance(AdviceAsk, self._serve_advice))
        self.bus.publish(ServeInstance(LeadAlive, self._on_alive))
        self.bus.publish(ServeInstance(LeadOffer, self._on_offer))
        self.bus.publish(ServeInstance(StrongerHere, self._on_stronger))
        self.add_future(self._run())

    def _on_job(self, event: JobChanged) -> None:
        if self.term is not None:
            self.term.on_job(event.job_id)

    def _on_config(self, event: ConfigApplied) -> None:
        if self.term is not None:
            self.term.on_config(event.config)

    async def _serve_advice(self, msg: AdviceAsk) -> AdviceReply:
        if self.adviser is None:
            return AdviceReply(False)
        advice = await self.adviser.ask(msg.step, msg.workers, msg.timeout_s)
        if advice is None:
            return AdviceReply(False)
        tickets = tuple(WorkerTicket(w, t) for w, t in advice.tickets.items())
        return AdviceReply(True, tickets, advice.valid_s)

    # What proves the lead.

    def may_act(self) -> bool:
        """Return whether this instance leads, as far as it can know now."""
        return boot_time() < self._act_until

    def note_proof(self, sent_at: float) -> None:
        """Take note that the store took an append under the term's epoch.

        A successor has its own epoch set before it gives any order; so none had
        begun when the append was sent.  It counts every lease from when it began,
        so that orders which follow the proof within this time are accounted for.
        """
        if self.term is not None and not self.term.lost and not self._left:
            self._act_until = max(self._act_until, sent_at + PROOF_S)

    def unproven_for(self) -> float:
        """Return how long ago the last append was sent that the store took."""
        return boot_time() - (self._act_until - PROOF_S)

    # Who leads.

    def _on_seen(self, event: LeadSeen) -> None:
        self._election.read(event.epoch, event.version, boot_time())
        self._yield_to(event.epoch)

    def _on_rebuilt(self, event: PartitionRebuilt) -> None:
        if event.partition == LEAD_PARTITIONS[0]:
            self._election.note_listening(boot_time())

    def _on_alive(self, msg: LeadAlive) -> PassedOn:
        if msg.relay_to:
            message = attrs.evolve(msg, relay_to=())
            self.bus.publish(TellInstances(message, msg.relay_to))
        self._election.hear(msg.epoch, msg.name, msg.newest, boot_time())
        self._yield_to(msg.epoch)
        return PassedOn()

    def _yield_to(self, epoch: int) -> None:
        """Give up at once if another lead has begun."""
        if self.term is not None and epoch > self.term.fence:
            self.term.give_up("replaced", by_epoch=epoch)
            self._woken.set()

    async def _heard_lead(self, query: HeardLead) -> str:
        name = self._election.lead
        if name == self.settings.name or self._election.quiet(boot_time()):
            return ""
        return name

    async def _ready(self) -> bool:
        """Return whether this instance could lead.

        Nothing is to be led before there is something to lead by; and who the
        others are is read from the cell's records.
        """
        if self.instance.stopping or self.instance.config.config is None:
            return False
        if self.settings.name not in self.replica.peers:
            return False
        return await self.bus.ask(Following())

    async def _run(self) -> None:
        while not self.should_stop and not self._left:
            try:
                await self._step()
            except FirhookError as exc:
                log("lead.step_failed", level="warning", error=repr(exc))
            except Exception as exc:
                log("lead.failed", level="error", error=repr(exc))
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(_TICK_S):
                    await self._woken.wait()
            self._woken.clear()

    async def _step(self) -> None:
        now = boot_time()
        self._learn_of_leads()
        self._election.note_ready(await self._ready(), now)
        if self.term is not None:
            if self.term.lost:
                self._election.rest(now + _REPLACED_REST_S)
                await self._end_term(self.term.lost_by)
            else:
                self._keep(self.term, now)
            return
        offered, self._offered = self._offered, False
        if offered or self._election.stands(candidates(self.replica), now):
            await self._stand(offered)
        else:
            self._offer_strength(now)

    def _learn_of_leads(self) -> None:
        last = self.replica.lead
        if last is not None:
            self._election.know(last.epoch, last.name)

    # Taking the lead.

    async def _stand(self, offered: bool) -> None:
        """Claim the lead, and begin a term if the claim holds."""
        began = boot_time()
        log("lead.standing", offered=offered, last=self._election.lead)
        epoch = None
        for _ in range(_CLAIM_TRIES if offered else 1):
            epoch = await self._claim(offered)
            if epoch is not None:
                break
        if epoch is None or self.term is not None or self._left:
            return
        took_ms = round((boot_time() - began) * 1000, 1)
        log("lead.claimed", epoch=epoch, took_ms=took_ms)
        self._began_at = boot_time()
        self._stronger_waits = False
        self.term = Term(self, epoch)
        self.term.begin()
        self.speak()

    async def _claim(self, offered: bool) -> int | None:
        """Write that this instance leads; return the epoch if it holds.

        Of several that stand at once one gets the epoch: the append holds only if
        nothing was written since the log was read.  What was read also tells
        whether the lead is alive after all, and only its messages got lost; and
        whether another one has the epoch, under which two would start each task.
        """
        partition, known = LEAD_PARTITIONS[0], self._election.epoch
        end = await self.bus.ask(ReadToEnd(partition))
        self._learn_of_leads()
        if self._election.epoch > known:
            log("lead.claimed_by_another", epoch=self._election.epoch)
            return None
        if not offered and not self._election.silent(boot_time()):
            log("lead.alive_in_store", epoch=self._election.epoch)
            return None
        epoch = self._election.epoch + 1
        name, incarnation = self.settings.name, self.instance.incarnation
        mine = LeadRecord(name, incarnation, epoch, state_version(epoch, 0))
        record = KeyedRecord(LEAD_KEY, encode_record(mine))
        try:
            await self.store.append(
                CELL_TOPIC,
                partition,
                [encode_keyed_record(record)],
                expected_end=end,
                timeout_s=_CLAIM_S,
            )
        except LogMovedError:
            return None
        return epoch

    async def _on_offer(self, msg: LeadOffer) -> LeadOfferReply:
        """Take the cell over, if the store serves this instance.

        An offer may have waited behind a cut while another instance took the lead;
        taken up then, it would move the lead for nothing.
        """
        if msg.epoch < self._election.epoch or self.term is not None:
            return LeadOfferReply(False)
        if not await self._ready():
            return LeadOfferReply(False)
        if await self.bus.ask(StoreTime()) == math.inf:
            log("lead.offer_refused", epoch=msg.epoch, reason="store_out_of_reach")
            return LeadOfferReply(False)
        self._offered = True
        self._woken.set()
        return LeadOfferReply(True)

    # Keeping the lead, and handing it over.

    def _keep(self, term: Term, now: float) -> None:
        """Say that this instance leads, and see whether another one should."""
        if now - self._spoke_at >= _SPEAK_S:
            self.speak()
        if not term.begun:
            if self._stronger_waits:
                # It has all that a lead goes by, or reads it sooner.
                self._election.rest(now + _FAILED_REST_S)
                term.give_up("stronger_instance", doing=term.doing)
            elif now - self._began_at > _takeover_s(term):
                self._election.rest(now + _FAILED_REST_S)
                term.give_up("takeover_slow", doing=term.doing)
            return
        if self.instance.stopping:
            self._offer("stopping", now)
        elif self.unproven_for() > _UNPROVEN_S:
            self._offer("unproven", now)
        elif self._stronger_waits and now - self._began_at > _SETTLED_S:
            self._stronger_waits = False
            self._offer("stronger_instance", now)

    def speak(self) -> None:
        """Tell the others that this instance leads."""
        term, now = self.term, boot_time()
        if term is None or term.lost:
            return
        self._spoke_at = now
        name = self.settings.name
        self._election.hear(term.fence, name, term.newest_version, now)
        message = LeadAlive(term.fence, name, term.newest_version)
        self.bus.publish(LeadSpoke(message))

    def _offer(self, reason: str, now: float) -> None:
        """Offer the lead to others, unless that is under way or was tried lately."""
        under_way = self._offering is not None and not self._offering.done()
        if under_way or now - self._offered_at < _OFFER_EVERY_S:
            return
        self._offered_at = now
        self._offering = asyncio.create_task(self._offer_around(reason))
        self._offering.add_done_callback(log_failure("lead.offer_failed"))

    async def _offer_around(self, reason: str) -> bool:
        """Offer the lead to the next in line; return whether one takes it."""
        store_s = await self.bus.ask(StoreTime())
        if reason == "unproven" and store_s < math.inf:
            # The store answers here; another lead would fare no better.
            return False
        if reason == "stopping" and store_s > _SLOW_STORE_S:
            stops_for_s = boot_time() - self._stop_began_at
            if stops_for_s < self.settings.bounds.stop_grace_s * _WAIT_PART:
                # A takeover is six calls in turn.  While the store is 36 times
                # slower than usual nothing would start for a second.
                return False
        line = line_of_succession(candidates(self.replica), self.settings.name)
        names = [c.name for c, _ in line if c.name != self.settings.name]
        for name in names[:_OFFERS]:
            term = self.term
            if term is None or term.lost:
                return True
            try:
                reply = await self.bus.ask(
                    AskInstance(name, LeadOffer(term.fence), _OFFER_S)
                )
            except PeerUnreachableError as exc:
                log("lead.offer_unanswered", to=name, error=exc.detail)
                continue
            if isinstance(reply, LeadOfferReply) and reply.taken:
                log("lead.offered", to=name, epoch=term.fence, reason=reason)
                term.pause(_HANDOVER_S)
                return True
        return False

    def _offer_strength(self, now: float) -> None:
        """Tell a lead that is much weaker that this instance is there."""
        lead = self.replica.peers.get(self._election.lead)
        if lead is None or not much_stronger(self.settings.strength, lead.strength):
            return
        if self._election.ready_for(now) < _SETTLED_S:
            return
        if now - self._spoke_at >= _STRONGER_EVERY_S:
            self._spoke_at = now
            message = StrongerHere(self.settings.name)
            self.bus.publish(TellInstance(lead.name, message))

    async def _on_stronger(self, msg: StrongerHere) -> None:
        self._stronger_waits = self.term is not None

    def _on_stop_begun(self, event: StopBegun) -> None:
        self._stop_began_at = boot_time()
        if self.term is not None:
            self._offer("stopping", boot_time())

    async def _end_term(self, reason: str) -> None:
        term, self.term = self.term, None
        self._act_until = float("-inf")
        if term is not None:
            log("lead.ended", epoch=term.fence, reason=reason)
            await term.end()

    async def drain(self) -> None:
        """Give no more orders; successors were asked since the stop began."""
        self._left = True
        await self._end_term("stopping")


def _takeover_s(term: Term) -> float:
    """Return how long a takeover may take that does what this one does now."""
    return _READING_S if term.doing == "reading" else _TAKEOVER_S
