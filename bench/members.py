"""Measures the cost of membership: traffic, log appends and CPU time."""

import asyncio
import time
from collections.abc import Iterable
from typing import Any

import zmq

from bench._registry import measure
from firhook._kernel import Kernel
from firhook._settings import parse_settings
from firhook.errors import NotReadyError
from firhook.events import Append
from firhook.model import Endpoint, Row, RowsChanged
from firhook.platform.clients import (
    InstanceList,
    LogEntry,
    LogPage,
    LogService,
    Platform,
)
from firhook.roles._members import TRANSPORT_BYTES

TEAMS = 120
RUN_S = 12.0
BUDGET_BYTES_PER_S = 14_000


class MemoryLog(LogService):
    """The platform's log, in memory."""

    def __init__(self) -> None:
        self._streams: dict[str, list[bytes]] = {}
        self._appended = asyncio.Condition()
        self.appends = 0

    async def append(self, stream: str, payloads: Any) -> int:
        """Append records atomically; see :meth:`LogService.append`."""
        async with self._appended:
            records = self._streams.setdefault(stream, [])
            first = len(records)
            records += [bytes(p) for p in payloads]
            self._appended.notify_all()
        self.appends += 1
        return first

    async def read(self, stream: str, offset: int, wait_s: float) -> LogPage:
        """Return the records from an offset on; see :meth:`LogService.read`."""
        deadline = time.monotonic() + wait_s
        records = self._streams.setdefault(stream, [])
        async with self._appended:
            while len(records) <= offset and time.monotonic() < deadline:
                remaining_s = deadline - time.monotonic()
                try:
                    await asyncio.wait_for(
                        self._appended.wait(), max(remaining_s, 0.001)
                    )
                except TimeoutError:
                    break
        page = records[offset : offset + 1000]
        entries = tuple(LogEntry(offset + i, p) for i, p in enumerate(page))
        return LogPage(entries, len(records))


class StaticInstanceList(InstanceList):
    """An instance list with the instances of this process."""

    def __init__(self) -> None:
        self.entries: tuple[Endpoint, ...] = ()

    async def list(self) -> tuple[Endpoint, ...]:
        """Return the list; see :meth:`InstanceList.list`."""
        return self.entries


def _settings(
    name: str, zone: str, zones: list[str], curve_keys: tuple[str, str]
) -> Any:
    return parse_settings(
        f"[instance]\nname = {name}\nzone = {zone}\nzones = {', '.join(zones)}\n"
        "instances_expected = 63\n"
        "[listen]\ngateway = 127.0.0.1:0\nops = 127.0.0.1:0\npeers = 127.0.0.1:0\n"
        "[platform]\nlog_url = http://127.0.0.1:1\nappend_budget_per_s = 1000\n"
        f"[mesh]\ncurve_public = {curve_keys[0]}\ncurve_secret = {curve_keys[1]}\n"
        f"[keys]\noperator_digest = {'0' * 64}\n"
    )


class MemberCluster:
    """The journal and members roles of several instances, with real sockets."""

    def __init__(self, count: int, zones: int) -> None:
        names = [f"zone{i}" for i in range(zones)]
        public, secret = zmq.curve_keypair()
        curve_keys = public.decode(), secret.decode()
        self.log, self.instance_list = MemoryLog(), StaticInstanceList()
        platform = Platform(self.log, self.instance_list, None, None)  # type: ignore[arg-type]
        self.kernels = [
            Kernel(
                _settings(f"i{i:03}", names[i % zones], names, curve_keys),
                platform,
                "x",
            )
            for i in range(count)
        ]

    async def start(self) -> None:
        """Start the roles and publish the plans and teams."""
        for kernel in self.kernels:
            await kernel.roles["journal"].start()
            await kernel.roles["members"].start()
        self.instance_list.entries = tuple(
            Endpoint(k.cfg.name, "entry", k.cfg.zone, k.ports["peers"])
            for k in self.kernels
        )
        rows = [Row("plans", "p", {"share": "1", "limit": "2000"})]
        rows += [Row("teams", f"team{i:03}", {"plan": "p"}) for i in range(TEAMS)]
        query = Append("config", RowsChanged(0, tuple(rows)))
        while True:
            try:
                await self.kernels[0].bus.ask(query)
                return
            except NotReadyError:
                await asyncio.sleep(0.1)

    async def stop(self) -> None:
        """Stop the roles."""
        for kernel in self.kernels:
            await kernel.roles["members"].stop()
        for kernel in self.kernels:
            await kernel.roles["journal"].stop()

    def set_demand(self, teams: int) -> None:
        """Set running requests of some teams at each instance."""
        for i, kernel in enumerate(self.kernels):
            for t in range(teams):
                kernel.account.running[f"team{t:03}"] = 1 + (i + t) % 5

    def traffic_bytes(self) -> list[int]:
        """Return the bytes sent and received by each instance, transport included."""
        counts = [k.roles["members"]._mesh.counts for k in self.kernels]  # type: ignore[attr-defined]
        return [
            c.sent_bytes + c.received_bytes + (c.sent + c.received) * TRANSPORT_BYTES
            for c in counts
        ]


async def _measure_cluster(count: int, zones: int, teams: int) -> dict[str, Any]:
    cluster = MemberCluster(count, zones)
    await cluster.start()
    await asyncio.sleep(8.0)
    cluster.set_demand(teams)
    await asyncio.sleep(4.0)
    before, appends = cluster.traffic_bytes(), cluster.log.appends
    cpu, started_at = time.process_time(), time.monotonic()
    await asyncio.sleep(RUN_S)
    elapsed_s = time.monotonic() - started_at
    cpu_s = time.process_time() - cpu
    rates = [
        (b - a) / elapsed_s
        for a, b in zip(before, cluster.traffic_bytes(), strict=True)
    ]
    gossip_interval_s = max(k.roles["members"]._every_s for k in cluster.kernels)  # type: ignore[attr-defined]
    result = {
        "instances": count,
        "zones": zones,
        "teams": teams,
        "bytes_per_s_mean": round(sum(rates) / count),
        "bytes_per_s_max": round(max(rates)),
        "of_budget_max": round(max(rates) / BUDGET_BYTES_PER_S, 3),
        "cpu_percent_per_instance": round(100 * cpu_s / elapsed_s / count, 2),
        "appends_per_s_all": round((cluster.log.appends - appends) / elapsed_s, 2),
        "gossip_every_s": round(gossip_interval_s, 2),
    }
    await cluster.stop()
    return result


@measure("members_traffic")
def traffic() -> Iterable[dict[str, Any]]:
    """Measure the traffic of an instance by number of instances, zones and teams."""
    for count, zones in ((3, 1), (9, 1), (9, 4), (21, 7)):
        for teams in (0, TEAMS):
            yield asyncio.run(_measure_cluster(count, zones, teams))
