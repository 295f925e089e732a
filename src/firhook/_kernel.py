"""The service tree, and the registry by which roles join it."""

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
    """Register a role under a name; used as a class decorator."""

    def decorate(cls: type["Role"]) -> type["Role"]:
        _ROLES[name] = cls
        cls.role_name = name
        return cls

    return decorate


def load_roles() -> dict[str, type["Role"]]:
    """Import the roles that ship with firhook and return all registered ones."""
    for name in ROLE_MODULES:
        importlib.import_module(f"firhook.roles._{name}")
    return dict(_ROLES)


@attrs.define
class Load:
    """What this instance tells its peers of its load.

    :ivar waiting: requests waiting, by team.
    :ivar served_s: seconds of slot time that each team used lately, decayed.
    :ivar excess_in_flight: requests in flight beyond this instance's part of a runner's
        slots, by runner and address.
    :ivar local_in_flight: requests in flight, likewise; for operators, not for peers.
    :ivar leaving: runners that said they take no new work, likewise.
    """

    waiting: dict[str, int] = attrs.field(factory=dict)
    served_s: dict[str, float] = attrs.field(factory=dict)
    excess_in_flight: dict[str, int] = attrs.field(factory=dict)
    local_in_flight: dict[str, int] = attrs.field(factory=dict)
    leaving: set[str] = attrs.field(factory=set)


class Role(Service, ABC):
    """A plug-in of the kernel: one concern of the daemon, with its I/O.

    Roles start in the order of :data:`ROLE_MODULES` and drain in the reverse
    order, so that the gateway finishes its requests while the journal still
    carries their outcomes.
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
        """Subscribe to events and offer answers; called before any start."""

    async def drain(self) -> None:
        """Finish or hand back what this role holds, before it is stopped."""


class Kernel(Service):
    """The daemon's root service.

    :param cfg: the checked settings.
    :param platform: the platform's services.
    :param incarnation: unique for each run of the process.
    :param clock: monotonic clock in seconds; tests pass their own.
    :ivar stop_requested: set by an operator's drain; the daemon then stops as it
        would on SIGTERM.
    :ivar mesh_traffic: bytes sent to and received from peers, for the metrics.
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
        """Return the roles, which start after the kernel, in order."""
        return [self.roles[name] for name in ROLE_MODULES]

    async def drain(self) -> None:
        """Bring every role to rest, so that stopping cuts nothing."""
        self.stopping = True
        log("instance.draining")
        for name in reversed(ROLE_MODULES):
            try:
                await self.roles[name].drain()
            except Exception as exc:
                log("role.drain_failed", level="error", role=name, error=repr(exc))
        log("instance.drained")
