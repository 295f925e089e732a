"""A simulated fleet of instances with a fake log, network and clock.

The code for the lead, for lending and borrowing capacity, the cell's state, the
grant table and the account are real.  Time is virtual: the event loop jumps to
the next timer, so that minutes pass in milliseconds and runs are reproducible.
"""

import asyncio
import contextlib
import random

import attrs

from firhook._bus import Bus
from firhook._capacity_borrower import CapacityBorrower
from firhook._capacity_lender import CapacityLender
from firhook._kernel import Load
from firhook._leadership import Leadership
from firhook.decide.grants import GrantTable
from firhook.decide.limits import Account
from firhook.errors import (
    FirhookError,
    LogOutcomeUnknownError,
    LogUnavailableError,
    PeerUnreachableError,
)
from firhook.events import (
    Append,
    Applied,
    AskPeer,
    CapacityChanged,
    CapacityWanted,
    LogAge,
    RecordApplied,
)
from firhook.model import Envelope, GrantAsk, HoldingsAsk, Plan, ZoneShort
from firhook.state import CellState
from standins.model import VirtualLoop

ZONES = ("a", "b", "c")
TEAM = "t"
LINGER_S = 5.0
OUTAGE_S = 16.0
NETWORK_DELAY_S = 0.002


@attrs.frozen
class Cfg:
    """The settings that the tested code reads."""

    zone: str
    zones: tuple[str, ...] = ZONES
    lead_lease_s: float = 3.0
    margin_s: float = 0.3
    grant_ttl_s: float = 2.0
    default_deadline_s: float = LINGER_S
    lend_outage_s: float = OUTAGE_S
    hold_s: float = 10.0
    log_poll_s: float = 5.0


class FakeLog:
    """The log shared by the instances: the cell stream and a team's limits.

    :ivar sent: records that were appended.
    :ivar records: records that can be read, after ``delay_s``.
    :ivar limits: the team's limit in each version of the lists.
    """

    def __init__(self, loop):
        self.loop = loop
        self.sent: list[Envelope] = []
        self.records: list[Envelope] = []
        self.limits = [20]
        self.down = False
        self.delay_s = 0.005


class Config:
    """The lists as one node has read them, with one team's limit."""

    def __init__(self, log):
        self.log = log
        self.version = 0

    def plan_of(self, team):
        """Return the team's plan in the version that was read."""
        return Plan("p", 1.0, self.log.limits[self.version])


@attrs.define
class States:
    """The states of one node."""

    config: Config
    cell: CellState


