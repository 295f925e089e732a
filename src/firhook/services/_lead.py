"""Campaigns for the lead of the cell, holds it and hands it over."""

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
    LearnedHints,
    PassedOn,
    StrongerHere,
    WorkerTicket,
)
from firhook.cell import LeadRecord
from firhook.cell.job_table import PROOF_S
from firhook.cell.records import (
    CLAIM_KEY,
    LEAD_KEY,
    claim_epoch,
    encode_record,
    state_version,
)
from firhook.clock import boot_time
from firhook.decide.adviser_slots import SlotPlan
from firhook.decide.election import (
    Election,
    is_much_stronger,
    succession_order,
)
from firhook.decide.schedule import place_round
from firhook.errors import FirhookError, LogMovedError, PeerUnreachableError
from firhook.instance import InstanceService, StopBegun, register_service
from firhook.logs import log
from firhook.platform.store import CELL_TOPIC, KeyedRecord, encode_keyed_record
from firhook.services._events import (
    LEAD_PARTITIONS,
    AnnounceLead,
    AskInstance,
    ConfigApplied,
    DrainedZonesChanged,
    IsFollowingStore,
    JobChanged,
    LastLead,
    LeadHeard,
    LeadRecordSeen,
    LiveLead,
    PartitionRebuilt,
    ReadToEnd,
    RegisterMessageHandler,
    SendToInstance,
    SendToInstances,
    StoreLatency,
)
from firhook.services._hints import HintStore
from firhook.services._members import candidates
from firhook.services._term import Term
from firhook.services._waiting_queries import WaitingQueries
from firhook.services._worker_queries import WorkerQueries
from firhook.tasks import log_failure

#: The interval at which an instance checks whether it must act on the lead.
_TICK_S = 0.1
#: The interval at which the lead announces itself to the other instances.
_ANNOUNCE_INTERVAL_S = 0.1
#: The time limit for the append that claims the lead.
_CLAIM_TIMEOUT_S = 1.0
#: An instance that accepted an offer may have to repeat its claim: the old lead
#: writes until it learns that its offer was accepted, and a claim fails if
#: anything was written since the log was read.
_CLAIM_ATTEMPTS = 6
#: A new lead steps down if its takeover lasts longer than this.  The takeover's
#: four calls take 1.5 s at a store that is 60 times slower than its usual 4 ms.
_TAKEOVER_LIMIT_S = 3.0
#: The limit while the takeover reads the jobs, which is slow over a link of low
#: bandwidth.  It is longer because other candidates must read the jobs as well.
_READING_LIMIT_S = 12.0
#: An instance whose takeover failed is not a candidate for this time.
_FAILED_TAKEOVER_PAUSE_S = 6.0
#: An instance whose term was lost is not a candidate for this time, in which it
#: receives its successor's announcements.
_SUPERSEDED_PAUSE_S = 0.5
#: The lead offers the cell to a successor if the store accepted none of its appends
#: for this time.  It appends a proof every 0.2 s.
_UNPROVEN_OFFER_S = 0.4
#: The interval between offers while no instance accepts.
_OFFER_INTERVAL_S = 0.5
#: The maximum number of instances asked per offer, and the timeout of each.
_MAX_OFFERS = 4
_OFFER_TIMEOUT_S = 0.2
#: A stopping lead delays its offer while a call to the store takes longer than
#: ``_SLOW_STORE_S``, for at most this fraction of the time it has to stop.
_SLOW_STORE_S = 0.05
_STOP_WAIT_FRACTION = 0.5
#: A lead stops writing for this time after its offer was accepted, so that the
#: successor's claim succeeds.
_HANDOVER_PAUSE_S = 0.5
#: The lead moves to a stronger instance only after it has led, and the stronger one
#: has been ready, for this time: when all instances start together, the strong
#: ones are not ready first.
_MIN_SETTLED_S = 2.0
#: The interval at which a stronger instance notifies the lead.
_STRONGER_INTERVAL_S = 1.0


