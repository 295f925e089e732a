"""Members: peers, the zone's lead, and room under the teams' limits."""

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

from mode import Service

from firhook._capacity_borrower import CapacityBorrower
from firhook._capacity_lender import CapacityLender
from firhook._leadership import Leadership
from firhook._mesh import Mesh
from firhook.decide.gossip import gossip_interval_s
from firhook.errors import (
    FirhookError,
    FrameMalformedError,
    PlatformUnavailableError,
)
from firhook.events import (
    AskPeer,
    CapacityWanted,
    InstancesListed,
    Lead,
    LeadChanged,
    LeadView,
    LogAge,
    LoopStalled,
    Member,
    Members,
    PeerMessage,
    RecordApplied,
    RegisterPeerHandler,
    StreamRebuilt,
)
from firhook.kernel import Role, register_role
from firhook.logs import log
from firhook.model import (
    Gossip,
    GrantAsk,
    HoldingsAsk,
    LeadClaimed,
    LeadReleased,
    LeadRenewed,
    RunnerLoad,
    TeamUse,
    Verdict,
    ZoneShort,
)

#: The loop is looked at this often for having stood still.
_TICK_S = 0.1
#: Past this the clock was read before something that took too long to rely
#: on what was believed then.
_STALL_S = 0.5
#: Between two looks at whether the lead is free to claim.
_LOOK_S = 0.25
#: Between two renewals that were hurried, so that joining instances cannot
#: drive the lead over the append budget.
_HURRY_S = 0.3
#: Between two rounds of transfers to other zones.
_MOVE_EVERY_S = 1.0
#: What gossip may cost an instance in sending, of 14 KB/s for all of control.
GOSSIP_BYTES_PER_S = 4000.0
#: Bytes that CURVE, the framing and TCP/IP add to a message.
TRANSPORT_BYTES = 110
#: Peers that are remembered; far above any cell, against a flood of names.
MAX_HEARD = 1000


