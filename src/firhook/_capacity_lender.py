"""The zone lead's side of room: lends within the zone, moves between zones."""

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

#: How long a new lead waits for what an instance holds, in seconds.
_HOLDINGS_S = 0.5
#: What another zone said that it is short of is acted on for so long.
_SHORT_LASTS_S = 2.5
#: How long to wait until another lead has heard it, in seconds.
_SHORT_WAIT_S = 0.5
#: How long the outcome of a transfer is waited for, in seconds.
_MOVE_S = 2.0


@attrs.define(slots=True, eq=False)
class _Unsettled:
    """A transfer whose outcome the log has not told."""

    move: LimitMoved
    failed_at: float


def _held(rooms: Iterable[TeamRoom]) -> dict[str, int]:
    """Return how much is held, by team."""
    return {room.team: room.held for room in rooms}


class CapacityLender:
    """Keeps the book while this instance leads its zone.

    :param borrower: this instance's own room.
    """

    def __init__(self, kernel: Kernel, leadership: Leadership) -> None:
        self._kernel = kernel
        self._leadership = leadership
        self._book = kernel.grants
        self._book.lead_name = kernel.lane
        self._epoch = 0
        self._unsettled: list[_Unsettled] = []
        self._given_at: dict[str, float] = {}
        self._shorts: dict[str, tuple[float, ZoneShort]] = {}
        self.borrower: CapacityBorrower | None = None

    def zone_limit(self, team: str) -> int:
        """Return the zone's part of a team's limit."""
        return self._zone_limits(team).get(self._kernel.cfg.zone, 0)

    def _zone_limits(self, team: str) -> dict[str, int]:
        plan = self._kernel.states.config.plan_of(team)
        if plan is None:
            return {}
        moved = self._kernel.states.cell.moved.get(team, ())
        return zone_parts(plan.limit, self._kernel.cfg.zones, moved)

    # -- taking over -----------------------------------------------------

    def roster(self) -> frozenset[str]:
        """Return the instances to lend to from the next renewal on."""
        stays, grown = self._stays(), self._grown()
        if self._book.is_open and self._book.fits_caps(len(grown), self.zone_limit):
            return grown
        return stays

    def _stays(self) -> frozenset[str]:
        now = self._kernel.clock()
        roster = self._leadership.state.roster
        if not self._book.is_open:
            return frozenset(roster) | {self._kernel.lane}
        stays = frozenset(h for h in roster if not self._gone(h, now))
        return stays | {self._kernel.lane}

    def _grown(self) -> frozenset[str]:
        lead = self._leadership
        return self._stays() | (lead.joining - lead.leaving)

    def published_holders(self) -> int:
        """Return the number of holders to publish with the roster."""
        return self._book.cap_holders(self._kernel.clock(), len(self.roster()))

    def _gone(self, holder: str, now: float) -> bool:
        if holder in self._leadership.leaving:
            return True
        unheard = not self._book.asked_recently(holder, now)
        return unheard and self._book.has_expired(holder, now)

    async def sync_with_lead(self) -> None:
        """Open the book after a won claim; close it after a loss."""
        lead = self._leadership
        if not lead.is_lead:
            if self._book.is_open:
                self._book.close()
            self._epoch = 0
            return
        if self._epoch != lead.state.epoch and lead.is_held(self._kernel.clock()):
            await self._take_over(lead.state.epoch)
        elif self._book.is_open:
            await self._ask_silent()

    async def _take_over(self, epoch: int) -> None:
        assert self.borrower is not None
        lead = self._leadership
        self._book.close()
        roster = frozenset(lead.state.roster) - {self._kernel.lane}
        answers = await self._holdings(epoch, roster)
        if not lead.is_lead or lead.state.epoch != epoch:
            return
        now = self._kernel.clock()
        known: dict[str, dict[str, int]] = {}
        for h in (*answers, self.borrower.all_holdings()):
            known[h.instance] = _held(h.teams)
            if h.guests:
                known[guest_holder_of(h.instance)] = _held(h.guests)
        silent = roster - set(known)
        until = lead.silent_until(frozenset(known), now)
        holders = len(roster) + 1
        self._book.open(now, known, silent, until, lead.previous_holders, holders)
        self._epoch = epoch
        log(
            "lead.opened",
            epoch=epoch,
            holders=holders,
            silent=sorted(silent),
            silent_s=round(until - now, 1) if silent else 0,
        )

    async def _ask_silent(self) -> None:
        now = self._kernel.clock()
        silent = self._book.unaccounted(now)
        for h in await self._holdings(self._epoch, silent):
            now = self._kernel.clock()
            self._book.note_late_answer(h.instance, _held(h.teams), now)
            self._note_guests(h.instance, h.guests, now)

    async def _holdings(self, epoch: int, lanes: frozenset[str]) -> list[Holdings]:
        me = self._kernel.lane
        asks = [
            self._kernel.bus.ask(
                AskPeer(instance_name(lane), HoldingsAsk(epoch, me, lane), _HOLDINGS_S)
            )
            for lane in sorted(lanes)
        ]
        answers = await asyncio.gather(*asks, return_exceptions=True)
        return [a for a in answers if isinstance(a, Holdings) and a.instance in lanes]

    def _note_guests(
        self, holder: str, guests: tuple[TeamRoom, ...], now: float
    ) -> None:
        self._book.record_guest_loans(holder, _held(guests), now)

    # -- lending ---------------------------------------------------------

    async def on_grant_ask(self, ask: GrantAsk) -> GrantAnswer:
        """Answer an instance of the zone that wants room."""
        now = self._kernel.clock()
        lead = self._leadership
        if not lead.is_lead or ask.epoch != lead.state.epoch or not self._book.is_open:
            raise NotLeadError(f"epoch {ask.epoch} is not led from here")
        if ask.echo >= 0:
            lead.record_promise(ask.instance, ask.echo)
        if not lead.may_lend(now):
            # The stamp alone goes back, so that the asker can promise anew;
            # an error would leave every promise lapsed until the log returns.
            return GrantAnswer(ask.epoch, now, self._book.ttl_s, False)
        if self._book.is_outdated(ask.instance, ask.seq, now):
            raise NotLeadError(f"ask {ask.seq} came after a later one")
        if ask.instance != self._kernel.lane:
            self._note_guests(ask.instance, ask.guests, now)
        if ask.leaving:
            self._book.remove_holder(ask.instance)
            lead.leaving.add(ask.instance)
            lead.wake.set()
            return GrantAnswer(ask.epoch, now, self._book.ttl_s, False)
        if ask.instance not in lead.state.roster:
            lead.joining.add(ask.instance)
            lead.wake.set()
            if lead.is_held(now):
                raise NotLeadError("the roster does not name the asker yet")
            # The log is out, so no record can name an instance that started
            # since; without room it would refuse all that it is sent.
            self._book.add_guest(ask.instance)
        else:
            self._book.remove_guest(ask.instance)
        # Loans are held to the smaller cap of all who want to join from now on,
        # so that they come to fit it; the larger cap of fewer holders is used
        # only once the log has the smaller roster.
        self._book.holders = max(len(lead.state.roster), len(self._grown()))
        grants = (self._grant(ask.instance, room, now) for room in ask.teams)
        changed = tuple(grant for grant in grants if grant is not None)
        return GrantAnswer(ask.epoch, now, self._book.ttl_s, True, changed)

    def _grant(self, holder: str, room: TeamRoom, now: float) -> TeamGrant | None:
        """Lend what a holder wants; return the grant if it is something else."""
        wanted, held = max(room.wanted, 0), max(room.held, 0)
        part = self.zone_limit(room.team)
        granted = self._book.grant(room.team, holder, wanted, held, part, now)
        return None if granted == room.wanted else TeamGrant(room.team, granted)

    # -- transfers between zones -----------------------------------------

    def on_record(self, event: RecordApplied) -> None:
        """Note transfers to this zone, and the fate of own ones."""
        body = event.envelope.body
        if not isinstance(body, LimitMoved):
            return
        if event.verdict is Verdict.APPLIED and body.receiver == self._kernel.cfg.zone:
            self._given_at[body.team] = self._kernel.clock()
        if event.envelope.lane == self._kernel.lane:
            for item in [u for u in self._unsettled if u.move == body][:1]:
                self._settle(item)

    def settle_moves_before(self, sent_at: float) -> None:
        """Settle transfers given up before a record that was read back.

        Readers pass over a record that lands after a later one of its lane,
        so such a transfer can no longer take effect.
        """
        for item in [u for u in self._unsettled if u.failed_at < sent_at]:
            self._settle(item)

    def _settle(self, item: _Unsettled) -> None:
        self._unsettled.remove(item)
        self._release(item.move)

    def _release(self, move: LimitMoved) -> None:
        if move.epoch != self._epoch:
            # The book was closed since, and counts only this epoch's.
            return
        left = self._book.in_transfer.get(move.team, 0) - move.amount
        self._book.in_transfer[move.team] = max(left, 0)

    async def transfer_spare(self) -> None:
        """Give spare room to zones where teams are short of it."""
        now = self._kernel.clock()
        if not self._leadership.is_held(now) or not self._book.is_open:
            return
        moves = []
        own = self._book.unmet_demand(now)
        if own:
            await self._tell_short(own)
        now = self._kernel.clock()
        if not self._leadership.is_held(now):
            return
        for team, short in self._short(own, now).items():
            move = self._choose(team, short, now)
            if move is not None:
                moves.append(self._move(move))
        await asyncio.gather(*moves)

    def _choose(
        self, team: str, short: dict[str, int], now: float
    ) -> LimitMoved | None:
        cfg = self._kernel.cfg
        plan = self._kernel.states.config.plan_of(team)
        if plan is None:
            return None
        view = TeamCapacity(
            zone_parts(plan.limit, cfg.zones)[cfg.zone],
            self._book.transferable(team, self.zone_limit(team), now),
            short,
            len(cfg.zones),
            self._given_at.get(team, float("-inf")),
        )
        chosen = choose_transfer(cfg.zone, view, now)
        if chosen is None:
            return None
        zone, amount = chosen
        epoch = self._leadership.state.epoch
        move = LimitMoved(team, cfg.zone, zone, amount, epoch, plan.limit)
        # Counted as gone from now on, whatever becomes of the append.
        moving = self._book.in_transfer
        moving[team] = moving.get(team, 0) + amount
        return move

    async def on_zone_short(self, word: ZoneShort) -> Ack:
        """Note what another zone is short of."""
        if word.zone in self._kernel.cfg.zones:
            self._shorts[word.zone] = (self._kernel.clock(), word)
        return Ack()

    def _short(self, own: dict[str, int], now: float) -> dict[str, dict[str, int]]:
        """Return the teams that other zones are short of, with how much by zone."""
        result: dict[str, dict[str, int]] = {}
        for zone, (at, word) in self._shorts.items():
            if now - at > _SHORT_LASTS_S:
                continue
            for short in word.teams:
                result.setdefault(short.team, {})[zone] = short.amount
        for team, by_zone in result.items():
            by_zone[self._kernel.cfg.zone] = own.get(team, 0)
        return result

    async def _tell_short(self, own: dict[str, int]) -> None:
        word = ZoneShort(
            self._kernel.cfg.zone, tuple(TeamShort(t, n) for t, n in own.items())
        )
        asks = [
            self._kernel.bus.ask(
                AskPeer(instance_name(lead.instance), word, _SHORT_WAIT_S)
            )
            for zone, lead in self._kernel.states.cell.leads.items()
            if zone != self._kernel.cfg.zone and lead.instance and not lead.released
        ]
        # A lead that does not hear of it gives nothing; it is told again.
        await asyncio.gather(*asks, return_exceptions=True)

    async def _move(self, move: LimitMoved) -> None:
        try:
            applied = await self._kernel.bus.ask(
                Append("cell", move, deadline_s=_MOVE_S)
            )
        except LogUnavailableError:
            # Certainly never sent.
            self._release(move)
        except FirhookError:
            self._unsettled.append(_Unsettled(move, self._kernel.clock()))
        else:
            self._release(move)
            log(
                "limit.moved",
                team=move.team,
                receiver=move.receiver,
                amount=move.amount,
                verdict=applied.verdict.value,
            )
