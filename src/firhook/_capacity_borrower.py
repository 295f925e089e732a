"""This instance's room: what it asks its zone's lead for, and holds."""

import asyncio
from collections.abc import Awaitable, Callable, Iterable

import attrs

from firhook._leadership import Leadership
from firhook.decide.grants import CapacityDemand
from firhook.errors import FirhookError, NotLeadError
from firhook.events import AskPeer, CapacityChanged, CapacityWanted
from firhook.kernel import Kernel
from firhook.logs import log
from firhook.model import GrantAnswer, GrantAsk, Holdings, HoldingsAsk, TeamRoom

#: A team that was refused room asks again after so long at the earliest.
_RETRY_S = 0.1
#: Wants that come within this time go into one message.
_GATHER_S = 0.01
#: Demand that is not renewed falls by half in this time.
_HALF_LIFE_S = 2.0


@attrs.frozen(slots=True)
class _Stamp:
    """The stamp of a lead's last answer, and when it was read here."""

    epoch: int
    stamp: float
    read_at: float


def instance_name(lane: str) -> str:
    """Return the instance's name of a lane."""
    return lane.partition("#")[0]


class CapacityBorrower:
    """Borrows room from the zone's lead for what waits here.

    All teams of an instance go into one message: at the two-year size 120
    teams would otherwise cost each instance 120 messages a second.

    :param lend: answers an ask where this instance is the lead itself.
    """

    def __init__(
        self,
        kernel: Kernel,
        leadership: Leadership,
        lend: Callable[[GrantAsk], Awaitable[GrantAnswer]],
    ) -> None:
        self._kernel = kernel
        self._leadership = leadership
        self._lend = lend
        self._demand = CapacityDemand(_HALF_LIFE_S)
        self._pressed: set[str] = set()
        self._quiet_until: dict[str, float] = {}
        self._wake = asyncio.Event()
        self._seq = 0
        self._stamp = _Stamp(0, -1.0, float("-inf"))
        self._lead: tuple[int, str] = (0, "")
        self._left = False

    def add_demand(self, event: CapacityWanted) -> None:
        """Note that work waits for room."""
        now = self._kernel.clock()
        self._demand.raise_to(event.team, event.wanted, now)
        if now >= self._quiet_until.get(event.team, 0.0):
            self._pressed.add(event.team)
            self._wake.set()

    def teams(self) -> list[str]:
        """Return the teams that want or hold room."""
        account, waiting = self._kernel.account, self._kernel.load.waiting
        demand = self._demand.teams(self._kernel.clock())
        return sorted({*demand, *account.capacity, *account.running, *waiting})

    def _wanted(self, team: str, now: float) -> int:
        # Whatever waits wants room for one at least: its want may have been
        # noted long ago, while the lead was away, and nothing would note it
        # again before its deadline.
        least = self._kernel.account.running.get(team, 0)
        least += bool(self._kernel.load.waiting.get(team))
        return self._demand.wanted(team, least, now)

    def holdings(self, teams: Iterable[str]) -> tuple[TeamRoom, ...]:
        """Return what is wanted and held for teams.

        Room that is no longer wanted is given up here, before the lead hears
        of it, so that nobody else can use it while this instance still does.
        """
        account = self._kernel.account
        now = self._kernel.clock()
        result = []
        for team in teams:
            wanted = self._wanted(team, now)
            if account.capacity.get(team, 0) > wanted:
                account.capacity[team] = wanted
            result.append(TeamRoom(team, wanted, account.max_in_use(team)))
        return tuple(result)

    async def on_holdings_ask(self, ask: HoldingsAsk) -> Holdings:
        """Tell a new lead what is held, and follow no older one any more."""
        if ask.instance != self._kernel.lane:
            # Another run of this instance held that; it may be paused only.
            raise NotLeadError(f"this is {self._kernel.lane}, not {ask.instance}")
        self._leadership.fence(ask.epoch)
        if ask.epoch > self._lead[0]:
            self._lead = (ask.epoch, ask.lead)
        return self.all_holdings()

    def all_holdings(self) -> Holdings:
        """Return what is held here, and what was lent as the lead to guests."""
        teams = self.holdings(self.teams())
        return Holdings(self._kernel.lane, teams, self._guests())

    def _guests(self) -> tuple[TeamRoom, ...]:
        lent = self._kernel.grants.lent_to_guests(self._kernel.clock())
        return tuple(TeamRoom(team, 0, n) for team, n in sorted(lent.items()))

    def _known_lead(self) -> tuple[int, str]:
        lead = self._leadership.state
        if lead.released or not lead.instance:
            return self._lead if self._lead[0] > lead.epoch else (0, "")
        return max(self._lead, (lead.epoch, lead.instance))

    async def run(self) -> None:
        """Ask again and again, for everything or for what is pressed."""
        ttl_s = self._kernel.cfg.grant_ttl_s
        next_full = 0.0
        while not self._left:
            now = self._kernel.clock()
            if now >= next_full:
                self._pressed.clear()
                done = await self._try_ask(self.teams())
                # One ask that gets no answer in its second still leaves time
                # for another before the grants lapse.
                next_full = now + (ttl_s / 2 if done else _RETRY_S)
            elif self._pressed:
                teams = sorted(self._pressed)
                self._pressed.clear()
                if not await self._try_ask(teams):
                    next_full = now + _RETRY_S
            self._wake.clear()
            if not self._pressed:
                await self._pause(next_full - self._kernel.clock())
            await asyncio.sleep(_GATHER_S)

    async def _pause(self, seconds: float) -> None:
        try:
            await asyncio.wait_for(self._wake.wait(), max(seconds, 0.0))
        except TimeoutError:
            return

    async def _try_ask(self, teams: Iterable[str]) -> bool:
        try:
            return await self._ask(teams)
        except FirhookError as exc:
            # The lead is away or changing.  What is held stays held until it
            # lapses, and the next round finds the lead that is there then.
            log("room.ask_failed", level="debug", code=exc.code, detail=exc.detail)
            return False

    async def _ask(self, teams: Iterable[str], leaving: bool = False) -> bool:
        epoch, lead = self._known_lead()
        if not lead:
            return False
        self._seq += 1
        echo = self._promise(epoch)
        sent_at = self._kernel.clock()
        rooms = self.holdings(teams)
        ask = GrantAsk(
            self._kernel.lane, self._seq, epoch, echo, rooms, leaving, self._guests()
        )
        if lead == self._kernel.lane:
            answer = await self._lend(ask)
        else:
            answer = await self._kernel.bus.ask(AskPeer(instance_name(lead), ask))
        self._apply(ask, answer, sent_at)
        return answer.lent

    def _promise(self, epoch: int) -> float:
        """Return the stamp to send back, by which this ask is a promise."""
        if self._stamp.epoch != epoch or not self._leadership.may_promise:
            return -1.0
        self._leadership.promised_at = self._stamp.read_at
        return self._stamp.stamp

    def _apply(self, ask: GrantAsk, answer: GrantAnswer, sent_at: float) -> None:
        if answer.epoch != ask.epoch or answer.epoch < self._known_lead()[0]:
            # A newer lead has been told what is held here; it does not know
            # of this grant.
            return
        now = self._kernel.clock()
        self._stamp = _Stamp(answer.epoch, answer.stamp, now)
        if not answer.lent:
            return
        account = self._kernel.account
        granted = {grant.team: grant.granted for grant in answer.teams}
        for room in ask.teams:
            amount = min(granted.get(room.team, room.wanted), room.wanted)
            # The lead counts from when it answered, this instance from before
            # it asked, so the grant ends here before it ends in the book.
            grown = amount > account.current_capacity(room.team)
            account.set_capacity(room.team, amount, sent_at + answer.ttl_s)
            if amount < room.wanted:
                self._quiet_until[room.team] = now + _RETRY_S
            else:
                self._quiet_until.pop(room.team, None)
            if grown:
                self._kernel.bus.publish(CapacityChanged(room.team))

    def stop(self) -> None:
        """Ask no more."""
        self._left = True
        self._wake.set()

    async def leave(self) -> bool:
        """Give everything back at a graceful stop; return whether it was free.

        Work that is still running keeps its room in the lead's book until it
        has certainly ended.
        """
        self.stop()
        account = self._kernel.account
        account.capacity.clear()
        account.expires_at.clear()
        if account.running or self._kernel.grants.lent_to_guests(self._kernel.clock()):
            return False
        try:
            await self._ask((), leaving=True)
        except FirhookError:
            # The lead counts this instance as silent and waits it out.
            return True
        return True