class Node:
    """One instance: the code of the members role, and simulated requests.

    :ivar cut: whether the node reaches neither the log nor its peers.
    :ivar log_cut: whether the node does not reach the log.
    :ivar reachable_peers: the peers it reaches; None means no restriction.
    :ivar gate: closed while the process is paused.
    :ivar demand: how many requests of the team it should run.
    """

    def __init__(self, fleet, name, zone, run):
        self.fleet, self.name = fleet, name
        self.lane = f"{name}#{run}"
        self.cfg = Cfg(zone)
        loop = fleet.loop
        self.clock = loop.time
        self.bus = Bus()
        self.states = States(Config(fleet.log), CellState(ZONES))
        self.account = Account(self.clock)
        self.grants = GrantTable(self.cfg.grant_ttl_s, LINGER_S)
        self.load = Load()
        self.stopping = False
        self.alive = True
        self.cut = False
        self.log_cut = False
        self.reachable_peers: set[str] | None = None
        self.gate = asyncio.Event()
        self.gate.set()
        self.end_seen_at = float("-inf")
        self.seq = 0
        self.pending: dict[int, asyncio.Future] = {}
        self.demand = 0
        self.leadership = Leadership(self)
        self.lender = CapacityLender(self, self.leadership)
        self.borrower = CapacityBorrower(
            self, self.leadership, self.lender.on_grant_ask
        )
        self.lender.borrower = self.borrower
        self.bus.register_handler(AskPeer, self._ask_peer)
        self.bus.register_handler(Append, self._append)
        self.bus.register_handler(LogAge, self._log_age)
        self.bus.subscribe(RecordApplied, self.lender.on_record)
        self.bus.subscribe(CapacityWanted, self.borrower.add_demand)
        self.bus.subscribe(CapacityChanged, lambda event: self.serve())
        self.tasks = [
            loop.create_task(t)
            for t in (
                self._follow_log(),
                self._every(0.25, self._lead_step),
                self.borrower.run(),
                self._every(1.0, self.lender.transfer_spare),
                self._serve_loop(),
            )
        ]

    # -- log and network -------------------------------------------------

    @property
    def reaches_log(self):
        """Whether this node reaches the log."""
        zone_cut = self.cfg.zone in self.fleet.cut_zones
        return not (self.fleet.log.down or self.cut or self.log_cut or zone_cut)

    def reaches(self, other):
        """Return whether messages from this node reach another."""
        if self.cut or other.cut or not other.alive:
            return False
        for one, two in ((self, other), (other, self)):
            if one.reachable_peers is not None and two.name not in one.reachable_peers:
                return False
        cut = self.fleet.cut_zones
        same = self.cfg.zone == other.cfg.zone
        return same or not ({self.cfg.zone, other.cfg.zone} & cut)

    async def _ask_peer(self, query):
        await self.gate.wait()
        other = self.fleet.nodes.get(query.peer)
        await asyncio.sleep(NETWORK_DELAY_S)
        if other is None or not self.reaches(other):
            await asyncio.sleep(query.timeout_s)
            raise PeerUnreachableError(f"{query.peer}: unreachable")
        kinds = {
            GrantAsk: other.lender.on_grant_ask,
            HoldingsAsk: other.borrower.on_holdings_ask,
            ZoneShort: other.lender.on_zone_short,
        }
        serve = self.fleet.loop.create_task(
            other.serve_message(kinds[type(query.body)], query)
        )
        try:
            answer = await asyncio.wait_for(serve, query.timeout_s)
        except TimeoutError as exc:
            raise PeerUnreachableError(f"{query.peer}: no answer") from exc
        except FirhookError as exc:
            raise PeerUnreachableError(f"{query.peer}: {exc.code}") from exc
        await asyncio.sleep(NETWORK_DELAY_S)
        if not self.reaches(other) or self.fleet.lose_answers:
            await asyncio.sleep(query.timeout_s)
            raise PeerUnreachableError(f"{query.peer}: answer lost")
        await self.gate.wait()
        return answer

    async def serve_message(self, handler, query):
        """Handle a peer's message, after the pause if this node is paused."""
        await self.gate.wait()
        if not self.alive:
            raise PeerUnreachableError("gone")
        return await handler(query.body)

    async def _append(self, query):
        await self.gate.wait()
        self.seq += 1
        envelope = Envelope(self.lane, self.seq, query.body)
        fut = self.fleet.loop.create_future()
        self.pending[self.seq] = fut
        if not self.reaches_log:
            await asyncio.sleep(query.deadline_s)
            await self.gate.wait()
            raise LogUnavailableError("down")
        log = self.fleet.log
        log.sent.append(envelope)
        self.fleet.loop.call_later(log.delay_s, log.records.append, envelope)
        try:
            applied = await asyncio.wait_for(fut, query.deadline_s)
        except TimeoutError as exc:
            await self.gate.wait()
            raise LogOutcomeUnknownError("not confirmed in time") from exc
        await self.gate.wait()
        return applied

    async def _log_age(self, query):
        return self.clock() - self.end_seen_at

    # -- loops -----------------------------------------------------------

    async def _every(self, seconds, step):
        while self.alive:
            await self.gate.wait()
            with contextlib.suppress(FirhookError):
                await step()
            await asyncio.sleep(seconds)

    async def _lead_step(self):
        started = self.clock()
        await self.leadership.renew_or_claim(
            self.lender.roster(), self.lender.published_holders()
        )
        if self.leadership.is_held(self.clock()):
            self.lender.settle_transfers_before(started)
        await self.lender.sync_with_lead()

    async def _follow_log(self):
        while True:
            await asyncio.sleep(0.05)
            await self.gate.wait()
            if self.reaches_log:
                self.read_to_end()

    def copy_peer_state(self):
        """Copy a peer's state, as at a start while the log is down."""
        for peer in self.fleet.nodes.values():
            if peer is not self and peer.alive and self.reaches(peer):
                self.read_to(peer.states.config.version, peer.states.cell.next_offset)
                return

    def read_to_end(self):
        """Apply all records that were not read yet."""
        log = self.fleet.log
        self.read_to(len(log.limits) - 1, len(log.records))
        self.end_seen_at = self.clock()

    def read_to(self, version, end):
        """Apply the streams up to a version and an offset."""
        log = self.fleet.log
        self.states.config.version = version
        cell = self.states.cell
        while cell.next_offset < end:
            offset = cell.next_offset
            envelope = log.records[offset]
            verdict = cell.apply(offset, envelope)
            self.bus.publish(RecordApplied("cell", offset, envelope, verdict))
            self.leadership.observe_record(self.clock())
            fut = self.pending.pop(envelope.seq, None)
            if envelope.lane == self.lane and fut is not None and not fut.done():
                fut.set_result(Applied(offset, verdict))
            elif fut is not None:
                self.pending[envelope.seq] = fut

    # -- requests --------------------------------------------------------

    async def _serve_loop(self):
        while True:
            await self.gate.wait()
            self.serve()
            await asyncio.sleep(0.2)

    def serve(self):
        """Start requests as far as demand and capacity allow."""
        if not self.alive or not self.gate.is_set() or self.stopping:
            return
        while self.account.running.get(TEAM, 0) < self.demand:
            if not self.account.acquire(TEAM):
                self.load.waiting = {TEAM: 1}
                self.bus.publish(CapacityWanted(TEAM, self.demand))
                return
            self.fleet.start(self)
        self.load.waiting = {}

    async def ended(self):
        """Release the capacity of a request that has ended."""
        if self.alive:
            await self.gate.wait()
            self.account.release(TEAM)

    def kill(self):
        """End the process; its requests continue at the runners."""
        self.alive = False
        # asyncio.wait_for may ignore a cancellation if its future completes at
        # the same time.  The closed gate stops such a task for good.
        self.gate.clear()
        for task in self.tasks:
            task.cancel()


