"""Measures of the request path through real processes."""

import asyncio
import os
import time
from collections.abc import Iterable
from pathlib import Path
from typing import Any

import attrs

from bench._load import Result, offer
from bench._registry import measure
from standins.cluster import Cluster, Proc

_TICKS = os.sysconf("SC_CLK_TCK")
_RATE = 150.0
_SECONDS = 6.0


@attrs.frozen(slots=True)
class Usage:
    """What a process used: CPU seconds so far, and resident memory in MB."""

    cpu_s: float
    rss_mb: float
    at: float


def usage(proc: Proc) -> Usage:
    """Read a process's usage."""
    root = Path(f"/proc/{proc.process.pid}")
    fields = (root / "stat").read_text().rpartition(")")[2].split()
    pages = int((root / "statm").read_text().split()[1])
    rss_mb = pages * os.sysconf("SC_PAGE_SIZE") / 1e6
    cpu_s = (int(fields[11]) + int(fields[12])) / _TICKS
    return Usage(cpu_s, rss_mb, time.monotonic())


def cores(before: Usage, after: Usage) -> float:
    """Return the part of a core used between two readings, in percent."""
    return 100 * (after.cpu_s - before.cpu_s) / (after.at - before.at)


async def _set_up(cluster: Cluster, entry: Proc) -> str:
    body = {
        "base": 0,
        "plans": "[p]\nshare = 1\nlimit = 1000\n",
        "teams": "[t]\nplan = p\n",
    }
    await cluster.call(entry, "POST", "/v1/config", json=body)
    _, given = await cluster.call(entry, "POST", "/v1/keys", json={"team": "t"})

    async def works(proc: Proc) -> bool:
        status, _ = await cluster.call(proc, "GET", "/r/s/x", key=given["key"])
        return status == 200

    await cluster.wait_until(entry, works)
    return str(given["key"])


async def _measure() -> tuple[Result, Result, list[Usage]]:
    async with Cluster(("z",)) as cluster:
        runners = [await cluster.add_runner(f"r{i}", "z", "s") for i in range(4)]
        entry = await cluster.add_entry("e", "z")
        await cluster.wait_ready(entry)
        key = await _set_up(cluster, entry)
        headers = {"Authorization": f"Bearer {key}"}
        through = f"http://{entry.ports['gateway']}/r/s/quote?ms=5"
        direct = f"http://{runners[0].ports['http']}/quote?ms=5"
        await offer(through, _RATE, 1.0, headers)
        await offer(direct, _RATE, 1.0)
        uses = [usage(entry)]
        await asyncio.sleep(_SECONDS)
        uses.append(usage(entry))
        ours = await offer(through, _RATE, _SECONDS, headers)
        uses.append(usage(entry))
        plain = await offer(direct, _RATE, _SECONDS)
        return ours, plain, uses


@measure("requests_overhead")
def overhead() -> Iterable[dict[str, Any]]:
    """Overhead of a request through a daemon, and what the daemon uses."""
    ours, plain, (start, idle, loaded) = asyncio.run(_measure())
    for p in (50, 99):
        yield {
            "what": f"p{p} through firhookd against a direct call, {_RATE:g}/s",
            "unit": "ms",
            "firhook": round(ours.ms(p), 3),
            "direct": round(plain.ms(p), 3),
            "overhead": round(ours.ms(p) - plain.ms(p), 3),
            "ratio": round(ours.ms(p) / plain.ms(p), 3),
            "outcomes": dict(ours.outcomes),
        }
    yield {
        "what": "an instance idle and under load",
        "rss_idle_mb": round(idle.rss_mb, 1),
        "rss_loaded_mb": round(loaded.rss_mb, 1),
        "cpu_idle_percent": round(cores(start, idle), 2),
        "cpu_loaded_percent": round(cores(idle, loaded), 2),
        "requests_a_second": _RATE,
        "target_rss_idle_mb": 60,
    }
