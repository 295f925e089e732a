"""The members role: peers, the zone's lead, and capacity under the teams' limits."""

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

#: How often to check whether the event loop was stalled.
_STALL_CHECK_INTERVAL_S = 0.1
#: After a longer stall, conclusions from an earlier reading of the clock, such
#: as that a lease is held, are no longer reliable.
_STALL_THRESHOLD_S = 0.5
#: How often to check whether the lead can be claimed.
_CLAIM_CHECK_INTERVAL_S = 0.25
#: Minimum time between two renewals.  Joining instances trigger early renewals
#: and must not make the lead exceed its append budget.
_MIN_RENEW_INTERVAL_S = 0.3
#: Time between two rounds of limit transfers to other zones.
_TRANSFER_INTERVAL_S = 1.0
#: Limit on the gossip that an instance sends, out of 14 KB/s for all control
#: traffic.
GOSSIP_BYTES_PER_S = 4000.0
#: Bytes that CURVE, framing and TCP/IP add to a message.
TRANSPORT_BYTES = 110
#: Limit on the peers kept, so that a flood of names cannot exhaust memory.  No
#: cell has nearly as many.
MAX_PEERS = 1000


@register_role("members")
class MembersRole(Role):
    """Tracks peers, holds or observes the zone's lead, lends and borrows capacity."""

    def register_handlers(self) -> None:
        """Register handlers for peers, the lead and capacity."""
        self._mesh: Mesh | None = None
        self._handlers: dict[type, Callable[[Any], Awaitable[Any]]] = {}
        self._last_gossip: dict[str, tuple[float, Gossip]] = {}
        self._addresses: dict[str, str] = {}
        self._gossip_interval_s = self.cfg.gossip_s
        self._lead_was_held = False
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
        bus.subscribe(RegisterPeerHandler, self._on_register_handler)
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
        """Bind the peer socket and connect to the seeds."""
        cfg = self.cfg
        self._mesh = Mesh(cfg.curve_public, cfg.curve_secret, self._handle_request)
        bound = self._mesh.bind(cfg.peers)
        self.kernel.ports["peers"] = str(bound)
        mesh = self._mesh
        self.kernel.mesh_traffic = lambda: (mesh.sent_bytes, mesh.received_bytes)
        for seed in cfg.seeds:
            self._mesh.connect(str(seed))

    async def on_stop(self) -> None:
        """Stop borrowing capacity and close the sockets."""
        self.borrower.stop()
        if self._mesh is not None:
            self._mesh.close()

    async def drain(self) -> None:
        """Give back capacity and lead, so that peers can use them immediately."""
        free = await self.borrower.leave()
        lead = self.leadership.state
        if lead.instance != self.kernel.lane:
            return
        # The lead was released when the stop began, but this instance stayed on
        # the roster while it finished its requests.  If no other instance has
        # taken over since, remove it from the roster, which must not continue
        # to name a stopped instance.
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
            await self._run_step("gossip", self._gossip_once())
            await self.sleep(self._gossip_interval_s)

    async def _run_step(self, name: str, step: Coroutine[Any, Any, None]) -> None:
        """Run one step of a loop, and log its error instead of raising it.

        An error that ended the loop would stop the whole daemon or leave it
        running without gossip or lead renewal.  The next step starts from the
        state at that time.
        """
        try:
            await step
        except FirhookError as exc:
            log(
                "members.step_failed",
                level="warning",
                step=name,
                code=exc.code,
                detail=exc.detail,
            )
        except Exception as exc:
            log("members.step_crashed", level="error", step=name, error=repr(exc))

    async def _gossip_once(self) -> None:
        assert self._mesh is not None
        size = self._mesh.broadcast(await self._build_gossip()) + TRANSPORT_BYTES
        peers = len(self._mesh.addresses)
        self._gossip_interval_s = gossip_interval_s(
            size, peers, self.cfg.gossip_s, GOSSIP_BYTES_PER_S
        )

    async def _build_gossip(self) -> Gossip:
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
            every_s=round(self._gossip_interval_s, 3),
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

    async def _handle_request(self, msg: Any) -> Any:
        handler = self._handlers.get(type(msg))
        if handler is None:
            raise FrameMalformedError(f"no handler for {type(msg).__name__}")
        return await handler(msg)

    def _on_register_handler(self, event: RegisterPeerHandler) -> None:
        self._handlers[event.kind] = event.handler

    async def _on_gossip(self, msg: Gossip) -> None:
        if msg.incarnation == self.kernel.lane:
            return
        now = self.kernel.clock()
        self._remove_expired_peers(now)
        if (
            msg.instance not in self._last_gossip
            and len(self._last_gossip) >= MAX_PEERS
        ):
            raise FrameMalformedError(f"more than {MAX_PEERS} peers")
        self._last_gossip[msg.instance] = (now, msg)
        for key_id in msg.withdrawn:
            if self.states.config.withdraw(key_id) is Verdict.APPLIED:
                log("key.withdrawn_by_peer", key_id=key_id, peer=msg.instance)
        self.bus.publish(PeerMessage(msg.instance, msg))

    def _peer_timeout_s(self, gossip: Gossip) -> float:
        return max(self.cfg.member_timeout_s, 3 * min(gossip.every_s, 60.0))

    def _remove_expired_peers(self, now: float) -> None:
        for name, (received_at, gossip) in list(self._last_gossip.items()):
            if now - received_at > self._peer_timeout_s(gossip):
                del self._last_gossip[name]

    async def _members(self, query: Members) -> tuple[Member, ...]:
        now = self.kernel.clock()
        self._remove_expired_peers(now)
        return tuple(
            Member(name, gossip.zone, gossip.incarnation, now - received_at, gossip)
            for name, (received_at, gossip) in sorted(self._last_gossip.items())
        )

    async def _ask_peer(self, query: AskPeer) -> Any:
        assert self._mesh is not None
        # A seed is addressed directly until its name is listed.
        address = self._addresses.get(query.peer, query.peer)
        return await self._mesh.request(address, query.body, query.timeout_s)

    @Service.task
    async def _list_instances_loop(self) -> None:
        while not self.should_stop:
            try:
                instances = await self.platform.instances.list()
            except PlatformUnavailableError as exc:
                log("instances.unavailable", level="warning", code=exc.code)
            else:
                self.bus.publish(InstancesListed(instances))
            await self.sleep(self.cfg.list_poll_s)

    def _on_instances(self, event: InstancesListed) -> None:
        assert self._mesh is not None
        own_address = self.kernel.ports.get("peers")
        self._addresses = {
            e.name: e.address for e in event.instances if e.kind == "entry"
        }
        wanted_addresses = {a for a in self._addresses.values() if a != own_address}
        wanted_addresses |= {str(s) for s in self.cfg.seeds} - {own_address}
        for address in self._mesh.addresses - wanted_addresses:
            self._mesh.disconnect(address)
        for address in wanted_addresses:
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
        # The lead's last renewal is part of the snapshot and was not read as a
        # record.  Without this it would count as old, and a healthy lead would
        # be deposed.
        if event.stream == "cell":
            self.leadership.observe_record(self.kernel.clock())

    def _on_stall(self, event: LoopStalled) -> None:
        self.leadership.on_loop_stall()
        log("loop.stalled", level="warning", stall_s=round(event.stall_s, 3))

    @Service.task
    async def _stall_loop(self) -> None:
        last = self.kernel.clock()
        while not self.should_stop:
            await self.sleep(_STALL_CHECK_INTERVAL_S)
            now = self.kernel.clock()
            if now - last > _STALL_THRESHOLD_S + _STALL_CHECK_INTERVAL_S:
                self.bus.publish(LoopStalled(now - last))
            last = now
            self._publish_lead_change(now)

    def _publish_lead_change(self, now: float) -> None:
        held = self.leadership.is_held(now)
        if held == self._lead_was_held:
            return
        self._lead_was_held = held
        epoch = self.leadership.state.epoch
        log("lead.changed", epoch=epoch, held=held)
        self.bus.publish(LeadChanged(epoch, held))

    @Service.task
    async def _lead_loop(self) -> None:
        while not self.should_stop:
            await self._run_step("lead", self._renew_or_claim_lead())
            is_lead = self.leadership.is_lead
            await self._wait_for_next_step(
                self.cfg.lead_lease_s / 3 if is_lead else _CLAIM_CHECK_INTERVAL_S
            )

    async def _renew_or_claim_lead(self) -> None:
        started = self.kernel.clock()
        self.leadership.wake.clear()
        await self.leadership.renew_or_claim(
            self.lender.roster(), self.lender.published_holders()
        )
        self._publish_lead_change(self.kernel.clock())
        if self.leadership.is_held(self.kernel.clock()):
            self.lender.settle_transfers_before(started)
        await self.lender.sync_with_lead()

    async def _wait_for_next_step(self, seconds: float) -> None:
        min_wait_s = min(_MIN_RENEW_INTERVAL_S, seconds)
        await self.sleep(min_wait_s)
        try:
            await asyncio.wait_for(self.leadership.wake.wait(), seconds - min_wait_s)
        except TimeoutError:
            return

    # -- capacity under the limits -------------------------------------

    @Service.task
    async def _capacity_loop(self) -> None:
        await self.borrower.run()
        await self.wait_until_stopped()

    @Service.task
    async def _transfer_loop(self) -> None:
        while not self.should_stop:
            await self._run_step("move", self.lender.transfer_spare())
            await self.sleep(_TRANSFER_INTERVAL_S)
