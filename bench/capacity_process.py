"""What whole processes spend: real daemons against the stand-in platform."""

import asyncio
import os
import time
from collections.abc import Iterable
from pathlib import Path
from typing import Any

import aiohttp
import msgspec

from bench._registry import measure
from bench._slope import points
from firhook.model import Endpoint, running_digest
from firhook.platform.clients import Order, Report, StartOrder
from firhook.platform.http import http_platform
from standins.cluster import Cluster, Proc

ENTRIES = (2, 4, 8)
REQUESTS = (300, 600, 1200)
IDLE_S = 6.0
CONCURRENT = 8
_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PLANS = "[small]\nshare = 1\nlimit = 400\n"
TEAMS = "[lisboa]\nplan = small\n"


def cpu_s(proc: Proc) -> float:
    """Return the processor time in seconds that a process has used."""
    stat = Path(f"/proc/{proc.process.pid}/stat").read_text()
    fields = stat.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / _TICKS_PER_S


def rss_mb(proc: Proc) -> float:
    """Return the resident memory of a process in MB."""
    for line in Path(f"/proc/{proc.process.pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1024
    raise ValueError("no VmRSS line")


async def _metrics(cluster: Cluster, proc: Proc) -> dict[str, float]:
    """Return the daemon's own counters, summed over their labels."""
    assert cluster.http is not None
    async with cluster.http.get(f"http://{proc.ports['ops']}/metrics") as resp:
        text = await resp.text()
    sums: dict[str, float] = {}
    for line in text.splitlines():
        if line and not line.startswith("#"):
            name, _, value = line.rpartition(" ")
            name = name.partition("{")[0]
            sums[name] = sums.get(name, 0.0) + float(value)
    return sums


async def _start(cluster: Cluster, entries: int) -> list[Proc]:
    """Start instances with the settings that a real cell would have."""
    procs = [
        await cluster.add_entry(
            f"entry-{i}",
            cluster.zones[i % len(cluster.zones)],
            platform={"list_poll_s": 1.0},
            mesh={"gossip_s": 0.5},
            cell={"lead_lease_s": 6, "sync_s": 2, "margin_s": 1},
        )
        for i in range(entries)
    ]
    await cluster.wait_ready(*procs, timeout_s=40.0)
    await asyncio.sleep(2.0)
    return procs


async def _spread_s(cluster: Cluster, procs: list[Proc]) -> float:
    """Return the seconds from a change's acceptance until it is in force."""
    body = {"base": 0, "plans": PLANS, "teams": TEAMS}
    status, data = await cluster.call(procs[0], "POST", "/v1/config", json=body)
    if status != 200:
        raise RuntimeError(f"the lists were refused: {data}")
    accepted = time.monotonic()
    for proc in procs:

        async def in_force(proc: Proc) -> bool:
            answer = await cluster.call(proc, "GET", "/v1/config")
            return answer[1].get("version") == 1

        await cluster.until(proc, in_force)
    return time.monotonic() - accepted


async def _idle(entries: int) -> dict[str, float]:
    async with Cluster(("lisboa", "porto")) as cluster:
        procs = await _start(cluster, entries)
        before = [cpu_s(p) for p in procs]
        seen = await _metrics(cluster, procs[0])
        appends = (await cluster.admin("/admin/faults", {}))["appends"]
        at = time.monotonic()
        await asyncio.sleep(IDLE_S)
        took = time.monotonic() - at
        spent = [cpu_s(p) - b for p, b in zip(procs, before, strict=True)]
        appended = (await cluster.admin("/admin/faults", {}))["appends"] - appends
        now = await _metrics(cluster, procs[0])
        sent = "firhook_mesh_sent_bytes_total"
        return {
            "core": sum(spent) / entries / took * 100,
            "rss": max(rss_mb(p) for p in procs),
            "appends": appended / took / len(cluster.zones),
            "mesh": (now.get(sent, 0.0) - seen.get(sent, 0.0)) / took,
            "spread": await _spread_s(cluster, procs),
        }


@measure("capacity_process")
def capacity_process() -> Iterable[dict[str, Any]]:
    """Idle instances in two zones: what one more peer costs each."""
    runs = [asyncio.run(_idle(n)) for n in ENTRIES]
    for role, what, unit, key in (
        ("members", "idle instance among N", "% of a core", "core"),
        ("members", "idle instance among N", "MB resident, largest", "rss"),
        ("members", "idle instance among N", "bytes sent to peers a second", "mesh"),
        ("journal", "idle zone among N instances", "log appends a second", "appends"),
        ("config", "change in force at N instances", "s after acceptance", "spread"),
    ):
        yield points(role, what, unit, ENTRIES, [run[key] for run in runs])


async def _send(cluster: Cluster, proc: Proc, key: str, count: int) -> None:
    async def send_some(part: int) -> None:
        for i in range(part):
            path = f"/r/logbook/check?n={i}"
            status, data = await cluster.call(proc, "GET", path, key=key)
            if status != 200:
                raise RuntimeError(f"{path}: {status} {data}")

    await asyncio.gather(*(send_some(count // CONCURRENT) for _ in range(CONCURRENT)))


async def _gateway() -> tuple[list[float], list[float]]:
    """Return processor seconds and resident MB at each count of requests."""
    async with Cluster(("porto",)) as cluster:
        for i in range(2):
            await cluster.add_runner(f"runner-{i}", "porto", "logbook")
        [entry] = await _start(cluster, 1)
        await _spread_s(cluster, [entry])
        status, given = await cluster.call(
            entry, "POST", "/v1/keys", json={"team": "lisboa"}
        )
        if status != 201:
            raise RuntimeError(f"no key was given: {given}")
        await _send(cluster, entry, given["key"], CONCURRENT * 10)
        spent, resident = [], []
        for count in REQUESTS:
            before = cpu_s(entry)
            await _send(cluster, entry, given["key"], count)
            spent.append(cpu_s(entry) - before)
            resident.append(rss_mb(entry))
        return spent, resident


@measure("capacity_gateway")
def capacity_gateway() -> Iterable[dict[str, Any]]:
    """Short requests, eight at a time, from caller to runner and back."""
    spent, resident = asyncio.run(_gateway())
    values = [s * 1e6 for s in spent]
    yield points("gateway", "request", "us of processor time", REQUESTS, values)
    yield points("gateway", "request", "MB resident", REQUESTS, resident)


SYNCS = (200, 400, 800)
SYNC_TASKS = 10


#: Request line, status line and headers of one exchange with a worker, counted
#: by hand.
HTTP_BYTES = 380


def _sync_order(epoch: int, stamp: float, boot: str, tasks: int = SYNC_TASKS) -> Order:
    """Return the order of a quiet round: all that runs is renewed by digest."""
    refs = tuple((f"team-1/job-{i}", 0, 1) for i in range(tasks))
    return Order(
        epoch=epoch,
        not_after=stamp + 60.0,
        lease_s=60.0,
        boot=boot,
        renew_all=running_digest(refs),
    )


async def _syncs() -> list[float]:
    """Return the caller's processor seconds for each count of orders."""
    async with Cluster(("porto",)) as cluster, aiohttp.ClientSession() as session:
        proc = await cluster.add_worker("worker-1", "porto", "rack-1")
        address = proc.ports["http"]
        endpoint = Endpoint("worker-1", "worker", "porto", address)
        platform = http_platform(session, cluster.platform_url, 2.0, 2.0)
        workers = platform.workers
        looked = await workers.look(endpoint)
        stamp = looked.stamp
        starts = tuple(
            StartOrder(f"team-1/job-{i}", 0, 1, 1.0, 256, 0, 3600.0, True)
            for i in range(SYNC_TASKS)
        )
        first = Order(
            epoch=1,
            not_after=stamp + 60.0,
            lease_s=60.0,
            boot=looked.boot,
            start=starts,
        )
        await workers.sync(endpoint, first)
        spent = []
        for count in SYNCS:
            before = time.process_time()
            for _ in range(count):
                order = _sync_order(1, stamp, looked.boot)
                assert (await workers.sync(endpoint, order)).same
            spent.append(time.process_time() - before)
        await platform.endpoints.close()
        return spent


@measure("capacity_sync")
def capacity_sync() -> Iterable[dict[str, Any]]:
    """One order over HTTP that renews a worker's tasks by digest, and its report."""
    values = [s * 1e6 for s in asyncio.run(_syncs())]
    yield points("cell", "order to a worker", "us of processor time", SYNCS, values)
    held = (5, 10, 20)
    sizes = [_exchange_bytes(count) for count in held]
    yield points("cell", "order to a worker, per task", "bytes", held, sizes)


def _exchange_bytes(tasks: int) -> int:
    """Return the bytes of a quiet round's order and of its report."""
    report = Report("worker-1", 1.0, 1, "boot", (), same=True, brief=True)
    order = _sync_order(1, 0.0, "boot", tasks)
    return (
        len(msgspec.json.encode(order)) + len(msgspec.json.encode(report)) + HTTP_BYTES
    )


LISTED = (60, 300, 1900)


@measure("capacity_list")
def capacity_list() -> Iterable[dict[str, Any]]:
    """The platform's list of instances: what one more entry costs at each poll."""
    texts = []
    for count in LISTED:
        listed = [
            Endpoint(f"worker-{i:04}", "worker", "zone-3", "10.20.30.40:8080", "rack-9")
            for i in range(count)
        ]
        texts.append(msgspec.json.encode(listed))
    sizes = [len(t) for t in texts]
    yield points("members", "listed instance", "bytes at each poll", LISTED, sizes)
    spent = []
    for text in texts:
        before = time.process_time()
        for _ in range(20):
            msgspec.json.decode(text, type=tuple[Endpoint, ...], strict=False)
        spent.append((time.process_time() - before) / 20 * 1e6)
    yield points("members", "listed instance", "us at each poll", LISTED, spent)