@register_role("members")
class MembersRole(Role):
    """Knows the peers, holds or watches the zone's lead, lends and borrows room."""

    def register_handlers(self) -> None:
        """Offer peers, lead and room."""
        self._mesh: Mesh | None = None
        self._handlers: dict[type, Callable[[Any], Awaitable[Any]]] = {}
        self._heard: dict[str, tuple[float, Gossip]] = {}
        self._addresses: dict[str, str] = {}
        self._every_s = self.cfg.gossip_s
        self._was_held = False
        self.leadership = Leadership(self.kernel)
        self.lender = CapacityLender(self.kernel, self.leadership)
        self.borrower = CapacityBorrower(
            self.kernel, self.leadership, self.lender.on_grant_ask
        )
        self.lender.borrower = self.borrower
        bus = self.bus
        bus.register_handler(AskPeer, self._ask_peer)
        bus.register_handler(Members, self._members)
        bus.register_handler(LeadView, self._lead_view)
        bus.subscribe(RegisterPeerHandler, self._on_serve_peer)
        bus.subscribe(RecordApplied, self._on_record)
        bus.subscribe(StreamRebuilt, self._on_rebuilt)
        bus.subscribe(InstancesListed, self._on_instances)
        bus.subscribe(CapacityWanted, self.borrower.add_demand)
        bus.subscribe(LoopStalled, self._on_stall)
        self._handlers[Gossip] = self._on_gossip
        self._handlers[GrantAsk] = self.lender.on_grant_ask
        self._handlers[ZoneShort] = self.lender.on_zone_short
        self._handlers[HoldingsAsk] = self.borrower.on_holdings_ask

    async def on_start(self) -> None:
        """Bind the socket to the peers."""
        cfg = self.cfg
        self._mesh = Mesh(cfg.curve_public, cfg.curve_secret, self._serve)
        bound = self._mesh.bind(cfg.peers)
        self.kernel.ports["peers"] = str(bound)
        mesh = self._mesh
        self.kernel.mesh_traffic = lambda: (mesh.sent_bytes, mesh.received_bytes)
        for seed in cfg.seeds:
            self._mesh.connect(str(seed))

    async def on_stop(self) -> None:
        """Close the sockets."""
        self.borrower.stop()
        if self._mesh is not None:
            self._mesh.close()

    async def drain(self) -> None:
        """Hand lead and room back, so that peers can use both at once."""
        free = await self.borrower.leave()
        lead = self.leadership.state
        if lead.instance != self.kernel.lane:
            return
        # The lead was released when the stop began, with this instance on the
        # roster while it finished its requests.  Unless another has taken over
        # meanwhile, the roster must not go on naming an instance that is gone.
        roster = frozenset(lead.roster)
        if free:
            roster -= {self.kernel.lane}
        await self.leadership.release(roster)

    # -- peers ---------------------------------------------------------

    @Service.task
    async def _serve_loop(self) -> None:
        assert self._mesh is not None
        await self._mesh.run()

    @Service.task
    async def _gossip_loop(self) -> None:
        while not self.should_stop:
            await self._guarded("gossip", self._gossip_once())
            await self.sleep(self._every_s)

    async def _guarded(self, what: str, step: Coroutine[Any, Any, None]) -> None:
        """Run one step of a loop, so that no error of it ends the loop.

        A loop that dies takes the whole daemon with it, or, worse, leaves it
        up and silent; the next round starts from the state as it then is.
        """
        try:
            await step
        except FirhookError as exc:
            log(
                "members.step_failed",
                level="warning",
                step=what,
                code=exc.code,
                detail=exc.detail,
            )
        except Exception as exc:
            log("members.step_crashed", level="error", step=what, error=repr(exc))

    async def _gossip_once(self) -> None:
        assert self._mesh is not None
        size = self._mesh.broadcast(await self._word()) + TRANSPORT_BYTES
        peers = len(self._mesh.addresses)
        self._every_s = gossip_interval_s(
            size, peers, self.cfg.gossip_s, GOSSIP_BYTES_PER_S
        )

    async def _word(self) -> Gossip:
        config = self.states.config
        load = self.kernel.load
        return Gossip(
            instance=self.cfg.name,
            zone=self.cfg.zone,
            incarnation=self.kernel.lane,
            config_version=config.version,
            config_offset=config.next_offset,
            log_age_s=round(min(await self.bus.ask(LogAge("config")), 1e9), 3),
            ready=self.kernel.ready,
            stopping=self.kernel.stopping,
            withdrawn=tuple(list(config.withdrawn)[-20:]),
            teams=self._team_uses(),
            runners=tuple(
                RunnerLoad(
                    name, load.excess_in_flight.get(name, 0), name in load.leaving
                )
                for name in sorted({*load.excess_in_flight, *load.leaving})
            ),
            every_s=round(self._every_s, 3),
        )

    def _team_uses(self) -> tuple[TeamUse, ...]:
        running, load = self.kernel.account.running, self.kernel.load
        uses = (
            TeamUse(
                team,
                running.get(team, 0),
                load.waiting.get(team, 0),
                round(load.served_s.get(team, 0.0), 3),
            )
            for team in sorted({*running, *load.waiting, *load.served_s})
        )
        return tuple(u for u in uses if u.running or u.waiting or u.served_s)

    async def _serve(self, msg: Any) -> Any:
        handler = self._handlers.get(type(msg))
        if handler is None:
            raise FrameMalformedError(f"nobody serves {type(msg).__name__}")
        return await handler(msg)

    def _on_serve_peer(self, event: RegisterPeerHandler) -> None:
        self._handlers[event.kind] = event.handler

    async def _on_gossip(self, msg: Gossip) -> None:
        if msg.incarnation == self.kernel.lane:
            return
        now = self.kernel.clock()
        self._forget_silent(now)
        if msg.instance not in self._heard and len(self._heard) >= MAX_HEARD:
            raise FrameMalformedError(f"more than {MAX_HEARD} peers")
        self._heard[msg.instance] = (now, msg)
        for key_id in msg.withdrawn:
            if self.states.config.withdraw(key_id) is Verdict.APPLIED:
                log("key.withdrawn_by_peer", key_id=key_id, peer=msg.instance)
        self.bus.publish(PeerMessage(msg.instance, msg))

    def _lives_s(self, word: Gossip) -> float:
        return max(self.cfg.member_timeout_s, 3 * min(word.every_s, 60.0))

    def _forget_silent(self, now: float) -> None:
        for name, (at, word) in list(self._heard.items()):
            if now - at > self._lives_s(word):
                del self._heard[name]

    async def _members(self, query: Members) -> tuple[Member, ...]:
        now = self.kernel.clock()
        self._forget_silent(now)
        return tuple(
            Member(name, word.zone, word.incarnation, now - at, word)
            for name, (at, word) in sorted(self._heard.items())
        )

    async def _ask_peer(self, query: AskPeer) -> Any:
        assert self._mesh is not None
        # A seed is known by its address before it is known by its name.
        address = self._addresses.get(query.peer, query.peer)
        return await self._mesh.request(address, query.body, query.timeout_s)

    @Service.task
    async def _list_loop(self) -> None:
        while not self.should_stop:
            try:
                listed = await self.platform.instances.list()
            except PlatformUnavailableError as exc:
                log("instances.unavailable", level="warning", code=exc.code)
            else:
                self.bus.publish(InstancesListed(listed))
            await self.sleep(self.cfg.list_poll_s)

    def _on_instances(self, event: InstancesListed) -> None:
        assert self._mesh is not None
        own = self.kernel.ports.get("peers")
        self._addresses = {
            e.name: e.address for e in event.instances if e.kind == "entry"
        }
        wanted = {a for a in self._addresses.values() if a != own}
        wanted |= {str(s) for s in self.cfg.seeds} - {own}
        for address in self._mesh.addresses - wanted:
            self._mesh.disconnect(address)
        for address in wanted:
            self._mesh.connect(address)

    # -- the zone's lead -----------------------------------------------

    async def _lead_view(self, query: LeadView) -> Lead:
        return self.leadership.view(self.kernel.clock())

    def _on_record(self, event: RecordApplied) -> None:
        if event.stream != "cell":
            return
        self.lender.on_record(event)
        body = event.envelope.body
        if not isinstance(body, (LeadClaimed, LeadRenewed, LeadReleased)):
            return
        if body.zone != self.cfg.zone:
            return
        self.leadership.observe_record(self.kernel.clock())
        if event.envelope.lane != self.kernel.lane:
            self.leadership.wake.set()

    def _on_rebuilt(self, event: StreamRebuilt) -> None:
        # The lead's last renewal is in the snapshot and was not read by
        # itself; counting it as long ago would depose a lead that is well.
        if event.stream == "cell":
            self.leadership.observe_record(self.kernel.clock())

    def _on_stall(self, event: LoopStalled) -> None:
        self.leadership.on_loop_stall()
        log("loop.stalled", level="warning", stall_s=round(event.stall_s, 3))

    @Service.task
    async def _stall_loop(self) -> None:
        last = self.kernel.clock()
        while not self.should_stop:
            await self.sleep(_TICK_S)
            now = self.kernel.clock()
            if now - last > _STALL_S + _TICK_S:
                self.bus.publish(LoopStalled(now - last))
            last = now
            self._note_lead(now)

    def _note_lead(self, now: float) -> None:
        held = self.leadership.is_held(now)
        if held == self._was_held:
            return
        self._was_held = held
        epoch = self.leadership.state.epoch
        log("lead.changed", epoch=epoch, held=held)
        self.bus.publish(LeadChanged(epoch, held))

    @Service.task
    async def _lead_loop(self) -> None:
        while not self.should_stop:
            await self._guarded("lead", self._lead_step())
            mine = self.leadership.is_lead
            await self._pause(self.cfg.lead_lease_s / 3 if mine else _LOOK_S)

    async def _lead_step(self) -> None:
        started = self.kernel.clock()
        self.leadership.wake.clear()
        await self.leadership.renew_or_claim(
            self.lender.roster(), self.lender.published_holders()
        )
        self._note_lead(self.kernel.clock())
        if self.leadership.is_held(self.kernel.clock()):
            self.lender.settle_moves_before(started)
        await self.lender.sync_with_lead()

    async def _pause(self, seconds: float) -> None:
        least = min(_HURRY_S, seconds)
        await self.sleep(least)
        try:
            await asyncio.wait_for(self.leadership.wake.wait(), seconds - least)
        except TimeoutError:
            return

    # -- room under the limits -----------------------------------------

    @Service.task
    async def _room_loop(self) -> None:
        await self.borrower.run()
        await self.wait_until_stopped()

    @Service.task
    async def _move_loop(self) -> None:
        while not self.should_stop:
            await self._guarded("move", self.lender.transfer_spare())
            await self.sleep(_MOVE_EVERY_S)
