"""Metrics in the Prometheus text format."""

from collections.abc import Iterable

from aiohttp import web
from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    Metric,
    SummaryMetricFamily,
)
from prometheus_client.registry import Collector

from firhook.events import LeadView, LogAge, LoopStalled, Members
from firhook.kernel import Kernel
from firhook.ops._routes import Routes

CONTENT_TYPE = "text/plain; version=0.0.4"


class _KernelCollector(Collector):
    """Reads this instance's counters when the metrics are collected.

    The metrics show the counters that the report uses, so that a request
    updates only one set of counters.

    :param gauges: values queried before the collection, by name and help text.
    """

    def __init__(self, kernel: Kernel, gauges: dict[tuple[str, str], float]) -> None:
        self._kernel = kernel
        self._gauges = gauges

    def collect(self) -> Iterable[Metric]:
        """Yield all metrics."""
        stats = self._kernel.stats
        yield self._wait_summary()
        refused = CounterMetricFamily(
            "firhook_refusals", "Requests refused, by code.", labels=["code"]
        )
        for code, count in stats.refusals.items():
            refused.add_metric([code], count)
        yield refused
        for name, count in sorted(stats.counters.items()):
            help_text = f"Count of {name.replace('_', ' ')}."
            yield CounterMetricFamily(f"firhook_{name}", help_text, value=count)
        sent, received = self._kernel.mesh_traffic()
        yield CounterMetricFamily(
            "firhook_mesh_sent_bytes", "Bytes sent to peers.", value=sent
        )
        yield CounterMetricFamily(
            "firhook_mesh_received_bytes", "Bytes received from peers.", value=received
        )
        yield from self._team_gauges()
        for (name, help_text), value in self._gauges.items():
            yield GaugeMetricFamily(f"firhook_{name}", help_text, value=value)

    def _wait_summary(self) -> Metric:
        stats = self._kernel.stats
        waits = SummaryMetricFamily(
            "firhook_request_wait_seconds",
            "Answered requests and the time they waited for a slot.",
            labels=["team", "class"],
        )
        for (team, klass), count in stats.answers.items():
            total_s = stats.wait_sums_s[team, klass]
            waits.add_metric([team, klass], count_value=count, sum_value=total_s)
        return waits

    def _team_gauges(self) -> Iterable[Metric]:
        running = GaugeMetricFamily(
            "firhook_requests_running", "Requests running here.", labels=["team"]
        )
        for team, count in self._kernel.account.running.items():
            running.add_metric([team], count)
        yield running
        waiting = GaugeMetricFamily(
            "firhook_requests_waiting", "Requests waiting here.", labels=["team"]
        )
        for team, count in self._kernel.load.waiting.items():
            waiting.add_metric([team], count)
        yield waiting


def render_metrics(kernel: Kernel, gauges: dict[tuple[str, str], float]) -> bytes:
    """Return all metrics as text, from a registry created for this call."""
    registry = CollectorRegistry(auto_describe=False)
    registry.register(_KernelCollector(kernel, gauges))
    return generate_latest(registry)


class MetricRoutes(Routes):
    """Serves the metrics, and counts stalls of the event loop."""

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        self.bus.subscribe(LoopStalled, self._on_stall)

    def ops(self) -> list[web.RouteDef]:
        """Return the metrics route."""
        return [web.get("/metrics", self._get_metrics)]

    def _on_stall(self, event: LoopStalled) -> None:
        self.kernel.stats.count("loop_stalls")
        self.kernel.stats.count("loop_stall_seconds", event.stall_s)

    async def _get_metrics(self, req: web.Request) -> web.Response:
        lead = await self.bus.ask(LeadView())
        age_s = await self.bus.ask(LogAge("config"))
        gauges: dict[tuple[str, str], float] = {
            ("members", "Peers heard lately."): len(await self.bus.ask(Members())),
            ("lead_held", "1 if this instance leads its zone."): lead.held,
            ("lead_epoch", "Epoch of the zone's lead."): lead.epoch,
            ("config_version", "Version of the lists in force."): (
                self.states.config.version
            ),
            ("log_age_seconds", "Since the log's end was last seen."): age_s,
            ("ready", "1 if ready to serve."): self.kernel.ready,
            ("stopping", "1 once a graceful stop has begun."): self.kernel.stopping,
        }
        return web.Response(
            body=render_metrics(self.kernel, gauges),
            headers={"Content-Type": CONTENT_TYPE},
        )
