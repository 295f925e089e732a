"""Members: peers, the zone's lead, and room under the teams' limits."""

import asyncio
import random
from typing import Any

from mode import Service

from firhook._mesh import Mesh
from firhook.decide.lease import HeldLease, SeenLease
from firhook.decide.limits import zone_parts
from firhook.errors import (
    FirhookError,
    FrameMalformedError,
    LogUnavailableError,
    PlatformUnavailableError,
)
from firhook.events import (
    Append,
    AskPeer,
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
    RoomChanged,
    RoomWanted,
    ServePeer,
    StreamRebuilt,
)
from firhook.kernel import Role, register_role
from firhook.logs import log
from firhook.model import (
    Gossip,
    GrantAnswer,
    GrantAsk,
    LeadClaimed,
    LeadReleased,
    LeadRenewed,
    RunnerLoad,
    TeamUse,
    Verdict,
)

#: The loop is looked at this often for having stood still.
_TICK_S = 0.1
#: Past this the clock was read before something that took too long to rely
#: on what was believed then.
_STALL_S = 0.5


@register_role("members")
class MembersRole(Role):
    """Knows the peers, holds or watches the zone's lead, lends and borrows room."""

    def wire(self) -> None:
        """Offer peers, lead and room."""
        self._mesh: Mesh | None = None
        self._handlers: dict[type, Any] = {}
        self._heard: dict[str, tuple[float, Gossip]] = {}
        self._addresses: dict[str, str] = {}
        self._held = HeldLease()
        self._hold = HeldLease()
        self._seen = SeenLease()
        self._was_held = False
        self._wanted: dict[str, int] = {}
        self._grants: dict[str, tuple[int, float]] = {}
        self._asking: set[str] = set()
        self._pressed: dict[str, float] = {}
        self.gossip_extras: list[Any] = []
        self._pending_asks: set[asyncio.Task[None]] = set()
        bus = self.bus
        bus.answer(AskPeer, self._ask_peer)
        bus.answer(Members, self._members)
        bus.answer(LeadView, self._lead_view)
        bus.subscribe(ServePeer, self._on_serve_peer)
        bus.subscribe(RecordApplied, self._on_record)
        bus.subscribe(StreamRebuilt, self._on_rebuilt)
        bus.subscribe(InstancesListed, self._on_instances)
        bus.subscribe(RoomWanted, self._on_room_wanted)
        bus.subscribe(LoopStalled, self._on_stall)
        self._handlers[Gossip] = self._on_gossip
        self._handlers[GrantAsk] = self._on_grant_ask

    async def on_start(self) -> None:
        """Bind the socket to the peers."""
        cfg = self.cfg
        self._mesh = Mesh(cfg.curve_public, cfg.curve_secret, self._serve)
        bound = self._mesh.bind(cfg.peers)
        self.kernel.ports["peers"] = str(bound)
        for seed in cfg.seeds:
            self._mesh.connect(str(seed))

    async def on_stop(self) -> None:
        """Close the sockets."""
        if self._mesh is not None:
            self._mesh.close()

    async def drain(self) -> None:
        """Hand the lead back by record, so that a peer takes it at once."""
        lead = self._lead_state()
        if self._held.held(self.kernel.clock()):
            self._held.void()
            self._hold.void()
            await self._append(LeadReleased(self.cfg.zone, lead.epoch, self.lane))

    @property
    def lane(self) -> str:
        """This run of this instance."""
        return self.kernel.lane

    # -- peers ---------------------------------------------------------

    @Service.task
    async def _serve_loop(self) -> None:
        assert self._mesh is not None
        await self._mesh.run()

    @Service.task
    async def _gossip_loop(self) -> None:
        while not self.should_stop:
            await self._gossip_once()
            await self.sleep(self.cfg.gossip_s)

    async def _gossip_once(self) -> None:
        assert self._mesh is not None
        config = self.states.config
        account = self.kernel.account
        load = self.kernel.load
        msg = Gossip(
            instance=self.cfg.name,
            zone=self.cfg.zone,
            incarnation=self.lane,
            config_version=config.version,
            config_offset=config.next_offset,
            log_age_s=min(await self.bus.ask(LogAge("config")), 1e9),
            ready=self.kernel.ready,
            stopping=self.kernel.stopping,
            withdrawn=tuple(list(config.withdrawn)[-20:]),
            teams=tuple(
                TeamUse(
                    team,
                    account.running.get(team, 0),
                    load.waiting.get(team, 0),
                    round(load.served_s.get(team, 0.0), 3),
                )
                for team in sorted({*account.running, *load.waiting, *load.served_s})
            ),
            runners=tuple(
                RunnerLoad(key, load.in_flight.get(key, 0), key in load.leaving)
                for key in sorted({*load.in_flight, *load.leaving})
            ),
        )
        for address in self._mesh.addresses:
            await self._mesh.tell(address, msg)

    async def _serve(self, msg: Any) -> Any:
        handler = self._handlers.get(type(msg))
        if handler is None:
            raise FrameMalformedError(f"nobody serves {type(msg).__name__}")
        return await handler(msg)

    def _on_serve_peer(self, event: ServePeer) -> None:
        self._handlers[event.kind] = event.handler

    async def _on_gossip(self, msg: Gossip) -> None:
        if msg.incarnation == self.lane:
            return
        self._heard[msg.instance] = (self.kernel.clock(), msg)
        for key_id in msg.withdrawn:
            if self.states.config.withdraw(key_id) is Verdict.APPLIED:
                log("key.withdrawn_by_peer", key_id=key_id, peer=msg.instance)
        self.bus.publish(PeerMessage(msg.instance, msg))

    async def _members(self, query: Members) -> tuple[Member, ...]:
        now = self.kernel.clock()
        return tuple(
            Member(name, g.zone, g.incarnation, now - at, g)
            for name, (at, g) in sorted(self._heard.items())
            if now - at <= self.cfg.member_timeout_s
        )

    async def _ask_peer(self, query: AskPeer) -> Any:
        assert self._mesh is not None
        # A seed is known by its address before it is known by its name.
        address = self._addresses.get(query.peer, query.peer)
        return await self._mesh.ask(address, query.body, query.timeout_s)

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
        for address in wanted:
            self._mesh.connect(address)
        for address in self._mesh.addresses - wanted:
            self._mesh.disconnect(address)

    # -- the zone's lead -----------------------------------------------

    def _lead_state(self) -> Any:
        return self.states.cell.leads[self.cfg.zone]

    async def _lead_view(self, query: LeadView) -> Lead:
        now = self.kernel.clock()
        lead = self._lead_state()
        return Lead(
            lead.epoch, lead.instance, self._held.held(now), self._hold.until - now
        )

    def _on_record(self, event: RecordApplied) -> None:
        body = event.envelope.body
        if not isinstance(body, (LeadClaimed, LeadRenewed, LeadReleased)):
            return
        if body.zone != self.cfg.zone or event.verdict is not Verdict.APPLIED:
            return
        self._seen.read_at = self.kernel.clock()
        if isinstance(body, LeadClaimed):
            log("lead.claimed", epoch=body.epoch, holder=body.instance)

    def _on_rebuilt(self, event: StreamRebuilt) -> None:
        # The lead's last renewal is in the snapshot and was not read by
        # itself; counting it as long ago would depose a lead that is well.
        if event.stream == "cell":
            self._seen.read_at = self.kernel.clock()

    def _on_stall(self, event: LoopStalled) -> None:
        self._held.void()
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
            self._drop_lapsed(now)

    def _note_lead(self, now: float) -> None:
        held = self._held.held(now)
        if held == self._was_held:
            return
        self._was_held = held
        epoch = self._lead_state().epoch
        if held:
            self.kernel.grants.open(now, first=epoch == 1)
        else:
            self.kernel.grants.close()
        log("lead.changed", epoch=epoch, held=held)
        self.bus.publish(LeadChanged(epoch, held))

    @Service.task
    async def _lead_loop(self) -> None:
        while not self.should_stop:
            if not self.kernel.stopping:
                try:
                    await self._lead_step()
                except FirhookError as exc:
                    log("lead.step_failed", level="warning", code=exc.code)
            await self.sleep(self.cfg.lead_lease_s / 4)

    async def _lead_step(self) -> None:
        lead = self._lead_state()
        zone = self.cfg.zone
        now = self.kernel.clock()
        if lead.instance == self.lane and not lead.released:
            await self._claim(LeadRenewed(zone, lead.epoch, self.lane))
            return
        age = await self.bus.ask(LogAge("cell"))
        if age > self.cfg.log_poll_s + 1.0:
            return
        cfg = self.cfg
        if lead.released or self._seen.lapsed(now, cfg.lead_lease_s, cfg.margin_s):
            # The epoch is the one judged before the pause: had a peer claimed
            # meanwhile, this claim must lose rather than depose that peer.
            await self.sleep(random.uniform(0, 0.2))
            await self._claim(LeadClaimed(zone, lead.epoch + 1, self.lane))

    async def _claim(self, body: LeadClaimed | LeadRenewed) -> None:
        sent_at = self.kernel.clock()
        if await self._append(body):
            self._held.renewed(sent_at, self.cfg.lead_lease_s)
            self._hold.renewed(sent_at, self.cfg.hold_s)
            self._note_lead(self.kernel.clock())
        else:
            self._held.void()
            self._hold.void()

    async def _append(self, body: Any) -> bool:
        deadline_s = self.cfg.lead_lease_s / 2
        query = Append("cell", body, deadline_s=deadline_s, urgent=True)
        applied = await self.bus.ask(query)
        return applied.verdict is Verdict.APPLIED

    # -- room under the limits -----------------------------------------

    def _part(self, team: str) -> int:
        plan = self.states.config.plan_of(team)
        if plan is None:
            return 0
        moved = self.states.cell.moved.get(team, {})
        return zone_parts(plan.limit, self.cfg.zones, moved)[self.cfg.zone]

    async def _on_grant_ask(self, ask: GrantAsk) -> GrantAnswer:
        now = self.kernel.clock()
        if not self._held.held(now):
            raise LogUnavailableError("this instance does not hold the lead")
        granted = self.kernel.grants.ask(
            ask.team,
            ask.incarnation,
            ask.wanted,
            ask.running,
            self._part(ask.team),
            now,
        )
        return GrantAnswer(
            ask.team, granted, self.cfg.grant_ttl_s, self._lead_state().epoch
        )

    def _on_room_wanted(self, event: RoomWanted) -> None:
        self._wanted[event.team] = max(self._wanted.get(event.team, 0), event.wanted)
        self._pressed[event.team] = self.kernel.clock()
        self._start_ask(event.team)

    def _start_ask(self, team: str) -> None:
        if team in self._asking:
            return
        self._asking.add(team)
        task = asyncio.create_task(self._ask_room(team))
        self._pending_asks.add(task)
        task.add_done_callback(self._pending_asks.discard)

    async def _ask_room(self, team: str) -> None:
        try:
            await self._ask_room_once(team)
        except FirhookError:
            # The lead is away or changing; the renewal loop asks again.
            await asyncio.sleep(0.1)
        finally:
            self._asking.discard(team)

    async def _ask_room_once(self, team: str) -> None:
        sent_at = self.kernel.clock()
        account = self.kernel.account
        wanted = max(self._wanted.get(team, 0), account.running.get(team, 0))
        # Room that is no longer wanted is given up here before the lead hears
        # of it, so that nobody else can use it while this instance still does.
        account.room[team] = min(account.room.get(team, 0), wanted)
        held = max(account.room[team], account.running.get(team, 0))
        ask = GrantAsk(self.cfg.name, self.lane, team, wanted, held)
        lead = self._lead_state()
        if lead.instance == self.lane:
            answer = await self._on_grant_ask(ask)
        else:
            peer = lead.instance.partition("#")[0]
            answer = await self._ask_peer(AskPeer(peer, ask))
        # The lead counts from when it answered, this instance from before it
        # asked, so the grant ends here before it ends in the lead's book.
        self._grants[team] = (answer.granted, sent_at + answer.ttl_s)
        account.room[team] = answer.granted
        self.bus.publish(RoomChanged(team))

    def _drop_lapsed(self, now: float) -> None:
        for team, (_, until) in list(self._grants.items()):
            if now >= until:
                del self._grants[team]
                self.kernel.account.room.pop(team, None)

    @Service.task
    async def _renew_grants_loop(self) -> None:
        while not self.should_stop:
            now = self.kernel.clock()
            for team in list(self._wanted):
                idle = now - self._pressed.get(team, now) > 10 * self.cfg.grant_ttl_s
                if idle and not self.kernel.account.running.get(team):
                    del self._wanted[team]
                    continue
                self._start_ask(team)
            await self.sleep(self.cfg.grant_ttl_s / 3)
