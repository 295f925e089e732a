"""firhook processes that use the model of the platform on the loopback address."""

import asyncio
import os
import signal
import sys
from pathlib import Path
from typing import Any

import aiohttp
import msgspec

from standins.model._http import HttpModel
from standins.model._ports import ReservedPorts

SRC = str(Path(__file__).parent.parent.parent / "src")
KEY = {"Authorization": "Bearer key-of-a", "Host": "jobs.example"}
TIMEOUT_S = 40.0


async def until(holds: Any, limit_s: float = TIMEOUT_S) -> None:
    """Wait until an asynchronous predicate returns true."""
    for _ in range(int(limit_s / 0.05)):
        if await holds():
            return
        await asyncio.sleep(0.05)
    raise AssertionError("condition not met in time")


class Process:
    """A firhookd process.

    :ivar lines: the events that it logged.
    """

    def __init__(self, settings: Path, ports: tuple[int, ...]) -> None:
        self.settings, self.ports = settings, ports
        self.lines: list[dict[str, Any]] = []

    async def start(self) -> None:
        """Start the process."""
        env = {**os.environ, "FIRHOOK_SETTINGS": str(self.settings), "PYTHONPATH": SRC}
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "firhook.daemon",
            env=env,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.DEVNULL,
        )
        self._reading = asyncio.create_task(self._read())

    async def _read(self) -> None:
        assert self.process.stdout is not None
        async for line in self.process.stdout:
            try:
                self.lines.append(msgspec.json.decode(line))
            except msgspec.DecodeError as exc:
                # Keep reading: if this task ended, the pipe would fill up.
                self.lines.append({"event": "unreadable", "raw": repr((exc, line))})

    def stop_reading(self) -> None:
        """Stop reading the process's log from the pipe."""
        self._reading.cancel()

    def resume_reading(self) -> None:
        """Start reading the process's log again."""
        self._reading = asyncio.create_task(self._read())

    def leads(self) -> bool:
        """Return whether the process leads, according to its log."""
        words = [line["event"] for line in self.lines]
        words = [w for w in words if w in ("lead.began", "lead.ended")]
        return bool(words) and words[-1] == "lead.began"

    def signal(self, sig: signal.Signals) -> None:
        """Send the process a signal."""
        self.process.send_signal(sig)

    async def end(self) -> None:
        """Kill the process if it still runs."""
        if self.process.returncode is None:
            self.process.kill()
        await self.process.wait()
        self._reading.cancel()


class Processes:
    """Several instances, and a caller that retries at another instance on errors."""

    def __init__(self, folder: Path, count: int) -> None:
        self.model = HttpModel()
        self._folder, self._count = folder, count
        self._ports = ReservedPorts()
        self.all: list[Process] = []

    async def __aenter__(self) -> "Processes":
        """Start the platform and the instances and wait until they serve."""
        await self.model.start()
        self.session = aiohttp.ClientSession()
        for i in range(self._count):
            ports = self._ports.take(3)
            path = self.model.settings(self._folder, f"i{i}", ports)
            process = Process(path, ports)
            await process.start()
            self.all.append(process)
        await until(self.is_serving)
        return self

    async def __aexit__(self, *exc: object) -> None:
        """Stop the instances and the platform."""
        await self.session.close()
        for process in self.all:
            await process.end()
        self._ports.close()
        await self.model.stop()

    async def is_serving(self) -> bool:
        """Return whether all instances are ready and one leads."""
        answers = [await self.is_ready(p) for p in self.all]
        return all(answers) and any(p.leads() for p in self.all)

    async def is_ready(self, process: Process) -> bool:
        """Return whether an instance's readiness probe succeeds."""
        try:
            url = f"http://127.0.0.1:{process.ports[1]}/-/readiness"
            async with self.session.get(url) as resp:
                return resp.status == 200
        except aiohttp.ClientError:
            return False

    async def call(
        self, process: Process, method: str, path: str, body: bytes | None = None
    ) -> tuple[int, bytes]:
        """Send a request; return status and body, status 0 if there was no answer."""
        url = f"http://127.0.0.1:{process.ports[0]}{path}"
        try:
            async with self.session.request(
                method, url, data=body, headers=KEY
            ) as resp:
                return resp.status, await resp.read()
        except aiohttp.ClientError:
            return 0, b""

    async def submit(self, job: str, count: int = 4) -> None:
        """Submit a job, with retries until it is accepted."""
        steps = [{"count": count, "millicpus": 1000, "task_memory_mb": 100}]
        body = msgspec.json.encode({"specification": "x", "steps": steps})
        for _ in range(20):
            for process in self.all:
                status, _ = await self.call(process, "POST", f"/plan/{job}", body)
                if status == 200:
                    return
            await asyncio.sleep(0.2)
        raise AssertionError(f"job {job} was not accepted")

    async def state(self, job: str) -> str | None:
        """Return the status of a job at the first instance that answers."""
        for process in self.all:
            status, body = await self.call(process, "GET", f"/plan/{job}")
            if status == 200:
                return msgspec.json.decode(body)["state"]
        return None

    async def completed(self, jobs: list[str]) -> bool:
        """Return whether all jobs are completed."""
        return all([await self.state(job) == "completed" for job in jobs])
