"""Serves this instance's metrics to operators."""

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

from firhook._sockets import open_listening_socket
from firhook.clock import boot_time
from firhook.errors import AddressUnusableError
from firhook.instance import Instance, InstanceService, register_service
from firhook.logs import log
from firhook.services._events import ReplicaAge

#: The metrics port that the deployment declares.
METRICS_PORT = 9464
_PATH = "/metrics"
_QUANTILES = (50.0, 90.0, 99.0, 100.0)


class _Collector(Collector):
    """Collects the metrics of an instance at each scrape."""

    def __init__(self, instance: Instance, replica_age_s: float) -> None:
        self._instance = instance
        self._replica_age_s = replica_age_s

    def collect(self) -> Iterable[Metric]:
        """Return all metrics."""
        meters = self._instance.meters
        for name, counter in sorted(meters.counters.items()):
            family = CounterMetricFamily(f"firhook_{name}", name, labels=["kind"])
            for label, count in counter.items():
                family.add_metric([label], count)
            yield family
        for name, histograms in sorted(meters.histograms.items()):
            family = SummaryMetricFamily(
                f"firhook_{name}_seconds", name, labels=["kind"]
            )
            gauge = GaugeMetricFamily(
                f"firhook_{name}_quantile_seconds", name, labels=["kind", "quantile"]
            )
            for label, hist in histograms.items():
                total = hist.get_total_count()
                mean_s = hist.get_mean_value() / 1e6
                family.add_metric([label], count_value=total, sum_value=mean_s * total)
                for q in _QUANTILES:
                    value = hist.get_value_at_percentile(q) / 1e6
                    gauge.add_metric([label, f"{q / 100:g}"], value)
            yield family
            yield gauge
        calls = CounterMetricFamily(
            "firhook_store_calls", "Calls to the store.", labels=["call"]
        )
        for label, count in self._instance.store.calls.items():
            calls.add_metric([label], count)
        yield calls
        view = self._instance.config
        gauges = {
            "config_age_seconds": min(boot_time() - view.read_at, 1e9),
            "config_version": view.config.version if view.config else 0,
            "jobs_known": len(self._instance.replica.jobs),
            "replica_age_seconds": min(self._replica_age_s, 1e9),
        }
        for name, value in sorted(gauges.items()):
            yield GaugeMetricFamily(f"firhook_{name}", name, value=value)
        drains = GaugeMetricFamily(
            "firhook_zone_drained_seconds",
            "Seconds since a zone was drained, at most.",
            labels=["zone"],
        )
        for zone, drain in sorted(view.drained_zones.by_zone.items()):
            drains.add_metric([zone], min(boot_time() - drain.after, 1e9))
        yield drains


@register_service("metrics")
class Metrics(InstanceService):
    """Serves the metrics endpoint."""

    def register_handlers(self) -> None:
        """Initialize without a listening socket."""
        self._runner: web.ServerRunner | None = None

    async def on_started(self) -> None:
        """Listen on the metrics port."""
        self._runner = web.ServerRunner(web.Server(self._serve, access_log=None))
        await self._runner.setup()
        try:
            sock = open_listening_socket(self.settings.ip, METRICS_PORT)
        except AddressUnusableError as exc:
            # An instance can serve callers without metrics, so this is not fatal.
            log("metrics.unavailable", level="error", error=str(exc))
            return
        await web.SockSite(self._runner, sock).start()

    async def _serve(self, req: web.BaseRequest) -> web.Response:
        if req.path != _PATH:
            return web.Response(status=404)
        registry = CollectorRegistry(auto_describe=False)
        replica_age_s = await self.bus.ask(ReplicaAge())
        registry.register(_Collector(self.instance, replica_age_s))
        return web.Response(body=generate_latest(registry), content_type="text/plain")

    async def on_stop(self) -> None:
        """Close the socket."""
        if self._runner is not None:
            await self._runner.cleanup()
