"""A test instance with the journal, config and once roles, and a fake log."""

import contextlib
import time

import attrs

from firhook._bus import Bus
from firhook._settings import Settings
from firhook.address import Address
from firhook.errors import PeerUnreachableError
from firhook.events import AskPeer, LogAge, Member, Members, RegisterPeerHandler
from firhook.model import Gossip, LeadClaimed, decode_message, encode_message
from firhook.platform.clients import Platform
from firhook.roles._config import Config, digest_key
from firhook.roles._journal import Journal
from firhook.roles._once import Once
from firhook.state import States
from tests.fakelog import FakeLog, until

OPERATOR = "fk_operator"
NOWHERE = Address("127.0.0.1", 0)


def settings(name: str, zone: str, **changed: object) -> Settings:
    """Return settings with short intervals."""
    options = {
        "name": name,
        "zone": zone,
        "zones": ("lisboa", "porto"),
        "gateway": NOWHERE,
        "ops": NOWHERE,
        "peers": NOWHERE,
        "log_url": "http://127.0.0.1:1",
        "log_poll_s": 0.1,
        "append_budget_per_s": 1000.0,
        "instances_expected": 1,
        "curve_public": "p" * 40,
        "curve_secret": "s" * 40,
        "operator_digest": digest_key(OPERATOR),
        **changed,
    }
    return Settings(**options)


class Instance:
    """The kernel and the members role as the tested roles see them.

    :param cell: all instances by name.
    :ivar unreachable: names of the peers that this instance cannot reach.
    :ivar last_gossip: by peer, when its last gossip was received, and the gossip.
    """

    def __init__(self, name: str, log: FakeLog, cell: dict, **changed) -> None:
        self.cfg = settings(name, changed.pop("zone", "lisboa"), **changed)
        self.lane = f"{name}#1"
        self.bus = Bus()
        self.states = States(self.cfg.zones, self.cfg.zone)
        self.platform = Platform(log, None, None, None)
        self.clock = time.monotonic
        self.ready = self.stopping = False
        self.cell = cell
        self.unreachable: set[str] = set()
        self.last_gossip: dict[str, tuple[float, Gossip]] = {}
        self.handlers: dict[type, object] = {}
        cell[name] = self
        self.bus.register_handler(Members, self._members)
        self.bus.register_handler(AskPeer, self._ask_peer)
        self.bus.subscribe(RegisterPeerHandler, self._on_serve)
        self.journal, self.config, self.once = Journal(self), Config(self), Once(self)
        self.roles = [self.journal, self.config, self.once]

    def _on_serve(self, event: RegisterPeerHandler) -> None:
        self.handlers[event.kind] = event.handler

    async def _ask_peer(self, query: AskPeer):
        peer = self.cell.get(query.peer)
        if peer is None or query.peer in self.unreachable:
            raise PeerUnreachableError(f"{query.peer} is unreachable")
        msg = decode_message(encode_message(query.body))
        return decode_message(encode_message(await peer.handlers[type(msg)](msg)))

    async def _members(self, query: Members) -> tuple[Member, ...]:
        now = self.clock()
        return tuple(
            Member(name, g.zone, g.incarnation, now - at, g)
            for name, (at, g) in self.last_gossip.items()
            if now - at < self.cfg.member_timeout_s
        )

    async def receive_gossip(self, *names: str) -> None:
        """Receive the gossip of peers as the members role does."""
        for name in names:
            peer = self.cell[name]
            state = peer.states.config
            gossip = Gossip(
                instance=name,
                zone=peer.cfg.zone,
                incarnation=peer.lane,
                config_version=state.version,
                config_offset=state.next_offset,
                log_age_s=min(await peer.bus.ask(LogAge("config")), 1e9),
                ready=True,
                stopping=False,
                withdrawn=tuple(state.withdrawn),
            )
            self.last_gossip[name] = (self.clock(), gossip)
            for key_id in gossip.withdrawn:
                self.states.config.withdraw(key_id)

    def lead(self, log: FakeLog) -> None:
        """Append a record by which this instance claims its zone's lead."""
        lead = self.states.cell.leads[self.cfg.zone]
        epoch = lead.epoch + 1
        claim = LeadClaimed(self.cfg.zone, epoch, self.lane, lead.offset)
        log.write("cell", f"{self.lane}-lead", epoch, claim)


@contextlib.asynccontextmanager
async def running(*instances: Instance, ready: bool = True):
    """Start instances and stop them on exit.

    :param ready: whether to wait until all streams have been read.
    """
    for instance in instances:
        for role in instance.roles:
            await role.start()
    try:
        for instance in instances:
            if ready:
                await until(
                    lambda m=instance: all(x.ready for x in m.journal.clients.values())
                )
        yield
    finally:
        for instance in instances:
            instance.stopping = True
            for role in reversed(instance.roles):
                await role.stop()


@attrs.define
class Clock:
    """A clock that a test sets."""

    now: float = 0.0

    def __call__(self) -> float:
        """Return the time."""
        return self.now
