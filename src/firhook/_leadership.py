"""This instance's view of its zone's lead, and its own leadership."""

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

#: Instances of a zone notice an expired lead at the same time.  They delay their
#: claims randomly up to this time, so that most read the winner's claim first and
#: send none.
_CLAIM_SPREAD_S = 0.2
#: A poll of the log may return this much later than requested.
_POLL_SLACK_S = 1.0


class Leadership:
    """Claims, renews and releases the lead of this instance's zone.

    No result of an earlier check is cached: every use of the lead compares the
    current time with the lease.  After a pause of the process the lease is
    therefore expired for whichever coroutine runs first.

    :param kernel: provides settings, states, clock and bus.
    :ivar previous_holders: number of holders that the previous lead published.
    :ivar promised_at: when the stamp of this instance's last promise was read.
    :ivar may_promise: whether requests for capacity may include a promise not to
        claim the lead.
    :ivar joining: instances that asked for capacity and are not on the roster.
    :ivar leaving: instances on the roster that stopped gracefully.
    :ivar wake: set when the roster should be renewed at once.
    """

    def __init__(self, kernel: Kernel) -> None:
        cfg = kernel.cfg
        self._kernel = kernel
        self._cfg = cfg
        # The lease by the log; others claim the lead only after it has expired.
        self._log_lease = HeldLease()
        # Until it expires, the lead keeps renewing tasks without the log.
        self._hold_lease = HeldLease()
        # Until it expires, the lead lends without the log if all promise not to claim.
        self._outage_lease = HeldLease()
        self._seen_lease = ObservedLease()
        self._seen_offset: int | None = None
        self._previous_lead: PreviousLead | None = None
        self._possible_roster: frozenset[str] = frozenset()
        self.previous_holders = 1
        self._promises: dict[str, float] = {}
        self._fencing_epoch = 0
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
        """When the last promise not to claim the lead has certainly expired."""
        return self.promised_at + self.times.ttl_s * (1 + MAX_CLOCK_DRIFT)

    @property
    def state(self) -> LeadState:
        """The zone's lead according to the log."""
        return self._kernel.states.cell.leads[self._cfg.zone]

    @property
    def is_lead(self) -> bool:
        """Whether the log names this incarnation of this instance as lead."""
        lead = self.state
        return (
            lead.instance == self._kernel.lane
            and not lead.released
            and lead.epoch >= self._fencing_epoch
        )

    def is_held(self, now: float) -> bool:
        """Return whether the lease by the log is certainly held."""
        return self.is_lead and self._log_lease.is_held(now)

    def may_lend(self, now: float) -> bool:
        """Return whether capacity may be lent at this moment."""
        if not self.is_lead:
            return False
        others = (self._possible_roster | set(self.state.roster)) - {self._kernel.lane}
        promises = [self._promises.get(o, float("-inf")) for o in others]
        return may_lend(
            self._log_lease.expires_at, self._outage_lease.expires_at, promises, now
        )

    def view(self, now: float) -> Lead:
        """Return the zone's lead as an event for other roles."""
        lead = self.state
        if not self.is_lead:
            return Lead(lead.epoch, lead.instance, False, float("-inf"), float("-inf"))
        return Lead(
            lead.epoch,
            lead.instance,
            self.is_held(now),
            self._hold_lease.expires_at - now,
            self._log_lease.expires_at - now,
        )

    def record_promise(self, holder: str, stamp: float) -> None:
        """Record a holder's promise not to claim the lead.

        :param holder: lane of the holder.
        :param stamp: the stamp of this lead that the holder sent back.  The
            promise was made after it, so its lifetime is counted from there.
        """
        until = stamp + self.times.ttl_s
        self._promises[holder] = max(self._promises.get(holder, until), until)

    def fence(self, epoch: int) -> None:
        """Reject leads of older epochs from now on, including this instance."""
        self._fencing_epoch = max(self._fencing_epoch, epoch)
        if self.state.epoch < epoch:
            self.invalidate()

    def invalidate(self) -> None:
        """Drop all leases until the log confirms the lead again."""
        self._log_lease.invalidate()
        self._hold_lease.invalidate()
        self._outage_lease.invalidate()

    def on_loop_stall(self) -> None:
        """Invalidate the lease by the log after a stall of the event loop."""
        self._log_lease.invalidate()

    def observe_record(self, now: float) -> None:
        """Record when the latest record of the lead was read.

        A renewal from before this instance read the log counts from when this
        instance first sees it, also after loading a snapshot.
        """
        if self.state.offset != self._seen_offset:
            self._seen_offset = self.state.offset
            self._seen_lease.read_at = now

    def holdings_end_at(self, answered: frozenset[str], now: float) -> float:
        """Return when the holdings of unreachable holders have certainly ended.

        :param answered: holders of the previous lead that have answered.
        """
        if self._previous_lead is None:
            return now + self.times.outage_s
        previous_lead = self._previous_lead
        return holdings_end_at(
            attrs.evolve(previous_lead, answered=answered),
            self.times,
            max(now, self.promised_until),
        )

    async def renew_or_claim(self, roster: frozenset[str], holders: int) -> None:
        """Renew the lead if this instance holds it, or claim it if it is free.

        :param roster: instances to which this lead may lend from now on.
        :param holders: number of holders that determines the cap of each loan.
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
        log_age_s = await self._kernel.bus.ask(LogAge("cell"))
        expired = self._seen_lease.has_expired(
            now, self.times.lease_s, self.times.margin_s
        )
        # By the time the lead expires in a complete outage of the log, the end of
        # the log was last seen more than a lease ago.  The maximum is at most a
        # lease, so that nobody claims in vain.
        max_age_s = min(self._cfg.log_poll_s + _POLL_SLACK_S, self.times.lease_s)
        # A lead that this instance can reach but that cannot reach the log must be
        # replaced, or nobody places the zone's tasks.
        self.may_promise = not (expired and log_age_s <= max_age_s)
        observation = LeadObservation(
            lead.released, expired, log_age_s, self.promised_at
        )
        if not may_claim(observation, self.times, now, max_age_s):
            return
        await asyncio.sleep(random.uniform(0, _CLAIM_SPREAD_S))
        # The claim refers to the lead as seen before the wait.  If another instance
        # claimed or renewed it meanwhile, the claim must fail.
        await self._claim(lead)

    async def _claim(self, lead: LeadState) -> None:
        me = self._kernel.lane
        self._previous_lead = PreviousLead(
            lead.released,
            frozenset(lead.roster),
            me,
            frozenset(),
            self._seen_lease.read_at,
        )
        body = LeadClaimed(self._cfg.zone, lead.epoch + 1, me, lead.offset)
        self.previous_holders = lead.holders
        self._promises.clear()
        self._possible_roster = frozenset(lead.roster) | {me}
        if await self._append_and_extend(body):
            log("lead.claimed", epoch=body.epoch, holder=me)

    async def _renew(
        self, lead: LeadState, roster: frozenset[str], holders: int
    ) -> None:
        self._possible_roster |= roster
        names = tuple(sorted(roster))
        body = LeadRenewed(self._cfg.zone, lead.epoch, lead.instance, names, holders)
        if await self._append_and_extend(body):
            # A record that is read back settles all earlier records of its lane, so
            # no older roster can take effect any more.
            self._possible_roster = roster
            self.joining -= roster
            self.leaving &= roster

    async def _append_and_extend(self, body: LeadClaimed | LeadRenewed) -> bool:
        sent_at = self._kernel.clock()
        if not await self._append(body):
            self.invalidate()
            return False
        self._log_lease.renew(sent_at, self.times.lease_s)
        self._hold_lease.renew(sent_at, self._cfg.hold_s)
        self._outage_lease.renew(sent_at, self.times.outage_s)
        return True

    async def release(self, roster: frozenset[str]) -> None:
        """Release the lead by a record, so that a peer can claim it at once.

        :param roster: the instances that may still hold capacity.
        """
        lead = self.state
        self.invalidate()
        names = tuple(sorted(roster))
        await self._append(
            LeadReleased(self._cfg.zone, lead.epoch, lead.instance, names)
        )

    async def _append(self, body: LeadClaimed | LeadRenewed | LeadReleased) -> bool:
        query = Append("cell", body, deadline_s=self.times.lease_s / 2, urgent=True)
        applied = await self._kernel.bus.ask(query)
        return applied.verdict is Verdict.APPLIED
