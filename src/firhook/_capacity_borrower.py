"""The capacity that this instance requests from its zone's lead and holds.

The messages call capacity *room*.
"""

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

#: Minimum time before capacity is requested again after a refusal.
_RETRY_S = 0.1
#: Demand that arrives within this time is sent in one message.
_BATCH_DELAY_S = 0.01
#: Demand that is not renewed halves in this time.
_DEMAND_HALF_LIFE_S = 2.0


@attrs.frozen(slots=True)
class _Stamp:
    """The stamp of a lead's last answer, and when this instance read it."""

    epoch: int
    stamp: float
    read_at: float


def instance_name(lane: str) -> str:
    """Return the name of the instance that a lane belongs to."""
    return lane.partition("#")[0]


class CapacityBorrower:
    """Borrows capacity from the zone's lead for the work of this instance.

    All teams of an instance share one message: otherwise 120 teams would cost each
    instance 120 messages a second.

    :param lend: handles the request if this instance is the lead itself.
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
        self._demand = CapacityDemand(_DEMAND_HALF_LIFE_S)
        self._pending_teams: set[str] = set()
        self._retry_at: dict[str, float] = {}
        self._wake = asyncio.Event()
        self._seq = 0
        self._stamp = _Stamp(0, -1.0, float("-inf"))
        self._announced_lead: tuple[int, str] = (0, "")
        self._stopped = False

    def add_demand(self, event: CapacityWanted) -> None:
        """Record that work of a team waits for capacity."""
        now = self._kernel.clock()
        self._demand.raise_to(event.team, event.wanted, now)
        if now >= self._retry_at.get(event.team, 0.0):
            self._pending_teams.add(event.team)
            self._wake.set()

    def teams(self) -> list[str]:
        """Return the teams that want or hold capacity."""
        account, waiting = self._kernel.account, self._kernel.load.waiting
        demand = self._demand.teams(self._kernel.clock())
        return sorted({*demand, *account.capacity, *account.running, *waiting})

    def _wanted(self, team: str, now: float) -> int:
        # Waiting work needs capacity for at least one request.  Its demand may have
        # decayed while the lead was unreachable, and nothing would record it
        # again before its deadline.
        minimum = self._kernel.account.running.get(team, 0)
        minimum += bool(self._kernel.load.waiting.get(team))
        return self._demand.wanted(team, minimum, now)

    def holdings(self, teams: Iterable[str]) -> tuple[TeamRoom, ...]:
        """Return the wanted and held capacity of teams, and release the excess.

        Capacity that is no longer wanted is released here before the lead is
        informed, so that no other instance can use it at the same time.
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
        """Report the holdings to a new lead, and reject older leads from now on.

        :raises NotLeadError: if the request is for another incarnation.
        """
        if ask.instance != self._kernel.lane:
            # Another incarnation holds that capacity; it may only be paused.
            raise NotLeadError(
                f"this incarnation is {self._kernel.lane}, not {ask.instance}"
            )
        self._leadership.fence(ask.epoch)
        if ask.epoch > self._announced_lead[0]:
            self._announced_lead = (ask.epoch, ask.lead)
        return self.all_holdings()

    def all_holdings(self) -> Holdings:
        """Return all holdings, and the loans to guests made as the zone's lead."""
        teams = self.holdings(self.teams())
        return Holdings(self._kernel.lane, teams, self._guests())

    def _guests(self) -> tuple[TeamRoom, ...]:
        lent = self._kernel.grants.lent_to_guests(self._kernel.clock())
        return tuple(TeamRoom(team, 0, n) for team, n in sorted(lent.items()))

    def _known_lead(self) -> tuple[int, str]:
        lead = self._leadership.state
        if lead.released or not lead.instance:
            return (
                self._announced_lead
                if self._announced_lead[0] > lead.epoch
                else (0, "")
            )
        return max(self._announced_lead, (lead.epoch, lead.instance))

    async def run(self) -> None:
        """Request capacity periodically for all teams, and at once for new demand."""
        ttl_s = self._kernel.cfg.grant_ttl_s
        next_full = 0.0
        while not self._stopped:
            now = self._kernel.clock()
            if now >= next_full:
                self._pending_teams.clear()
                lent = await self._try_request(self.teams())
                # A request that times out after a second leaves time for another
                # before the grants expire.
                next_full = now + (ttl_s / 2 if lent else _RETRY_S)
            elif self._pending_teams:
                teams = sorted(self._pending_teams)
                self._pending_teams.clear()
                if not await self._try_request(teams):
                    next_full = now + _RETRY_S
            self._wake.clear()
            if not self._pending_teams:
                await self._pause(next_full - self._kernel.clock())
            await asyncio.sleep(_BATCH_DELAY_S)

    async def _pause(self, seconds: float) -> None:
        try:
            await asyncio.wait_for(self._wake.wait(), max(seconds, 0.0))
        except TimeoutError:
            return

    async def _try_request(self, teams: Iterable[str]) -> bool:
        try:
            return await self._request(teams)
        except FirhookError as exc:
            # The lead is unreachable or changing.  The held capacity stays valid
            # until it expires, and the next round uses the lead of that time.
            log("room.ask_failed", level="debug", code=exc.code, detail=exc.detail)
            return False

    async def _request(self, teams: Iterable[str], leaving: bool = False) -> bool:
        epoch, lead = self._known_lead()
        if not lead:
            return False
        self._seq += 1
        echo = self._make_promise(epoch)
        sent_at = self._kernel.clock()
        demands = self.holdings(teams)
        ask = GrantAsk(
            self._kernel.lane, self._seq, epoch, echo, demands, leaving, self._guests()
        )
        if lead == self._kernel.lane:
            answer = await self._lend(ask)
        else:
            answer = await self._kernel.bus.ask(AskPeer(instance_name(lead), ask))
        self._apply_answer(ask, answer, sent_at)
        return answer.lent

    def _make_promise(self, epoch: int) -> float:
        """Return the stamp to send back; it promises not to claim the lead.

        -1 stands for no promise.
        """
        if self._stamp.epoch != epoch or not self._leadership.may_promise:
            return -1.0
        self._leadership.promised_at = self._stamp.read_at
        return self._stamp.stamp

    def _apply_answer(self, ask: GrantAsk, answer: GrantAnswer, sent_at: float) -> None:
        if answer.epoch != ask.epoch or answer.epoch < self._known_lead()[0]:
            # A newer lead has received the holdings without this grant.
            return
        now = self._kernel.clock()
        self._stamp = _Stamp(answer.epoch, answer.stamp, now)
        if not answer.lent:
            return
        account = self._kernel.account
        granted = {grant.team: grant.granted for grant in answer.teams}
        for demand in ask.teams:
            amount = min(granted.get(demand.team, demand.wanted), demand.wanted)
            # The lead counts the lifetime from its answer, this instance from before
            # its request, so the grant expires here before it does at the lead.
            grown = amount > account.current_capacity(demand.team)
            account.set_capacity(demand.team, amount, sent_at + answer.ttl_s)
            if amount < demand.wanted:
                self._retry_at[demand.team] = now + _RETRY_S
            else:
                self._retry_at.pop(demand.team, None)
            if grown:
                self._kernel.bus.publish(CapacityChanged(demand.team))

    def stop(self) -> None:
        """Stop requesting capacity."""
        self._stopped = True
        self._wake.set()

    async def leave(self) -> bool:
        """Give back all capacity at a graceful stop.

        Work that is still running keeps its capacity in the lead's table until it
        has certainly ended.

        :returns: whether all capacity was free.
        """
        self.stop()
        account = self._kernel.account
        account.capacity.clear()
        account.expires_at.clear()
        if account.running or self._kernel.grants.lent_to_guests(self._kernel.clock()):
            return False
        try:
            await self._request((), leaving=True)
        except FirhookError:
            # The lead treats this instance as unreachable until its grants expire.
            return True
        return True
