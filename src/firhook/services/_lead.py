"""Membership of the group whose member for a cell's partition leads the cell."""

import asyncio

from firhook._peer_messages import AdviceAsk, AdviceReply, WorkerTicket
from firhook.clock import boot_time
from firhook.decide.candidacy import Candidacy
from firhook.errors import FirhookError
from firhook.instance import InstanceService, register_service
from firhook.logs import log
from firhook.platform.store import LEAD_GROUP, LEAD_TOPIC
from firhook.services._events import (
    ConfigApplied,
    JobChanged,
    ServeInstance,
)
from firhook.services._term import Term

#: The partition of the group's topic whose holder leads the cell.
CELL = 0
#: How often a member says that it lives; a tenth of a call each.  A partition
#: that moves is taken over at the next join.
_JOIN_S = 0.1
#: A member that is silent for so long has left, if the store allows so little.
_TTL_S = 1.0
#: The store is told for so long that a member leaves.  One that is told nothing
#: takes it for gone after the time to live, and a process that waits for a store
#: that is away is killed in the middle of its stop.
_LEAVE_S = 0.6
#: How often an instance that is weaker than others asks who is in the group.
_REVIEW_S = 0.8
#: An instance that knows no others this long after its start stands by itself.
_ALONE_S = 2.0
#: The lead gives orders only this part of the time to live after it sent its
#: last good join: its successor has the partition after the whole of it.
_ACT_PART = 0.75
#: Epochs of one term: the group's generation leaves room for this many, so
#: that a term can be begun anew without a change of the group.
EPOCHS_A_GENERATION = 1000


@register_service("lead")
class Lead(InstanceService):
    """Joins the group, and leads the cell while it holds its partition."""

    def wire(self) -> None:
        """Take in what the lead goes by."""
        settings = self.settings
        self._member = f"{settings.name}#{self.instance.incarnation}"
        self._generation = 0
        self._ttl_s = max(_TTL_S, settings.store_limits.least_member_ttl_s)
        self._act_until = float("-inf")
        self._left = False
        self._joined = False
        self._candidacy = Candidacy(settings.strength)
        self._reviewed_at = float("-inf")
        self._began_at = boot_time()
        self.term: Term | None = None
        self.adviser = self.instance.platform.adviser
        self.bus.subscribe(JobChanged, self._on_job)
        self.bus.subscribe(ConfigApplied, self._on_config)

    async def on_started(self) -> None:
        """Begin to join."""
        self.bus.publish(ServeInstance(AdviceAsk, self._serve_advice))
        self.add_future(self._membership())

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

    def may_act(self) -> bool:
        """Return whether this instance certainly leads at this moment."""
        return boot_time() < self._act_until

    def proof_ends_in(self) -> float:
        """Return for how long this instance certainly leads, in seconds."""
        return self._act_until - boot_time()

    def note_proof(self, sent_at: float) -> None:
        """Take note that the store took an append under the term's epoch.

        A successor has its own epoch set before it gives any order; so none had
        begun when the append was sent, whether the group's answers come or not.
        It counts every lease from when it began, so that orders which follow the
        proof within this time are accounted for.
        """
        if self.term is not None and not self.term.lost and not self._left:
            until = sent_at + self._ttl_s * _ACT_PART
            self._act_until = max(self._act_until, until)

    async def _membership(self) -> None:
        while not self.should_stop and not self._left:
            released = False
            try:
                if await self._stands():
                    released = await self._join()
                elif self._joined:
                    await self._step_back("stronger_member")
            except FirhookError as exc:
                log("lead.join_failed", level="debug", error=repr(exc))
            except Exception as exc:
                log("lead.failed", level="error", error=repr(exc))
            if not released:
                await asyncio.sleep(_JOIN_S)

    async def _stands(self) -> bool:
        """Return whether this instance should be in the group.

        Who the others are is read from the cell's records; until it has read
        its own there, it does not know them.
        """
        now = boot_time()
        peers = self.replica.peers
        if self.settings.name not in peers and now - self._began_at < _ALONE_S:
            return False
        if not self._candidacy.stronger(p.strength for p in peers.values()):
            return True
        if now - self._reviewed_at >= _REVIEW_S:
            self._reviewed_at = now
            try:
                holders = await self.store.holders(LEAD_GROUP, LEAD_TOPIC)
            except FirhookError:
                self._candidacy.note_silence()
                raise
            names = {h.member.partition("#")[0] for h in holders}
            strengths = [peers[name].strength for name in names if name in peers]
            self._candidacy.note_members(strengths, now)
        return self._candidacy.stands

    async def _step_back(self, reason: str) -> None:
        """Leave the group, and hand the lead over at once."""
        self._act_until = float("-inf")
        self._joined = False
        self._generation = 0
        await self._end_term(reason)
        try:
            leaving = self.store.leave(LEAD_GROUP, self._member)
            await asyncio.wait_for(leaving, _LEAVE_S)
        except (FirhookError, TimeoutError) as exc:
            log("lead.leave_failed", level="warning", error=repr(exc))

    async def _join(self) -> bool:
        """Join once; return whether the cell was given up.

        Its new holder gets it only at this member's next join, so that one
        follows at once.
        """
        # Nothing is to be led before there is something to lead by.
        if self.instance.config.config is None:
            return False
        sent_at = boot_time()
        share = await self.store.join(
            LEAD_GROUP, self._member, LEAD_TOPIC, self._ttl_s, self._generation
        )
        self._joined = True
        if self._left:
            return False
        holds = CELL in share.partitions
        if holds:
            self._act_until = sent_at + self._ttl_s * _ACT_PART
        else:
            self._act_until = float("-inf")
        released = self.term is not None and (not holds or self.term.lost)
        if released:
            # The partition is given to another member only once this one joins
            # with the new generation; by then the term has ended.
            await self._end_term("lost" if holds else "moved")
        self._generation = share.generation
        if holds and self.term is None:
            await self._begin_term(share.generation)
        return released

    async def _begin_term(self, generation: int) -> None:
        last = self.replica.lead.epoch if self.replica.lead else 0
        epoch = max(generation * EPOCHS_A_GENERATION, last + 1)
        self.term = Term(self, epoch)
        self.term.begin()

    async def _end_term(self, reason: str) -> None:
        term, self.term = self.term, None
        if term is not None:
            log("lead.ended", epoch=term.fence, reason=reason)
            await term.end()

    async def drain(self) -> None:
        """Hand the lead over at once."""
        self._left = True
        await self._step_back("stopping")
