"""The zone lead's side of capacity: loans within the zone, transfers between zones.

The messages call capacity *room*.
"""

import asyncio
from collections.abc import Iterable

import attrs

from firhook._capacity_borrower import CapacityBorrower, instance_name
from firhook._leadership import Leadership
from firhook.decide.grants import guest_holder_of
from firhook.decide.limit_transfers import TeamCapacity, choose_transfer
from firhook.decide.limits import zone_parts
from firhook.errors import FirhookError, LogUnavailableError, NotLeadError
from firhook.events import Append, AskPeer, RecordApplied
from firhook.kernel import Kernel
from firhook.logs import log
from firhook.model import (
    Ack,
    GrantAnswer,
    GrantAsk,
    Holdings,
    HoldingsAsk,
    LimitMoved,
    TeamGrant,
    TeamRoom,
    TeamShort,
    Verdict,
    ZoneShort,
)

_HOLDINGS_TIMEOUT_S = 0.5
#: Announced shortages of another zone are ignored after this time.
_SHORTAGE_TTL_S = 2.5
#: How long to wait for the acknowledgement of another zone's lead.
_ANNOUNCE_TIMEOUT_S = 0.5
#: How long to wait for the record of a transfer.
_TRANSFER_TIMEOUT_S = 2.0


@attrs.define(slots=True, eq=False)
class _UnresolvedTransfer:
    """A transfer with an unknown append outcome.

    :ivar failed_at: when the append failed, in seconds.
    """

    record: LimitMoved
    failed_at: float


def _held_by_team(entries: Iterable[TeamRoom]) -> dict[str, int]:
    """Return the held capacity by team."""
    return {entry.team: entry.held for entry in entries}


