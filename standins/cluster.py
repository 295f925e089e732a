"""Starts and stops a cell of separate processes on loopback.

Each process binds to port 0 and prints the port that it was assigned.  The
launcher then registers the process with the stand-in platform; a real platform
would know it already.
"""

import asyncio
import contextlib
import hashlib
import json
import os
import signal
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

import aiohttp
import attrs
import zmq

from standins.links import Link

ROOT = Path(__file__).resolve().parent.parent
OPERATOR_KEY = "fk_operator_of_the_demonstration"


@attrs.define(eq=False)
class Proc:
    """A process that the launcher started.

    :ivar ports: addresses that it listens on, by purpose.
    :ivar list_entry: its entry in the platform's instance list.
    :ivar settings: settings of an entry instance, by section.
    """

    name: str
    process: asyncio.subprocess.Process
    ports: dict[str, str]
    list_entry: dict[str, Any]
    settings: dict[str, dict[str, Any]] = attrs.field(factory=dict)

    def kill(self, sig: int = signal.SIGKILL) -> None:
        """Send a signal to this process."""
        with contextlib.suppress(ProcessLookupError):
            self.process.send_signal(sig)

    async def wait(self, timeout_s: float = 40.0) -> int:
        """Wait for the process to exit and return its exit status.

        :raises TimeoutError: if it does not exit within ``timeout_s``.
        """
        return await asyncio.wait_for(self.process.wait(), timeout_s)


