"""The daemon's root service and the registry of its roles."""

import asyncio
import importlib
import time
from abc import ABC, abstractmethod
from collections.abc import Callable
from typing import ClassVar

import attrs
from aiohttp import web
from mode import Service

from firhook._bus import Bus
from firhook._settings import Settings
from firhook.decide.grants import GrantTable
from firhook.decide.limits import Account
from firhook.logs import log
from firhook.platform.clients import CountingLog, Platform
from firhook.state import States
from firhook.stats import Stats

_ROLES: dict[str, type["Role"]] = {}

ROLE_MODULES = ("journal", "config", "members", "once", "gateway", "cell", "ops")


def register_role(name: str) -> Callable[[type["Role"]], type["Role"]]:
    """Return a class decorator that registers a role under a name."""

    def decorate(cls: type["Role"]) -> type["Role"]:
        _ROLES[name] = cls
        cls.role_name = name
        return cls

    return decorate


def load_roles() -> dict[str, type["Role"]]:
    """Import the built-in roles and return all registered roles by name."""
    for name in ROLE_MODULES:
        importlib.import_module(f"firhook.roles._{name}")
    return dict(_ROLES)


@attrs.define
class Load:
    """Load of this instance, which it publishes to its peers.

    :ivar waiting: waiting requests by team.
    :ivar served_s: recent slot time of each team in seconds, exponentially decayed.
    :ivar excess_in_flight: requests in flight beyond this instance's part of a
        runner's slots, by runner and address.
    :ivar local_in_flight: all requests in flight, by runner and address; shown to
        operators and not sent to peers.
    :ivar leaving: runners that accept no new work, by runner and address.
    """

    waiting: dict[str, int] = attrs.field(factory=dict)
    served_s: dict[str, float] = attrs.field(factory=dict)
    excess_in_flight: dict[str, int] = attrs.field(factory=dict)
    local_in_flight: dict[str, int] = attrs.field(factory=dict)
    leaving: set[str] = attrs.field(factory=set)


class Role(Service, ABC):
    """A plug-in of the kernel that handles one concern of the daemon and its I/O.

    Roles start in the order of :data:`ROLE_MODULES` and drain in reverse order,
    so that the gateway finishes its requests while the journal can still record
    their outcomes.
    """

    abstract: ClassVar[bool] = True
    role_name: ClassVar[str] = ""

    def __init__(self, kernel: "Kernel") -> None:
        super().__init__()
        self.kernel = kernel
        self.cfg = kernel.cfg
        self.bus = kernel.bus
        self.states = kernel.states
        self.platform = kernel.platform
        self.register_handlers()

    @abstractmethod
    def register_handlers(self) -> None:
        """Subscribe to events and register query handlers; called before any start."""

    async def drain(self) -> None:
        """Finish or release the work of this role before it is stopped."""


class Kernel(Service):
    """The root service of the daemon when it is started with ``--config``.

    On the users' platform, :class:`firhook.instance.Instance` runs instead.

    :param cfg: the checked settings.
    :param platform: clients of the platform's services.
    :param incarnation: unique for each run of the process.
    :param clock: monotonic clock in seconds; replaceable for tests.
    :ivar lane: identity of this run as a writer to the log, ``name#incarnation``.
    :ivar stop_requested: set by an operator's drain request; the daemon then stops
        as on SIGTERM.
    :ivar mesh_traffic: returns the bytes sent to and received from peers, for the
        metrics.
    """

    def __init__(
        self,
        cfg: Settings,
        platform: Platform,
        incarnation: str,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        super().__init__()
        self.cfg = cfg
        self.stats = Stats(clock)
        counted = CountingLog(platform.log, self.stats.counters)
        self.platform = attrs.evolve(platform, log=counted)
        self.clock = clock
        self.lane = f"{cfg.name}#{incarnation}"
        self.bus = Bus()
        self.states = States(cfg.zones, cfg.zone)
        self.account = Account(clock)
        self.grants = GrantTable(cfg.grant_ttl_s, cfg.default_deadline_s)
        self.load = Load()
        self.routes: dict[str, list[web.RouteDef]] = {"api": [], "ops": []}
        self.ready = False
        self.stopping = False
        self.stop_requested = asyncio.Event()
        self.mesh_traffic: Callable[[], tuple[int, int]] = lambda: (0, 0)
        self.ports: dict[str, str] = {}
        self.roles: dict[str, Role] = {
            name: cls(self) for name, cls in load_roles().items()
        }

    def on_init_dependencies(self) -> list[Service]:
        """Return the roles in the order in which they start, after the kernel."""
        return [self.roles[name] for name in ROLE_MODULES]

    async def drain(self) -> None:
        """Drain every role, so that stopping interrupts no work."""
        self.stopping = True
        log("instance.draining")
        for name in reversed(ROLE_MODULES):
            try:
                await self.roles[name].drain()
            except Exception as exc:
                log("role.drain_failed", level="error", role=name, error=repr(exc))
        log("instance.drained")