class CapacityLender:
    """Maintains the table of grants while this instance leads its zone.

    :ivar borrower: the borrower of this instance, set after construction.
    """

    def __init__(self, kernel: Kernel, leadership: Leadership) -> None:
        self._kernel = kernel
        self._leadership = leadership
        self._grants = kernel.grants
        self._grants.lead_name = kernel.lane
        self._epoch = 0
        self._unresolved: list[_UnresolvedTransfer] = []
        self._received_at: dict[str, float] = {}
        self._zone_shortages: dict[str, tuple[float, ZoneShort]] = {}
        self.borrower: CapacityBorrower | None = None

    def zone_limit(self, team: str) -> int:
        """Return the zone's share of a team's limit."""
        return self._zone_limits(team).get(self._kernel.cfg.zone, 0)

    def _zone_limits(self, team: str) -> dict[str, int]:
        plan = self._kernel.states.config.plan_of(team)
        if plan is None:
            return {}
        moved = self._kernel.states.cell.moved.get(team, ())
        return zone_parts(plan.limit, self._kernel.cfg.zones, moved)

    # -- taking over -----------------------------------------------------

    def roster(self) -> frozenset[str]:
        """Return the instances that may borrow from the next renewal on.

        Joining instances are included once all loans fit the caps, which are
        smaller with more holders.
        """
        remaining, with_joiners = (
            self._remaining_holders(),
            self._holders_with_joiners(),
        )
        if self._grants.is_open and self._grants.fits_caps(
            len(with_joiners), self.zone_limit
        ):
            return with_joiners
        return remaining

    def _remaining_holders(self) -> frozenset[str]:
        now = self._kernel.clock()
        roster = self._leadership.state.roster
        if not self._grants.is_open:
            return frozenset(roster) | {self._kernel.lane}
        remaining = frozenset(h for h in roster if not self._has_left(h, now))
        return remaining | {self._kernel.lane}

    def _holders_with_joiners(self) -> frozenset[str]:
        lead = self._leadership
        return self._remaining_holders() | (lead.joining - lead.leaving)

    def published_holders(self) -> int:
        """Return the number of holders to publish with the roster."""
        return self._grants.cap_holders(self._kernel.clock(), len(self.roster()))

    def _has_left(self, holder: str, now: float) -> bool:
        if holder in self._leadership.leaving:
            return True
        not_asking = not self._grants.asked_recently(holder, now)
        return not_asking and self._grants.has_expired(holder, now)

    async def sync_with_lead(self) -> None:
        """Open the table of grants after winning the lead; close it after a loss.

        While it is open, ask the holders again that have not answered.
        """
        lead = self._leadership
        if not lead.is_lead:
            if self._grants.is_open:
                self._grants.close()
            self._epoch = 0
            return
        if self._epoch != lead.state.epoch and lead.is_held(self._kernel.clock()):
            await self._take_over(lead.state.epoch)
        elif self._grants.is_open:
            await self._poll_silent_holders()

    async def _take_over(self, epoch: int) -> None:
        assert self.borrower is not None
        lead = self._leadership
        self._grants.close()
        roster = frozenset(lead.state.roster) - {self._kernel.lane}
        answers = await self._fetch_holdings(epoch, roster)
        if not lead.is_lead or lead.state.epoch != epoch:
            return
        now = self._kernel.clock()
        holdings: dict[str, dict[str, int]] = {}
        for h in (*answers, self.borrower.all_holdings()):
            holdings[h.instance] = _held_by_team(h.teams)
            if h.guests:
                holdings[guest_holder_of(h.instance)] = _held_by_team(h.guests)
        silent = roster - set(holdings)
        until = lead.holdings_end_at(frozenset(holdings), now)
        holders = len(roster) + 1
        self._grants.open(now, holdings, silent, until, lead.previous_holders, holders)
        self._epoch = epoch
        log(
            "lead.opened",
            epoch=epoch,
            holders=holders,
            silent=sorted(silent),
            silent_s=round(until - now, 1) if silent else 0,
        )

    async def _poll_silent_holders(self) -> None:
        now = self._kernel.clock()
        silent = self._grants.unaccounted(now)
        for h in await self._fetch_holdings(self._epoch, silent):
            now = self._kernel.clock()
            self._grants.note_late_answer(h.instance, _held_by_team(h.teams), now)
            self._record_guests(h.instance, h.guests, now)

    async def _fetch_holdings(
        self, epoch: int, lanes: frozenset[str]
    ) -> list[Holdings]:
        me = self._kernel.lane
        requests = [
            self._kernel.bus.ask(
                AskPeer(
                    instance_name(lane),
                    HoldingsAsk(epoch, me, lane),
                    _HOLDINGS_TIMEOUT_S,
                )
            )
            for lane in sorted(lanes)
        ]
        answers = await asyncio.gather(*requests, return_exceptions=True)
        return [a for a in answers if isinstance(a, Holdings) and a.instance in lanes]

    def _record_guests(
        self, holder: str, guests: tuple[TeamRoom, ...], now: float
    ) -> None:
        self._grants.record_guest_loans(holder, _held_by_team(guests), now)

    # -- lending ---------------------------------------------------------

    async def on_grant_ask(self, ask: GrantAsk) -> GrantAnswer:
        """Handle a request for capacity from an instance of the zone.

        :raises NotLeadError: if this instance is not the lead of that epoch, if
            the request is outdated, or if the roster does not name the sender.
        """
        now = self._kernel.clock()
        lead = self._leadership
        if (
            not lead.is_lead
            or ask.epoch != lead.state.epoch
            or not self._grants.is_open
        ):
            raise NotLeadError(f"this instance does not lead epoch {ask.epoch}")
        if ask.echo >= 0:
            lead.record_promise(ask.instance, ask.echo)
        if not lead.may_lend(now):
            # Return only the stamp, so that the sender can promise again.  With an
            # error all promises would stay expired until the log is back.
            return GrantAnswer(ask.epoch, now, self._grants.ttl_s, False)
        if self._grants.is_outdated(ask.instance, ask.seq, now):
            raise NotLeadError(f"request {ask.seq} arrived after a later one")
        if ask.instance != self._kernel.lane:
            self._record_guests(ask.instance, ask.guests, now)
        if ask.leaving:
            self._grants.remove_holder(ask.instance)
            lead.leaving.add(ask.instance)
            lead.wake.set()
            return GrantAnswer(ask.epoch, now, self._grants.ttl_s, False)
        if ask.instance not in lead.state.roster:
            lead.joining.add(ask.instance)
            lead.wake.set()
            if lead.is_held(now):
                raise NotLeadError("the roster does not name this instance yet")
            # During an outage of the log no record can add a newly started instance
            # to the roster.  Without capacity it would refuse all requests.
            self._grants.add_guest(ask.instance)
        else:
            self._grants.remove_guest(ask.instance)
        # From now on loans are limited to the smaller cap that includes the joining
        # instances, so that all loans come to fit it.  The larger cap of fewer
        # holders applies only when the log has the smaller roster.
        self._grants.holders = max(
            len(lead.state.roster), len(self._holders_with_joiners())
        )
        grants = (self._grant(ask.instance, demand, now) for demand in ask.teams)
        changed = tuple(grant for grant in grants if grant is not None)
        return GrantAnswer(ask.epoch, now, self._grants.ttl_s, True, changed)

    def _grant(self, holder: str, demand: TeamRoom, now: float) -> TeamGrant | None:
        """Lend a team's capacity; return the grant if it differs from the request."""
        wanted, held = max(demand.wanted, 0), max(demand.held, 0)
        limit = self.zone_limit(demand.team)
        granted = self._grants.grant(demand.team, holder, wanted, held, limit, now)
        return None if granted == demand.wanted else TeamGrant(demand.team, granted)

    # -- transfers between zones -----------------------------------------

    def on_record(self, event: RecordApplied) -> None:
        """Record transfers to this zone, and resolve own transfers read back."""
        body = event.envelope.body
        if not isinstance(body, LimitMoved):
            return
        if event.verdict is Verdict.APPLIED and body.receiver == self._kernel.cfg.zone:
            self._received_at[body.team] = self._kernel.clock()
        if event.envelope.lane == self._kernel.lane:
            for item in [u for u in self._unresolved if u.record == body][:1]:
                self._resolve_transfer(item)

    def settle_transfers_before(self, sent_at: float) -> None:
        """Resolve transfers that failed before a record that was read back.

        Readers ignore a record that lands after a later one of its lane, so such a
        transfer can no longer take effect.

        :param sent_at: when the record was sent, in seconds.
        """
        for item in [u for u in self._unresolved if u.failed_at < sent_at]:
            self._resolve_transfer(item)

    def _resolve_transfer(self, item: _UnresolvedTransfer) -> None:
        self._unresolved.remove(item)
        self._release_transfer(item.record)

    def _release_transfer(self, transfer: LimitMoved) -> None:
        if transfer.epoch != self._epoch:
            # The table was closed since; it counts only transfers of its epoch.
            return
        remaining = self._grants.in_transfer.get(transfer.team, 0) - transfer.amount
        self._grants.in_transfer[transfer.team] = max(remaining, 0)

    async def transfer_spare(self) -> None:
        """Transfer spare capacity to zones whose teams have a shortage."""
        now = self._kernel.clock()
        if not self._leadership.is_held(now) or not self._grants.is_open:
            return
        transfers = []
        own = self._grants.unmet_demand(now)
        if own:
            await self._announce_shortages(own)
        now = self._kernel.clock()
        if not self._leadership.is_held(now):
            return
        for team, short in self._shortages(own, now).items():
            transfer = self._choose_transfer(team, short, now)
            if transfer is not None:
                transfers.append(self._append_transfer(transfer))
        await asyncio.gather(*transfers)

    def _choose_transfer(
        self, team: str, short: dict[str, int], now: float
    ) -> LimitMoved | None:
        cfg = self._kernel.cfg
        plan = self._kernel.states.config.plan_of(team)
        if plan is None:
            return None
        view = TeamCapacity(
            zone_parts(plan.limit, cfg.zones)[cfg.zone],
            self._grants.transferable(team, self.zone_limit(team), now),
            short,
            len(cfg.zones),
            self._received_at.get(team, float("-inf")),
        )
        chosen = choose_transfer(cfg.zone, view, now)
        if chosen is None:
            return None
        zone, amount = chosen
        epoch = self._leadership.state.epoch
        transfer = LimitMoved(team, cfg.zone, zone, amount, epoch, plan.limit)
        # Deducted from now on, whatever the outcome of the append.
        in_transfer = self._grants.in_transfer
        in_transfer[team] = in_transfer.get(team, 0) + amount
        return transfer

    async def on_zone_short(self, message: ZoneShort) -> Ack:
        """Record the shortages that another zone announces."""
        if message.zone in self._kernel.cfg.zones:
            self._zone_shortages[message.zone] = (self._kernel.clock(), message)
        return Ack()

    def _shortages(self, own: dict[str, int], now: float) -> dict[str, dict[str, int]]:
        """Return the shortages by team and zone, for teams short in another zone."""
        result: dict[str, dict[str, int]] = {}
        for zone, (received_at, message) in self._zone_shortages.items():
            if now - received_at > _SHORTAGE_TTL_S:
                continue
            for short in message.teams:
                result.setdefault(short.team, {})[zone] = short.amount
        for team, by_zone in result.items():
            by_zone[self._kernel.cfg.zone] = own.get(team, 0)
        return result

    async def _announce_shortages(self, own: dict[str, int]) -> None:
        message = ZoneShort(
            self._kernel.cfg.zone, tuple(TeamShort(t, n) for t, n in own.items())
        )
        requests = [
            self._kernel.bus.ask(
                AskPeer(instance_name(lead.instance), message, _ANNOUNCE_TIMEOUT_S)
            )
            for zone, lead in self._kernel.states.cell.leads.items()
            if zone != self._kernel.cfg.zone and lead.instance and not lead.released
        ]
        # A lead that misses the announcement transfers nothing; it is sent again.
        await asyncio.gather(*requests, return_exceptions=True)

    async def _append_transfer(self, transfer: LimitMoved) -> None:
        try:
            applied = await self._kernel.bus.ask(
                Append("cell", transfer, deadline_s=_TRANSFER_TIMEOUT_S)
            )
        except LogUnavailableError:
            # The record certainly was not and never will be recorded.
            self._release_transfer(transfer)
        except FirhookError:
            self._unresolved.append(_UnresolvedTransfer(transfer, self._kernel.clock()))
        else:
            self._release_transfer(transfer)
            log(
                "limit.moved",
                team=transfer.team,
                receiver=transfer.receiver,
                amount=transfer.amount,
                verdict=applied.verdict.value,
            )