class Cluster:
    """A platform, runners, workers and entry instances.

    :param zones: names of the availability zones.
    :param overrides: settings that differ from the defaults, by section.
    :param list_lag_s: seconds until a change shows in the instance list.
    :param links: whether zones reach the platform and each other through links
        that can be cut.
    """

    def __init__(
        self,
        zones: tuple[str, ...],
        overrides: dict[str, dict[str, Any]] | None = None,
        list_lag_s: float = 0.2,
        links: bool = False,
    ) -> None:
        self.zones = zones
        self.with_links = links
        self.links: dict[tuple[str, str], Link] = {}
        self.overrides = overrides or {}
        self.list_lag_s = list_lag_s
        self.procs: dict[str, Proc] = {}
        public, secret = zmq.curve_keypair()
        self.curve_keys = public.decode(), secret.decode()
        self.tmp = tempfile.TemporaryDirectory(prefix="firhook-")
        self.http: aiohttp.ClientSession | None = None

    async def __aenter__(self) -> "Cluster":
        self.http = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0),
            timeout=aiohttp.ClientTimeout(total=30),
        )
        await self._start_process(
            "platform", "-m", "standins.platform", str(self.list_lag_s)
        )
        if self.with_links:
            for zone in self.zones:
                await self._add_link(
                    zone, "platform", self.procs["platform"].ports["http"]
                )
        return self

    async def __aexit__(self, *exc: object) -> None:
        for proc in self.procs.values():
            if proc.process.returncode is None:
                proc.kill(signal.SIGCONT)
                proc.kill(signal.SIGKILL)
                await proc.wait()
        for link in self.links.values():
            await link.close()
        assert self.http is not None
        await self.http.close()
        self.tmp.cleanup()

    @property
    def platform_url(self) -> str:
        """Base address of the stand-in platform."""
        return f"http://{self.procs['platform'].ports['http']}"

    async def _start_process(
        self, name: str, *args: str, list_entry: Any = None
    ) -> Proc:
        log_path = Path(self.tmp.name) / f"{name}.log"
        env = process_env()
        with log_path.open("ab") as err:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                *args,
                stdout=asyncio.subprocess.PIPE,
                stderr=err,
                cwd=ROOT,
                env=env,
            )
        assert process.stdout is not None
        line = await asyncio.wait_for(process.stdout.readline(), 30)
        if not line:
            raise RuntimeError(f"{name} did not start:\n{log_path.read_text()[-3000:]}")
        proc = Proc(name, process, json.loads(line)["listening"], list_entry or {})
        self.procs[name] = proc
        return proc

    def log_text(self, name: str) -> str:
        """Return the log output of a process."""
        return (Path(self.tmp.name) / f"{name}.log").read_text()

    async def post_admin(self, path: str, data: Any) -> Any:
        """Post JSON to the stand-in platform and return its decoded response."""
        assert self.http is not None
        async with self.http.post(f"{self.platform_url}{path}", json=data) as resp:
            return await resp.json()

    async def update_instances(self, *procs: Proc) -> None:
        """Add or replace processes in the platform's instance list."""
        if self.with_links:
            for proc in procs:
                await self._link_other_zones(proc)
        await self.post_admin("/admin/instances", [p.list_entry for p in procs])

    async def _add_link(self, zone: str, name: str, target: str) -> str:
        link = self.links.get((zone, name))
        if link is None:
            link = self.links[zone, name] = Link(target)
            await link.start()
        link.target = target
        return link.address

    async def _link_other_zones(self, proc: Proc) -> None:
        """Give every other zone a separate link to a process."""
        entry = proc.list_entry
        for zone in self.zones:
            if zone != entry["zone"]:
                address = await self._add_link(zone, entry["name"], entry["address"])
                links = {zone: {entry["name"]: address}}
                await self.post_admin("/admin/links", links)

    def _links_crossing(self, zone: str) -> list[Link]:
        """Return the links between a zone and the platform or the other zones."""
        zones = {n: p.list_entry.get("zone") for n, p in self.procs.items()}
        return [
            link
            for (seen_from, name), link in self.links.items()
            if seen_from == zone or zones.get(name) == zone
        ]

    def cut_zone(self, zone: str, platform_only: bool = False) -> None:
        """Partition a zone from the platform and the other zones.

        :param platform_only: whether the zone still reaches the other zones.
        """
        if platform_only:
            self.links[zone, "platform"].cut()
            return
        for link in self._links_crossing(zone):
            link.cut()

    def heal_zone(self, zone: str) -> None:
        """Restore the links of a zone."""
        for link in self._links_crossing(zone):
            link.heal()

    async def add_runner(self, name: str, zone: str, service: str) -> Proc:
        """Start a runner and register it with the platform."""
        proc = await self._start_process(name, "-m", "standins.runner")
        proc.list_entry = {
            "name": name,
            "kind": "runner",
            "zone": zone,
            "service": service,
            "address": proc.ports["http"],
        }
        await self.update_instances(proc)
        return proc

    async def add_worker(self, name: str, zone: str, rack: str, **size: Any) -> Proc:
        """Start a worker and register it with the platform.

        :param size: resources that differ from the defaults.
        """
        proc = await self._start_process(name, "-m", "standins.worker", name)
        proc.list_entry = {
            "name": name,
            "kind": "worker",
            "zone": zone,
            "rack": rack,
            "address": proc.ports["http"],
            "cpus": 32.0,
            "memory_mb": 65536,
            **size,
        }
        await self.update_instances(proc)
        return proc

    def _log_url(self, zone: str) -> str:
        if not self.with_links:
            return self.platform_url
        return f"http://{self.links[zone, 'platform'].address}/z/{zone}"

    def settings(self, name: str, zone: str) -> dict[str, dict[str, Any]]:
        """Return the settings of an entry instance."""
        settings: dict[str, dict[str, Any]] = {
            "instance": {"name": name, "zone": zone, "zones": ", ".join(self.zones)},
            "listen": {
                "gateway": "127.0.0.1:0",
                "ops": "127.0.0.1:0",
                "peers": "127.0.0.1:0",
            },
            "platform": {"log_url": self._log_url(zone), "list_poll_s": 0.2},
            "mesh": {
                "curve_public": self.curve_keys[0],
                "curve_secret": self.curve_keys[1],
                "gossip_s": 0.2,
            },
            "keys": {
                "operator_digest": hashlib.sha256(OPERATOR_KEY.encode()).hexdigest()
            },
            "gateway": {"drain_lag_s": 0.3},
            "cell": {"lead_lease_s": 2, "sync_s": 0.3, "margin_s": 0.3},
        }
        for section, options in self.overrides.items():
            settings.setdefault(section, {}).update(options)
        return settings

    async def add_entry(self, name: str, zone: str, **changed: dict[str, Any]) -> Proc:
        """Start a firhookd process and register it with the platform.

        :param changed: settings of this instance that differ, by section.
        """
        settings = self.settings(name, zone)
        for section, options in changed.items():
            settings.setdefault(section, {}).update(options)
        path = Path(self.tmp.name) / f"{name}.ini"
        path.write_text(render_ini(settings))
        proc = await self._start_process(
            name, "-m", "firhook._daemon", "--config", str(path)
        )
        proc.settings = settings
        proc.list_entry = {
            "name": name,
            "kind": "entry",
            "zone": zone,
            "address": proc.ports["peers"],
        }
        await self.update_instances(proc)
        return proc

    async def call(
        self, proc: Proc, method: str, path: str, key: str = OPERATOR_KEY, **kw: Any
    ) -> tuple[int, Any]:
        """Call an entry instance; return the status and the decoded response."""
        assert self.http is not None
        headers = {"Authorization": f"Bearer {key}", **kw.pop("headers", {})}
        url = f"http://{proc.ports['gateway']}{path}"
        async with self.http.request(method, url, headers=headers, **kw) as resp:
            return resp.status, await resp.json(content_type=None)

    async def wait_ready(self, *procs: Proc, timeout_s: float = 20.0) -> None:
        """Wait until each instance is ready and its zone has a lead."""
        for proc in procs:
            await self.wait_until(proc, self._is_ready, timeout_s)

    async def _is_ready(self, proc: Proc) -> bool:
        status, data = await self.call(proc, "GET", "/v1/status")
        return status == 200 and data["ready"] and bool(data["lead"]["instance"])

    async def wait_until(self, proc: Proc, check: Any, timeout_s: float = 20.0) -> None:
        """Poll an asynchronous check of an instance until it returns true.

        :raises TimeoutError: if it does not within ``timeout_s``.
        """
        deadline = time.monotonic() + timeout_s
        while True:
            with contextlib.suppress(aiohttp.ClientError):
                if await check(proc):
                    return
            if time.monotonic() > deadline:
                raise TimeoutError(
                    f"{proc.name}: {check.__name__} not met within {timeout_s:g} s"
                )
            await asyncio.sleep(0.05)


def process_env() -> dict[str, str]:
    """Return an environment in which processes import from this source tree."""
    path = os.pathsep.join((str(ROOT / "src"), str(ROOT)))
    return {**os.environ, "PYTHONPATH": path, "PYTHONUNBUFFERED": "1"}


def render_ini(settings: dict[str, dict[str, Any]]) -> str:
    """Return settings as INI text."""
    lines = []
    for section, options in settings.items():
        lines.append(f"[{section}]")
        lines += [f"{option} = {value}" for option, value in options.items()]
    return "\n".join(lines) + "\n"
