"""An instance on the platform: a tree of services that register themselves."""

import importlib
import secrets
from abc import ABC, abstractmethod
from collections.abc import Callable
from socket import socket
from typing import TypeVar

import attrs
from mode import Service

from firhook._bus import Bus
from firhook.cell import CellConfig, Replica
from firhook.logs import log
from firhook.meters import Meters
from firhook.platform.connections import Connections
from firhook.platform.instance import InstanceSettings


@attrs.frozen(slots=True)
class StopBegun:
    """A graceful stop of this instance has begun."""


_SERVICES: dict[str, type["InstanceService"]] = {}

#: In the order in which they start; they drain in the reverse order.
SERVICE_MODULES = ("follower", "operator", "mesh", "lead", "callers", "metrics")

#: An instance answers for keys only if it read the configuration so much less
#: than the bound ago, which covers the way of the request and of the read, and
#: clocks that differ by a little.
FRESHNESS_MARGIN_S = 0.4

C = TypeVar("C", bound=type["InstanceService"])


def register_service(name: str) -> Callable[[C], C]:
    """Register a service under a name; used as a class decorator."""

    def decorate(cls: C) -> C:
        _SERVICES[name] = cls
        cls.service_name = name
        return cls

    return decorate


def load_services() -> dict[str, type["InstanceService"]]:
    """Import the services that ship with firhook and return all registered.

    They are returned in the order in which they start.
    """
    for name in SERVICE_MODULES:
        importlib.import_module(f"firhook.services._{name}")
    return {name: _SERVICES[name] for name in SERVICE_MODULES}


@attrs.define(slots=True, eq=False)
class ConfigView:
    """The configuration as this instance last read it.

    :ivar read_at: when the newest reading was sent, on the boot clock.  All
        that was confirmed to operators before then is in it.
    """

    revocation_s: float
    config: CellConfig | None = None
    read_at: float = float("-inf")

    def is_fresh(self, now: float) -> bool:
        """Return whether no key can have been withdrawn for too long unseen.

        An instance that is cut off from the store goes on with the keys that
        it knows.  Without this check it would run work for a key that was
        withdrawn minutes ago, and nobody could tell from its answers.
        """
        return now - self.read_at < self.revocation_s - FRESHNESS_MARGIN_S


class InstanceService(Service, ABC):
    """One concern of an instance, with its I/O."""

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
        """Subscribe to events and offer answers; called before any start."""

    async def drain(self) -> None:
        """Finish or hand back what this service holds, before it is stopped."""


class Instance(Service):
    """The root of the tree.

    :param settings: what the platform tells this instance.
    :param platform: for all calls that it makes.
    :param services: the services by name; those that ship with firhook if none.
    :param listener: the socket for callers, if it listens already.
    :ivar incarnation: unique for each run of the process.
    :ivar replica: the cell's records.
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
        """Return the services, which start after the instance, in order."""
        return list(self.services.values())

    async def drain(self) -> None:
        """Bring every service to rest, so that stopping cuts nothing."""
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