@register_service("lead")
class Lead(InstanceService):
    """Campaigns for the lead when it is due, and leads the cell.

    :cvar place: decides which waiting tasks start, and on which workers.
    :cvar slot_plan: the class that reserves adviser slots for fast requests.
    """

    place = staticmethod(place_round)
    slot_plan = SlotPlan

    def register_handlers(self) -> None:
        """Initialize the state and register the handlers of queries and events."""
        self._election = Election(self.settings.name)
        self.hints = HintStore(self.meters, lambda: self._election.epoch)
        self._act_until = float("-inf")
        self._drained = False
        self._offer_accepted = False
        self._offer_task: asyncio.Task[bool] | None = None
        self._last_offer_at = float("-inf")
        self._stronger_peer_ready = False
        self._announced_at = float("-inf")
        self._term_began_at = float("-inf")
        self._stop_began_at = float("inf")
        self._wake = asyncio.Event()
        self.term: Term | None = None
        self.adviser = self.instance.platform.adviser
        self.bus.subscribe(JobChanged, self._on_job)
        self.bus.subscribe(ConfigApplied, self._on_config)
        self.bus.subscribe(DrainedZonesChanged, self._on_drained_zones)
        self.bus.subscribe(LeadRecordSeen, self._on_lead_seen)
        self.bus.subscribe(PartitionRebuilt, self._on_rebuilt)
        self.bus.subscribe(StopBegun, self._on_stop_begun)
        self.bus.register_handler(LiveLead, self._current_lead)
        self.bus.register_handler(LastLead, self._last_lead)
        self._waiting_queries = WaitingQueries(self, lambda: self.term, self.may_act)
        self._worker_queries = WorkerQueries(self, lambda: self.term)

    async def on_started(self) -> None:
        """Serve messages of other instances, and start the main loop."""
        self.bus.publish(RegisterMessageHandler(AdviceAsk, self._serve_advice))
        self.bus.publish(RegisterMessageHandler(LeadAlive, self._on_alive))
        self.bus.publish(RegisterMessageHandler(LeadOffer, self._on_offer))
        self.bus.publish(RegisterMessageHandler(StrongerHere, self._on_stronger_peer))
        self.bus.publish(RegisterMessageHandler(LearnedHints, self.hints.keep))
        self._waiting_queries.register_handlers()
        self._worker_queries.register_handlers()
        self.add_future(self._run())

    def _on_job(self, event: JobChanged) -> None:
        if self.term is not None:
            self.term.on_job(event.job_id)

    def _on_config(self, event: ConfigApplied) -> None:
        if self.term is not None:
            self.term.on_config(event.config)

    def _on_drained_zones(self, event: DrainedZonesChanged) -> None:
        if self.term is not None:
            self.term.on_drained_zones()

    async def _serve_advice(self, msg: AdviceAsk) -> AdviceReply:
        if self.adviser is None:
            return AdviceReply(False)
        advice = await self.adviser.ask(msg.step, msg.workers, msg.timeout_s)
        if advice is None:
            return AdviceReply(False)
        tickets = tuple(WorkerTicket(w, t) for w, t in advice.tickets.items())
        return AdviceReply(True, tickets, advice.valid_s)

    # Proof of leadership.

    def may_act(self) -> bool:
        """Return whether this instance may act as the lead now.

        It may for a limited time after the last append that the store accepted.
        """
        return boot_time() < self._act_until

    def note_proof(self, sent_at: float) -> None:
        """Record that the store accepted an append under the term's epoch.

        A successor sets its own epoch at the store before it sends any order, so
        no successor had begun when the append was sent.  A successor counts the
        leases of its predecessors from its own start plus ``PROOF_S``, which covers
        orders sent within ``PROOF_S`` after the proof.

        :param sent_at: when the append was sent, on the boot clock.
        """
        if self.term is not None and not self.term.lost and not self._drained:
            self._act_until = max(self._act_until, sent_at + PROOF_S)

    def seconds_since_proof(self) -> float:
        """Return the seconds since the last accepted append was sent."""
        return boot_time() - (self._act_until - PROOF_S)

    # Tracking the lead.

    def _on_lead_seen(self, event: LeadRecordSeen) -> None:
        self._election.observe_record(event.epoch, event.version, boot_time())
        self._step_down_if_superseded(event.epoch)

    def _on_rebuilt(self, event: PartitionRebuilt) -> None:
        if event.partition == LEAD_PARTITIONS[0]:
            self._election.mark_log_read(boot_time())

    def _on_alive(self, msg: LeadAlive) -> PassedOn:
        if msg.relay_to:
            message = attrs.evolve(msg, relay_to=())
            self.bus.publish(SendToInstances(message, msg.relay_to))
        self._election.record_heartbeat(msg.epoch, msg.name, msg.newest, boot_time())
        self.bus.publish(LeadHeard(msg.epoch, msg.load))
        self._step_down_if_superseded(msg.epoch, msg.name)
        return PassedOn()

    def _step_down_if_superseded(self, epoch: int, name: str = "") -> None:
        """Step down at once if a lead with a higher epoch, or with this one, exists.

        The store and the workers cannot tell two leads with one epoch apart.  Claims
        of this build cannot share one; those of instances that are not updated yet
        can.

        :param name: the name of the lead with that epoch; empty if it is not known.
        """
        term = self.term
        if term is None or epoch < term.fence:
            return
        if epoch > term.fence:
            term.step_down("replaced", by_epoch=epoch)
        elif name and name != self.settings.name:
            term.step_down("epoch_shared", other=name)
        else:
            return
        self._wake.set()

    async def _current_lead(self, query: LiveLead) -> str:
        name = self._election.lead
        if name == self.settings.name or self._election.lead_unresponsive(boot_time()):
            return ""
        return name

    async def _last_lead(self, query: LastLead) -> tuple[str, int]:
        return self._election.lead, self._election.epoch

    async def _can_lead(self) -> bool:
        """Return whether this instance could lead.

        It needs a configuration, its own entry among the registered instances, and
        a replica that follows the cell's records.
        """
        if self.instance.stopping or self.instance.config.config is None:
            return False
        if self.settings.name not in self.replica.peers:
            return False
        return await self.bus.ask(IsFollowingStore())

    async def _run(self) -> None:
        while not self.should_stop and not self._drained:
            try:
                await self._step()
            except FirhookError as exc:
                log("lead.step_failed", level="warning", error=repr(exc))
            except Exception as exc:
                log("lead.failed", level="error", error=repr(exc))
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(_TICK_S):
                    await self._wake.wait()
            self._wake.clear()

    async def _step(self) -> None:
        now = boot_time()
        self._update_known_lead()
        self._election.set_ready(await self._can_lead(), now)
        if self.term is not None:
            if self.term.lost:
                self._election.back_off(now + _SUPERSEDED_PAUSE_S)
                await self._end_term(self.term.lost_reason)
            else:
                self._maintain_lead(self.term, now)
            return
        offered, self._offer_accepted = self._offer_accepted, False
        if offered or self._election.should_campaign(candidates(self.replica), now):
            await self._campaign(offered)
        else:
            self._announce_strength(now)

    def _update_known_lead(self) -> None:
        last = self.replica.lead
        if last is not None:
            self._election.learn_lead(last.epoch, last.name)
            is_own = last.name == self.settings.name
            if is_own and last.incarnation != self.instance.incarnation:
                self._election.note_predecessor(last.epoch)

    # Claiming the lead.

    async def _campaign(self, offered: bool) -> None:
        """Claim the lead, and begin a term if the claim succeeds.

        :param offered: whether the present lead offered the cell to this instance.
        """
        began = boot_time()
        log("lead.standing", offered=offered, last=self._election.lead)
        epoch = None
        for _ in range(_CLAIM_ATTEMPTS if offered else 1):
            epoch = await self._claim(offered)
            if epoch is not None:
                break
        if epoch is None or self.term is not None or self._drained:
            return
        took_ms = round((boot_time() - began) * 1000, 1)
        log("lead.claimed", epoch=epoch, took_ms=took_ms)
        self._term_began_at = boot_time()
        self._stronger_peer_ready = False
        self.term = Term(self, epoch)
        self.term.begin()
        self.announce()

    async def _claim(self, offered: bool) -> int | None:
        """Append a claim of the lead; return its epoch, or ``None`` if it failed.

        Of several concurrent candidates only one gets an epoch: the append succeeds
        only if nothing was written since the log was read, and the epoch is that of
        the offset (:func:`claim_epoch`).  Two leads with one epoch would both start
        each task.  Reading the log first shows whether the lead is alive and only its
        messages were lost, and whether another candidate has claimed the cell.
        """
        partition, known = LEAD_PARTITIONS[0], self._election.epoch
        end = await self.bus.ask(ReadToEnd(partition))
        self._update_known_lead()
        if self._election.epoch > known:
            log("lead.claimed_by_another", epoch=self._election.epoch)
            return None
        campaigns = self._election.should_campaign(
            candidates(self.replica), boot_time()
        )
        if not offered and not campaigns:
            log("lead.alive_in_store", epoch=self._election.epoch)
            return None
        epoch = claim_epoch(end)
        name, incarnation = self.settings.name, self.instance.incarnation
        claim = LeadRecord(name, incarnation, epoch, state_version(epoch, 0))
        # Earlier builds know only the second key.
        records = [
            encode_keyed_record(KeyedRecord(key, encode_record(claim)))
            for key in (CLAIM_KEY, LEAD_KEY)
        ]
        log(
            "lead.claiming",
            epoch=epoch,
            at=end,
            known_epoch=self._election.epoch,
            known_lead=self._election.lead,
        )
        try:
            await self.store.append(
                CELL_TOPIC,
                partition,
                records,
                expected_end=end,
                timeout_s=_CLAIM_TIMEOUT_S,
            )
        except LogMovedError:
            return None
        self._election.learn_lead(epoch, name)
        return epoch

    async def _on_offer(self, msg: LeadOffer) -> LeadOfferReply:
        """Accept an offer of the lead if this instance can lead.

        An offer of an older epoch is refused: it was delayed by a network
        partition while another instance took the lead, and accepting it would move
        the lead for no reason.  While the store does not serve this instance, every
        offer is refused.
        """
        if msg.epoch < self._election.epoch or self.term is not None:
            return LeadOfferReply(False)
        if not await self._can_lead():
            return LeadOfferReply(False)
        if await self.bus.ask(StoreLatency()) == math.inf:
            log("lead.offer_refused", epoch=msg.epoch, reason="store_out_of_reach")
            return LeadOfferReply(False)
        self._offer_accepted = True
        self._wake.set()
        return LeadOfferReply(True)

    # Keeping the lead and handing it over.

    def _maintain_lead(self, term: Term, now: float) -> None:
        """Announce the lead, and step down or offer it if another should lead."""
        if now - self._announced_at >= _ANNOUNCE_INTERVAL_S:
            self.announce()
        if not term.taken_over:
            if self._stronger_peer_ready:
                # The stronger instance has the jobs, or reads them sooner.
                self._election.back_off(now + _FAILED_TAKEOVER_PAUSE_S)
                term.step_down("stronger_instance", doing=term.takeover_stage)
            elif now - self._term_began_at > _takeover_limit_s(term):
                self._election.back_off(now + _FAILED_TAKEOVER_PAUSE_S)
                term.step_down("takeover_slow", doing=term.takeover_stage)
            return
        if self.instance.stopping:
            self._start_offer("stopping", now)
        elif self.seconds_since_proof() > _UNPROVEN_OFFER_S:
            self._start_offer("unproven", now)
        elif self._stronger_peer_ready and now - self._term_began_at > _MIN_SETTLED_S:
            self._stronger_peer_ready = False
            self._start_offer("stronger_instance", now)

    def announce(self) -> None:
        """Broadcast that this instance leads."""
        term, now = self.term, boot_time()
        if term is None or term.lost:
            return
        self._announced_at = now
        name = self.settings.name
        self._election.record_heartbeat(term.fence, name, term.newest_version, now)
        load = term.next_load_table(now) if self.may_act() else b""
        self.bus.publish(LeadHeard(term.fence, load))
        message = LeadAlive(term.fence, name, term.newest_version, load=load)
        self.bus.publish(AnnounceLead(message))

    def _start_offer(self, reason: str, now: float) -> None:
        """Start an offer of the lead, unless one is running or was made recently."""
        in_progress = self._offer_task is not None and not self._offer_task.done()
        if in_progress or now - self._last_offer_at < _OFFER_INTERVAL_S:
            return
        self._last_offer_at = now
        self._offer_task = asyncio.create_task(self._offer_lead(reason))
        self._offer_task.add_done_callback(log_failure("lead.offer_failed"))

    async def _offer_lead(self, reason: str) -> bool:
        """Offer the lead to candidates in turn; return whether one accepted it.

        An offer also counts as accepted if the term ended meanwhile.
        """
        store_latency_s = await self.bus.ask(StoreLatency())
        if reason == "unproven" and store_latency_s < math.inf:
            # The store answers this instance, so another lead would do no better.
            return False
        if reason == "stopping" and store_latency_s > _SLOW_STORE_S:
            stopping_for_s = boot_time() - self._stop_began_at
            if stopping_for_s < self.settings.bounds.stop_grace_s * _STOP_WAIT_FRACTION:
                # A takeover makes six calls one after the other.  With a store
                # that is 36 times slower than usual, no task starts for a second.
                return False
        succession = succession_order(candidates(self.replica), self.settings.name)
        names = [c.name for c, _ in succession if c.name != self.settings.name]
        for name in names[:_MAX_OFFERS]:
            term = self.term
            if term is None or term.lost:
                return True
            term.hints.send_to(name)
            try:
                reply = await self.bus.ask(
                    AskInstance(name, LeadOffer(term.fence), _OFFER_TIMEOUT_S)
                )
            except PeerUnreachableError as exc:
                log("lead.offer_unanswered", to=name, error=exc.detail)
                continue
            if isinstance(reply, LeadOfferReply) and reply.taken:
                log("lead.offered", to=name, epoch=term.fence, reason=reason)
                term.pause_writes(_HANDOVER_PAUSE_S)
                return True
        return False

    def _announce_strength(self, now: float) -> None:
        """Notify a much weaker lead that this instance is ready."""
        lead = self.replica.peers.get(self._election.lead)
        if lead is None or not is_much_stronger(self.settings.strength, lead.strength):
            return
        if self._election.ready_duration_s(now) < _MIN_SETTLED_S:
            return
        if now - self._announced_at >= _STRONGER_INTERVAL_S:
            self._announced_at = now
            message = StrongerHere(self.settings.name)
            self.bus.publish(SendToInstance(lead.name, message))

    async def _on_stronger_peer(self, msg: StrongerHere) -> None:
        self._stronger_peer_ready = self.term is not None

    def _on_stop_begun(self, event: StopBegun) -> None:
        self._stop_began_at = boot_time()
        if self.term is not None:
            self._start_offer("stopping", boot_time())

    async def _end_term(self, reason: str) -> None:
        term, self.term = self.term, None
        self._act_until = float("-inf")
        if term is not None:
            log("lead.ended", epoch=term.fence, reason=reason)
            self.meters.count("terms_ended", reason)
            await term.end()

    async def drain(self) -> None:
        """End the term and send no more orders.

        The lead has been offered to successors since the stop began.
        """
        self._drained = True
        await self._end_term("stopping")


def _takeover_limit_s(term: Term) -> float:
    """Return the time limit of a takeover in its present stage, in seconds."""
    return _READING_LIMIT_S if term.takeover_stage == "reading" else _TAKEOVER_LIMIT_S
