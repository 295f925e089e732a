"""The ops role: the operators' HTTP interface.

It covers lists, keys, status, health, metrics and reports.
"""

from typing import Any

from mode import Service

from firhook._web import serve
from firhook.events import StreamReady
from firhook.kernel import Role, register_role
from firhook.ops import (
    ConfigRoutes,
    EventRoutes,
    HealthRoutes,
    MetricRoutes,
    ReportRoutes,
)

#: Operators send only lists and small commands.
_MAX_BODY_BYTES = 1 << 20


@register_role("ops")
class Ops(Role):
    """Serves operators and determines whether this instance is ready."""

    def register_handlers(self) -> None:
        """Register the operators' routes."""
        self._runner: Any = None
        self._reports = ReportRoutes(self.kernel)
        for group in (
            ConfigRoutes(self.kernel),
            HealthRoutes(self.kernel),
            MetricRoutes(self.kernel),
            EventRoutes(self.kernel),
            self._reports,
        ):
            self.kernel.routes["api"] += group.api()
            self.kernel.routes["ops"] += group.ops()

    async def on_started(self) -> None:
        """Start to listen for operators and health checks."""
        self._reports.start()
        addr = self.cfg.ops
        routes = self.kernel.routes["ops"]
        self._runner, _ = await serve(routes, addr.host, addr.port, _MAX_BODY_BYTES)
        port = self._runner.addresses[0][1]
        self.kernel.ports["ops"] = f"{addr.host}:{port}"

    async def on_stop(self) -> None:
        """Stop listening."""
        if self._runner is not None:
            await self._runner.cleanup()

    @Service.task
    async def _ready_loop(self) -> None:
        while not self.should_stop:
            if not self.kernel.ready:
                self.kernel.ready = await self.bus.ask(StreamReady("config"))
            await self.sleep(0.05)
