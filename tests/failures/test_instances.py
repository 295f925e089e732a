"""Real processes over the model of the platform, on loopback."""

import asyncio
import os
import signal
import socket
import sys
from pathlib import Path

import aiohttp
import msgspec

from standins.model import HttpModel

SRC = str(Path(__file__).parent.parent.parent / "src")
KEY = {"Authorization": "Bearer key-of-a", "Host": "jobs.example"}
LIMIT_S = 40.0


def free_ports(count):
    """Return ports that nobody listens on now."""
    socks = [socket.socket() for _ in range(count)]
    for sock in socks:
        sock.bind(("127.0.0.1", 0))
    ports = [sock.getsockname()[1] for sock in socks]
    for sock in socks:
        sock.close()
    return ports


class Process:
    """A firhookd."""

    def __init__(self, settings, ports):
        self.settings, self.ports = settings, ports
        self.process = None
        self.lines = []

    async def start(self):
        env = {**os.environ, "FIRHOOK_SETTINGS": str(self.settings), "PYTHONPATH": SRC}
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "firhook.daemon",
            env=env,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.DEVNULL,
        )
        self.reading = asyncio.create_task(self._read())

    async def _read(self):
        async for line in self.process.stdout:
            self.lines.append(msgspec.json.decode(line))

    def leads(self):
        """Whether its last word on leading was that it does."""
        words = [r["event"] for r in self.lines if r["event"].startswith("lead.")]
        begun = [w for w in words if w in ("lead.began", "lead.ended")]
        return bool(begun) and begun[-1] == "lead.began"

    def kill(self, sig=signal.SIGKILL):
        self.process.send_signal(sig)


async def until(holds, limit_s=LIMIT_S):
    for _ in range(int(limit_s / 0.05)):
        if await holds():
            return
        await asyncio.sleep(0.05)
    raise AssertionError("not in time")


class Fleet:
    """Some instances, and a caller who tries another one on any trouble."""

    def __init__(self, folder, count):
        self.model = HttpModel()
        self.folder, self.count = folder, count

    async def __aenter__(self):
        await self.model.start()
        self.processes = []
        for i in range(self.count):
            ports = tuple(free_ports(3))
            path = self.model.settings(self.folder, f"i{i}", ports)
            process = Process(path, ports)
            await process.start()
            self.processes.append(process)
        self.session = aiohttp.ClientSession()
        await until(self.all_ready)
        return self

    async def __aexit__(self, *exc):
        await self.session.close()
        for process in self.processes:
            if process.process.returncode is None:
                process.kill()
            await process.process.wait()
            process.reading.cancel()
        await self.model.stop()

    async def all_ready(self):
        answers = [await self.ready(p) for p in self.processes]
        return all(answers) and any(p.leads() for p in self.processes)

    async def ready(self, process):
        try:
            url = f"http://127.0.0.1:{process.ports[1]}/-/readiness"
            async with self.session.get(url) as resp:
                return resp.status == 200
        except aiohttp.ClientError:
            return False

    async def call(self, process, method, path, body=None):
        url = f"http://127.0.0.1:{process.ports[0]}{path}"
        try:
            async with self.session.request(
                method, url, data=body, headers=KEY
            ) as resp:
                return resp.status, await resp.read()
        except aiohttp.ClientError:
            return 0, b""

    async def submit(self, job, count=4):
        steps = [{"count": count, "millicpus": 1000, "task_memory_mb": 100}]
        body = msgspec.json.encode({"specification": "x", "steps": steps})
        for _ in range(20):
            for process in self.processes:
                status, _ = await self.call(process, "POST", f"/plan/{job}", body)
                if status == 200:
                    return
            await asyncio.sleep(0.2)
        raise AssertionError("not accepted")

    async def state(self, job):
        for process in self.processes:
            status, body = await self.call(process, "GET", f"/plan/{job}")
            if status == 200:
                return msgspec.json.decode(body)["state"]
        return None


def test_jobs_survive_the_lead_being_killed(tmp_path):
    """The instance that leads the cell dies in the middle of its work.

    Another one takes the lead.  A user sees every accepted job end, and no task
    runs twice.
    """

    async def play():
        async with Fleet(tmp_path, 3) as fleet:
            jobs = [f"{i:016x}" for i in range(12)]
            for job in jobs[:8]:
                await fleet.submit(job)
            lead = next(p for p in fleet.processes if p.leads())
            lead.kill()
            await lead.process.wait()
            for job in jobs[8:]:
                await fleet.submit(job)

            async def done():
                return all([await fleet.state(j) == "completed" for j in jobs])

            await until(done)
            assert fleet.model.checks.broken == []

    asyncio.run(play())


def test_a_stopped_instance_finishes_what_it_was_asked_and_ends_with_0(tmp_path):
    """An instance is told to stop while callers are connected to it.

    It must leave the balancer's rotation first and go on serving meanwhile; a
    user must not see a connection cut.
    """

    async def play():
        async with Fleet(tmp_path, 2) as fleet:
            process = fleet.processes[0]
            await fleet.submit("00000000000000aa")
            process.kill(signal.SIGTERM)

            async def not_ready():
                return not await fleet.ready(process)

            await until(not_ready, 3.0)
            status, _ = await fleet.call(process, "GET", "/plan/00000000000000aa")
            assert status == 200
            assert await asyncio.wait_for(process.process.wait(), 6.0) == 0
            events = {line["event"] for line in process.lines}
            assert {"instance.draining", "instance.stopped"} <= events

    asyncio.run(play())


def test_bad_requests_are_refused_at_once_with_a_reason(tmp_path):
    async def play():
        async with Fleet(tmp_path, 1) as fleet:
            process = fleet.processes[0]
            job = "/plan/00000000000000ab"
            cases = {
                ("POST", "/nowhere/00000000000000ab", b"{}"): 404,
                ("POST", "/plan/short", b"{}"): 404,
                ("POST", job, b"not json"): 400,
                ("POST", job, b'{"specification":"x","steps":[]}'): 400,
                ("POST", job, b'{"specification":"x","steps":[{"count":-1}]}'): 400,
                ("POST", job, b"x" * 300000): 413,
                ("GET", job, None): 410,
                ("DELETE", job, None): 410,
                ("PATCH", job, None): 400,
            }
            for (method, path, body), expected in cases.items():
                status, _ = await fleet.call(process, method, path, body)
                assert status == expected, (method, path)
            url = f"http://127.0.0.1:{process.ports[0]}{job}"
            wrong = {**KEY, "Authorization": "Bearer other"}
            async with fleet.session.get(url, headers=wrong) as resp:
                assert resp.status == 401
            status, body = await fleet.call(process, "GET", "/plan/")
            assert (status, body) == (200, b'{"pending":0}')

    asyncio.run(play())
