"""This instance's view of its zone's lead, and its own hold on it."""

import asyncio
import random

import attrs

from firhook.decide.lead import (
    LeadObservation,
    LeadTimes,
    PreviousLead,
    holdings_end_at,
    may_claim,
    may_lend,
)
from firhook.decide.lease import MAX_CLOCK_DRIFT, HeldLease, ObservedLease
from firhook.events import Append, Lead, LogAge
from firhook.kernel import Kernel
from firhook.logs import log
from firhook.model import LeadClaimed, LeadReleased, LeadRenewed, Verdict
from firhook.state import LeadState

#: Instances of a zone that see the lead lapse together spread their claims
#: over this time, so that most read the winner's claim and send none.
_CLAIM_SPREAD_S = 0.2
#: A poll of the log may be answered this much later than asked.
_POLL_SLACK_S = 1.0


class Leadership:
    """Claims, renews and hands back the lead of this instance's zone.

    Nothing here is believed by having been told so: every use of the lead
    compares the clock at that moment with the lease.  A process that was
    paused finds the lease lapsed whichever coroutine runs first.

    :param kernel: for settings, states, clock and bus.
    """

    def __init__(self, kernel: Kernel) -> None:
        cfg = kernel.cfg
        self._kernel = kernel
        self._cfg = cfg
        self._held = HeldLease()
        self._hold = HeldLease()
        self._outage = HeldLease()
        self._seen = ObservedLease()
        self._seen_offset: int | None = None
        self._before: PreviousLead | None = None
        self._offered: frozenset[str] = frozenset()
        self.previous_holders = 1
        self._promises: dict[str, float] = {}
        self._fenced = 0
        self.promised_at = float("-inf")
        self.may_promise = True
        self.joining: set[str] = set()
        self.leaving: set[str] = set()
        self.wake = asyncio.Event()
        self.times = LeadTimes(
            cfg.lead_lease_s,
            cfg.margin_s,
            cfg.grant_ttl_s,
            cfg.default_deadline_s,
            cfg.lend_outage_s,
        )

    @property
    def promised_until(self) -> float:
        """When the last promise not to claim has ended for certain."""
        return self.promised_at + self.times.ttl_s * (1 + MAX_CLOCK_DRIFT)

    @property
    def state(self) -> LeadState:
        """The zone's lead as the log has it."""
        return self._kernel.states.cell.leads[self._cfg.zone]

    @property
    def is_lead(self) -> bool:
        """Whether the log names this run of this instance as lead."""
        lead = self.state
        return (
            lead.instance == self._kernel.lane
            and not lead.released
            and lead.epoch >= self._fenced
        )

    def is_held(self, now: float) -> bool:
        """Return whether the lease by the log is held for certain."""
        return self.is_lead and self._held.is_held(now)

    def may_lend(self, now: float) -> bool:
        """Return whether room may be lent at this moment."""
        if not self.is_lead:
            return False
        others = (self._offered | set(self.state.roster)) - {self._kernel.lane}
        promises = [self._promises.get(o, float("-inf")) for o in others]
        return may_lend(self._held.expires_at, self._outage.expires_at, promises, now)

    def view(self, now: float) -> Lead:
        """Return the lead for other roles."""
        lead = self.state
        if not self.is_lead:
            return Lead(lead.epoch, lead.instance, False, float("-inf"), float("-inf"))
        return Lead(
            lead.epoch,
            lead.instance,
            self.is_held(now),
            self._hold.expires_at - now,
            self._held.expires_at - now,
        )

    def record_promise(self, holder: str, stamp: float) -> None:
        """Note a promise that a holder gave after this lead made a stamp."""
        until = stamp + self.times.ttl_s
        self._promises[holder] = max(self._promises.get(holder, until), until)

    def fence(self, epoch: int) -> None:
        """Follow no lead of an older epoch from now on, this one included."""
        self._fenced = max(self._fenced, epoch)
        if self.state.epoch < epoch:
            self.void()

    def void(self) -> None:
        """Forget everything believed held until the log confirms it again."""
        self._held.invalidate()
        self._hold.invalidate()
        self._outage.invalidate()

    def on_loop_stall(self) -> None:
        """Void the lease by the log after a stall of the event loop."""
        self._held.invalidate()

    def observe_record(self, now: float) -> None:
        """Note when the lead's latest record was read.

        A lead that was renewed before this instance had read anything counts
        as renewed when it was first seen here, also after a snapshot.
        """
        if self.state.offset != self._seen_offset:
            self._seen_offset = self.state.offset
            self._seen.read_at = now

    def silent_until(self, answered: frozenset[str], now: float) -> float:
        """Return when what silent holders have has certainly ended."""
        if self._before is None:
            return now + self.times.outage_s
        seen = self._before
        return holdings_end_at(
            attrs.evolve(seen, answered=answered),
            self.times,
            max(now, self.promised_until),
        )

    async def renew_or_claim(self, roster: frozenset[str], holders: int) -> None:
        """Renew or claim the lead if it is time to.

        :param roster: instances that may be lent to from now on, by this lead.
        :param holders: the number of holders by which each loan is capped.
        """
        now = self._kernel.clock()
        self.observe_record(now)
        lead = self.state
        if self.is_lead:
            if self._kernel.stopping:
                await self.release(frozenset(lead.roster))
            else:
                await self._renew(lead, roster, holders)
            return
        if self._kernel.stopping:
            return
        age = await self._kernel.bus.ask(LogAge("cell"))
        lapsed = self._seen.has_expired(now, self.times.lease_s, self.times.margin_s)
        # In an outage of the log for everybody the last sight of it is older
        # than a lease once the lead's has lapsed, and nobody claims in vain.
        max_age_s = min(self._cfg.log_poll_s + _POLL_SLACK_S, self.times.lease_s)
        # A lead that the log has lost, but this instance has not, must be
        # replaced although it still answers, or nobody places the zone's tasks.
        self.may_promise = not (lapsed and age <= max_age_s)
        sight = LeadObservation(lead.released, lapsed, age, self.promised_at)
        if not may_claim(sight, self.times, now, max_age_s):
            return
        await asyncio.sleep(random.uniform(0, _CLAIM_SPREAD_S))
        # The claim is for the lead as judged before the wait.  Had anyone
        # claimed or renewed meanwhile, it must lose rather than depose them.
        await self._claim(lead)

    async def _claim(self, lead: LeadState) -> None:
        me = self._kernel.lane
        self._before = PreviousLead(
            lead.released,
            frozenset(lead.roster),
            me,
            frozenset(),
            self._seen.read_at,
        )
        body = LeadClaimed(self._cfg.zone, lead.epoch + 1, me, lead.offset)
        self.previous_holders = lead.holders
        self._promises.clear()
        self._offered = frozenset(lead.roster) | {me}
        if await self._confirmed(body):
            log("lead.claimed", epoch=body.epoch, holder=me)

    async def _renew(
        self, lead: LeadState, roster: frozenset[str], holders: int
    ) -> None:
        self._offered |= roster
        names = tuple(sorted(roster))
        body = LeadRenewed(self._cfg.zone, lead.epoch, lead.instance, names, holders)
        if await self._confirmed(body):
            # Records of a lane that are read back settle all earlier ones, so
            # no older roster can come into force any more.
            self._offered = roster
            self.joining -= roster
            self.leaving &= roster

    async def _confirmed(self, body: LeadClaimed | LeadRenewed) -> bool:
        sent_at = self._kernel.clock()
        if not await self._append(body):
            self.void()
            return False
        self._held.renew(sent_at, self.times.lease_s)
        self._hold.renew(sent_at, self._cfg.hold_s)
        self._outage.renew(sent_at, self.times.outage_s)
        return True

    async def release(self, roster: frozenset[str]) -> None:
        """Hand the lead back by record, so that a peer takes it at once.

        :param roster: the instances that may still hold room.
        """
        lead = self.state
        self.void()
        names = tuple(sorted(roster))
        await self._append(
            LeadReleased(self._cfg.zone, lead.epoch, lead.instance, names)
        )

    async def _append(self, body: LeadClaimed | LeadRenewed | LeadReleased) -> bool:
        query = Append("cell", body, deadline_s=self.times.lease_s / 2, urgent=True)
        applied = await self._kernel.bus.ask(query)
        return applied.verdict is Verdict.APPLIED
