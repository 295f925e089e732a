"""An instance on the platform, and the base class of its services."""

import importlib
import secrets
from abc import ABC, abstractmethod
from collections.abc import Callable
from socket import socket
from typing import TypeVar

import attrs
from mode import Service

from firhook._bus import Bus
from firhook.cell import CellConfig, DrainedZones, Replica
from firhook.logs import log
from firhook.meters import Meters
from firhook.platform.connections import Connections
from firhook.platform.instance import InstanceSettings


@attrs.frozen(slots=True)
class StopBegun:
    """Event: this instance has begun a graceful stop."""


_SERVICES: dict[str, type["InstanceService"]] = {}

#: In start order; the services drain in reverse order.
SERVICE_MODULES = ("follower", "operator", "mesh", "lead", "callers", "metrics")

#: Subtracted from the revocation bound when the configuration's age is checked.
#: Covers the latency of the request and of the read, and small differences
#: between clocks.
FRESHNESS_MARGIN_S = 0.4

C = TypeVar("C", bound=type["InstanceService"])


def register_service(name: str) -> Callable[[C], C]:
    """Return a class decorator that registers a service under a name."""

    def decorate(cls: C) -> C:
        _SERVICES[name] = cls
        cls.service_name = name
        return cls

    return decorate


def load_services() -> dict[str, type["InstanceService"]]:
    """Import firhook's services and return them by name, in start order."""
    for name in SERVICE_MODULES:
        importlib.import_module(f"firhook.services._{name}")
    return {name: _SERVICES[name] for name in SERVICE_MODULES}


@attrs.define(slots=True, eq=False)
class ConfigView:
    """The configuration as this instance last read it.

    :param revocation_s: seconds after which a withdrawn key must be refused.
    :ivar drained_zones: the zones that operators have drained.
    :ivar read_at: boot-clock time of which every change has been read.  The
        configuration and the drained zones contain every change acknowledged to
        operators before that time.
    """

    revocation_s: float
    config: CellConfig | None = None
    drained_zones: DrainedZones = attrs.field(factory=DrainedZones)
    read_at: float = float("-inf")

    def is_fresh(self, now: float) -> bool:
        """Return whether the configuration is recent enough to check keys.

        An instance that cannot reach the store continues with the keys it knows.
        Without this check it would run work for a key withdrawn minutes ago, and
        its responses would not show that.
        """
        return now - self.read_at < self.revocation_s - FRESHNESS_MARGIN_S


class InstanceService(Service, ABC):
    """Base class of the services of an instance."""

    abstract = True
    service_name = ""

    def __init__(self, instance: "Instance") -> None:
        super().__init__()
        self.instance = instance
        self.settings = instance.settings
        self.store = instance.store
        self.replica = instance.replica
        self.meters = instance.meters
        self.bus = instance.bus
        self.register_handlers()

    @abstractmethod
    def register_handlers(self) -> None:
        """Subscribe to events and register query handlers.

        Called by the constructor, before any service starts.
        """

    async def drain(self) -> None:
        """Finish or give up the work in progress before the service stops."""


class Instance(Service):
    """The root service of an instance.

    :param settings: the settings provided by the platform.
    :param platform: the connections to the platform's services.
    :param services: service classes by name; firhook's own by default.
    :param listener: the listening socket for callers, if already open.
    :ivar incarnation: id that is unique to each run of the process.
    :ivar store: the connection to the platform's store.
    :ivar replica: this instance's copy of the cell's records.
    :ivar config: the operators' configuration.
    :ivar stopping: whether a graceful stop has begun.
    """

    def __init__(
        self,
        settings: InstanceSettings,
        platform: Connections,
        services: dict[str, type["InstanceService"]] | None = None,
        listener: socket | None = None,
    ) -> None:
        super().__init__()
        self.settings = settings
        self.platform = platform
        self.listener = listener
        self.incarnation = secrets.token_hex(4)
        self.store = platform.store
        self.replica = Replica()
        self.config = ConfigView(settings.bounds.revocation_s)
        self.meters = Meters()
        self.bus = Bus()
        self.stopping = False
        self.services: dict[str, InstanceService] = {
            name: cls(self) for name, cls in (services or load_services()).items()
        }

    def on_init_dependencies(self) -> list[Service]:
        """Return the services, which start in order after the instance."""
        return list(self.services.values())

    async def drain(self) -> None:
        """Drain all services in reverse start order.

        Stopping then interrupts no work.
        """
        self.stopping = True
        log("instance.draining")
        self.bus.publish(StopBegun())
        for name, service in reversed(self.services.items()):
            try:
                await service.drain()
            except Exception as exc:
                log(
                    "service.drain_failed", level="error", service=name, error=repr(exc)
                )
        log("instance.drained")