class Fleet:
    """A simulated cell of three zones.

    :param per_zone: instances in each zone.
    :ivar took_s: how long each request runs.
    :ivar violations: moments at which more requests ran than allowed.
    """

    def __init__(self, per_zone=2):
        # Claims are spread at random; the seed makes runs reproducible.
        random.seed(0)
        self.loop = VirtualLoop()
        asyncio.set_event_loop(self.loop)
        self.log = FakeLog(self.loop)
        self.cut_zones: set[str] = set()
        self.lose_answers = False
        self.running = 0
        self.took_s = 0.5
        self.runs = 0
        self.violations: list[str] = []
        self.versions_read: list[tuple[float, int]] = []
        self.nodes: dict[str, Node] = {}
        for zone in ZONES:
            for i in range(per_zone):
                self.boot(f"{zone}{i}", zone)
        self.loop.set_exception_handler(self._failed)
        self.failures: list[str] = []

    def _failed(self, loop, context):
        exc = context.get("exception")
        if exc is not None and not isinstance(exc, FirhookError):
            self.failures.append(repr(context))

    def boot(self, name, zone):
        """Start an instance as a new process."""
        self.runs += 1
        node = self.nodes[name] = Node(self, name, zone, self.runs)
        if self.log.down:
            node.copy_peer_state()

    def max_running(self):
        """Return how many requests may run at this moment.

        This is the largest limit under which requests may still run: a lower
        limit applies only once every zone has read it and everything started
        under the higher one has certainly ended.
        """
        now = self.loop.time()
        read = min(
            (n.states.config.version for n in self.nodes.values() if n.alive),
            default=0,
        )
        self.versions_read.append((now, read))
        grace_s = self.nodes["a0"].cfg.grant_ttl_s + LINGER_S + 1.0
        while len(self.versions_read) > 1 and self.versions_read[1][0] < now - grace_s:
            self.versions_read.pop(0)
        oldest = min(version for _, version in self.versions_read)
        return max(self.log.limits[oldest:])

    def start(self, node):
        """Count a dispatched request and check the limit."""
        self.running += 1
        if self.running > self.max_running():
            self.violations.append(
                f"{self.running} run of {self.max_running()} at {self.loop.time():.3f} "
                f"through {node.lane}"
            )
        self.loop.call_later(self.took_s, self._end, node)

    def _end(self, node):
        self.running -= 1
        self.loop.create_task(node.ended())

    def run(self, seconds):
        """Advance the time and check that nothing failed."""
        self.max_running()
        self.loop.run_until_complete(asyncio.sleep(seconds))
        assert not self.failures, self.failures
        assert not self.violations, self.violations

    def heal(self):
        """Clear all faults and replace dead instances."""
        self.cut_zones.clear()
        self.lose_answers = False
        self.log.down, self.log.delay_s = False, 0.005
        for node in list(self.nodes.values()):
            node.cut = node.log_cut = False
            if node.alive:
                node.gate.set()
            else:
                self.boot(node.name, node.cfg.zone)

    def close(self):
        """Stop all nodes and cancel all tasks."""
        for node in self.nodes.values():
            node.kill()
        for task in asyncio.all_tasks(self.loop):
            task.cancel()
        self.loop.run_until_complete(asyncio.sleep(0))
        self.loop.close()
        asyncio.set_event_loop(None)
