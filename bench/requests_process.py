"""Measures the request path through real processes."""

import asyncio
import os
import time
from collections.abc import Iterable
from pathlib import Path
from typing import Any

import attrs

from bench._load import Result, generate_load
from bench._registry import measure
from standins.cluster import Cluster, Proc

_TICKS = os.sysconf("SC_CLK_TCK")
_RATE = 150.0
_SECONDS = 6.0


@attrs.frozen(slots=True)
class Usage:
    """The resource usage of a process.

    :ivar cpu_s: CPU seconds since its start.
    :ivar rss_mb: resident memory in MB.
    :ivar at: when it was read, on the monotonic clock.
    """

    cpu_s: float
    rss_mb: float
    at: float


def read_usage(proc: Proc) -> Usage:
    """Read the resource usage of a process from ``/proc``."""
    root = Path(f"/proc/{proc.process.pid}")
    fields = (root / "stat").read_text().rpartition(")")[2].split()
    pages = int((root / "statm").read_text().split()[1])
    rss_mb = pages * os.sysconf("SC_PAGE_SIZE") / 1e6
    cpu_s = (int(fields[11]) + int(fields[12])) / _TICKS
    return Usage(cpu_s, rss_mb, time.monotonic())


def cpu_percent(before: Usage, after: Usage) -> float:
    """Return the CPU usage between two readings, in percent of a core."""
    return 100 * (after.cpu_s - before.cpu_s) / (after.at - before.at)


async def _configure(cluster: Cluster, entry: Proc) -> str:
    body = {
        "base": 0,
        "plans": "[p]\nshare = 1\nlimit = 1000\n",
        "teams": "[t]\nplan = p\n",
    }
    await cluster.call(entry, "POST", "/v1/config", json=body)
    _, created_key = await cluster.call(entry, "POST", "/v1/keys", json={"team": "t"})

    async def is_served(proc: Proc) -> bool:
        status, _ = await cluster.call(proc, "GET", "/r/s/x", key=created_key["key"])
        return status == 200

    await cluster.wait_until(entry, is_served)
    return str(created_key["key"])


async def _measure() -> tuple[Result, Result, list[Usage]]:
    async with Cluster(("z",)) as cluster:
        runners = [await cluster.add_runner(f"r{i}", "z", "s") for i in range(4)]
        entry = await cluster.add_entry("e", "z")
        await cluster.wait_ready(entry)
        key = await _configure(cluster, entry)
        headers = {"Authorization": f"Bearer {key}"}
        firhook_url = f"http://{entry.ports['gateway']}/r/s/quote?ms=5"
        direct_url = f"http://{runners[0].ports['http']}/quote?ms=5"
        await generate_load(firhook_url, _RATE, 1.0, headers)
        await generate_load(direct_url, _RATE, 1.0)
        usages = [read_usage(entry)]
        await asyncio.sleep(_SECONDS)
        usages.append(read_usage(entry))
        via_firhook = await generate_load(firhook_url, _RATE, _SECONDS, headers)
        usages.append(read_usage(entry))
        direct_result = await generate_load(direct_url, _RATE, _SECONDS)
        return via_firhook, direct_result, usages


@measure("requests_overhead")
def overhead() -> Iterable[dict[str, Any]]:
    """Measure the latency overhead and the resource usage of a daemon."""
    via_firhook, direct_result, (start, idle, loaded) = asyncio.run(_measure())
    for p in (50, 99):
        yield {
            "what": f"p{p} through firhookd against a direct call, {_RATE:g}/s",
            "unit": "ms",
            "firhook": round(via_firhook.latency_ms(p), 3),
            "direct": round(direct_result.latency_ms(p), 3),
            "overhead": round(
                via_firhook.latency_ms(p) - direct_result.latency_ms(p), 3
            ),
            "ratio": round(via_firhook.latency_ms(p) / direct_result.latency_ms(p), 3),
            "outcomes": dict(via_firhook.outcomes),
        }
    yield {
        "what": "an instance idle and under load",
        "rss_idle_mb": round(idle.rss_mb, 1),
        "rss_loaded_mb": round(loaded.rss_mb, 1),
        "cpu_idle_percent": round(cpu_percent(start, idle), 2),
        "cpu_loaded_percent": round(cpu_percent(idle, loaded), 2),
        "requests_a_second": _RATE,
        "target_rss_idle_mb": 60,
    }
