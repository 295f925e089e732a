"""Renders an instance's metrics in the Prometheus text format."""

from collections.abc import Iterable

from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    Metric,
    SummaryMetricFamily,
)
from prometheus_client.registry import Collector

from firhook.clock import boot_time
from firhook.instance import Instance
from firhook.services._events import WaitingTotals

_QUANTILES = (50.0, 90.0, 99.0, 100.0)


def render_metrics(
    instance: Instance, replica_age_s: float, waiting: WaitingTotals | None
) -> bytes:
    """Return all metrics of an instance.

    :param replica_age_s: the age of its replica, in seconds.
    :param waiting: what waits, if it leads.
    """
    registry = CollectorRegistry(auto_describe=False)
    registry.register(_Collector(instance, replica_age_s, waiting))
    return generate_latest(registry)


class _Collector(Collector):
    """Collects the metrics of an instance at each scrape."""

    def __init__(
        self, instance: Instance, replica_age_s: float, waiting: WaitingTotals | None
    ) -> None:
        self._instance = instance
        self._replica_age_s = replica_age_s
        self._waiting = waiting

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
            "jobs_bytes": self._instance.replica.jobs_size.memory_bytes,
            "jobs_known": len(self._instance.replica.jobs),
            "jobs_steps": self._instance.replica.jobs_size.steps,
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
        if self._waiting is not None:
            yield from _waiting_families(self._waiting)


def _waiting_families(waiting: WaitingTotals) -> Iterable[Metric]:
    steps = GaugeMetricFamily(
        "firhook_waiting_steps",
        "Steps that are ready and have tasks that no worker runs.",
        labels=["reason"],
    )
    longest = GaugeMetricFamily(
        "firhook_waiting_longest_seconds",
        "The longest wait of these steps.",
        labels=["reason"],
    )
    overdue = GaugeMetricFamily(
        "firhook_waiting_overdue_steps",
        "Steps that have waited longer than their reason explains.",
        labels=["reason"],
    )
    unknown = GaugeMetricFamily(
        "firhook_jobs_unknown",
        "Accepted, unfinished jobs that the lead's job table lacks.",
        labels=["reason"],
    )
    for reason, total in waiting.steps.items():
        steps.add_metric([reason], total.steps)
        longest.add_metric([reason], total.longest_s)
        overdue.add_metric([reason], total.overdue)
    for reason, count in waiting.unknown_jobs.items():
        unknown.add_metric([reason], count)
    yield from (steps, longest, overdue, unknown)
