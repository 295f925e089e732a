"""In-process fakes of the platform, for tests of a single daemon."""

import asyncio
import contextlib
import hashlib
import time
from collections import defaultdict
from collections.abc import Mapping, Sequence
from typing import Any

import zmq

from firhook.model import Endpoint
from firhook.platform.clients import (
    EndpointClient,
    EndpointResponse,
    InstanceList,
    LogEntry,
    LogPage,
    LogService,
    Order,
    Platform,
    Report,
    TaskReport,
    WorkerClient,
)
from firhook.settings import Settings, parse_settings

OPERATOR_KEY = "fk_operator_of_the_fakes"


class FakeLog(LogService):
    """An in-memory log that counts appends and bytes."""

    def __init__(self) -> None:
        self.streams: dict[str, list[bytes]] = defaultdict(list)
        self.appends = 0
        self.bytes = 0
        self._appended = asyncio.Condition()

    async def append(self, stream: str, payloads: Sequence[bytes]) -> int:
        """Append records; see :class:`LogService`."""
        async with self._appended:
            first = len(self.streams[stream])
            self.streams[stream] += payloads
            self.appends += 1
            self.bytes += sum(map(len, payloads))
            self._appended.notify_all()
        return first

    async def read(self, stream: str, offset: int, wait_s: float) -> LogPage:
        """Read records; see :class:`LogService`."""
        records = self.streams[stream]
        async with self._appended:
            if offset >= len(records):
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(self._appended.wait(), wait_s)
        part = records[offset : offset + 1000]
        entries = tuple(LogEntry(offset + i, data) for i, data in enumerate(part))
        return LogPage(entries, len(records))


class FakeInstanceList(InstanceList):
    """An instance list without lag."""

    def __init__(self, endpoints: Sequence[Endpoint]) -> None:
        self.endpoints = tuple(endpoints)

    async def list(self) -> tuple[Endpoint, ...]:
        """Return the list; see :class:`InstanceList`."""
        return self.endpoints


class FakeWorkers(WorkerClient):
    """Workers that accept every order and respond at once.

    :ivar tasks: states of task attempts, by worker.
    """

    def __init__(self) -> None:
        self.tasks: dict[str, dict[tuple[str, int, int], str]] = defaultdict(dict)
        self.order_count = 0

    @property
    def running(self) -> int:
        """Number of task attempts that all workers hold."""
        return sum(len(t) for t in self.tasks.values())

    async def poll(self, worker: Endpoint) -> Report:
        """Return the tasks of a worker; see :class:`WorkerClient`."""
        tasks = tuple(
            TaskReport(*ref, state) for ref, state in self.tasks[worker.name].items()
        )
        return Report(worker.name, time.monotonic(), 1, "boot", tasks)

    async def send_order(self, worker: Endpoint, order: Order) -> Report:
        """Start and forget tasks as ordered; see :class:`WorkerClient`."""
        self.order_count += 1
        tasks = self.tasks[worker.name]
        for start in order.start:
            tasks[start.job_id, start.index, start.attempt] = "running"
        for ref in order.forget:
            tasks.pop(ref, None)
        return await self.poll(worker)


class FakeEndpoints(EndpointClient):
    """Runners that respond ``ok`` at once."""

    async def send(
        self,
        endpoint: Endpoint,
        method: str,
        path: str,
        headers: Mapping[str, str],
        body: bytes,
        timeout_s: float,
    ) -> EndpointResponse:
        """Send a request; see :class:`EndpointClient`."""
        return EndpointResponse(200, (("Content-Type", "text/plain"),), b"ok")

    async def close(self) -> None:
        """Do nothing; there is no connection to close."""


def fake_platform(endpoints: Sequence[Endpoint]) -> Platform:
    """Return a platform that consists of fakes."""
    return Platform(
        FakeLog(), FakeInstanceList(endpoints), FakeWorkers(), FakeEndpoints()
    )


def minimal_settings(
    name: str = "entry-1", *, log_poll_s: float = 5.0, **options: Any
) -> Settings:
    """Return the settings of a single instance in one zone on loopback.

    :param options: options of the section ``[cell]``.
    """
    public, secret = zmq.curve_keypair()
    digest = hashlib.sha256(OPERATOR_KEY.encode()).hexdigest()
    cell = "\n".join(f"{option} = {value}" for option, value in options.items())
    return parse_settings(
        f"""
[instance]
name = {name}
zone = porto
zones = porto
instances_expected = 1
[listen]
gateway = 127.0.0.1:0
ops = 127.0.0.1:0
peers = 127.0.0.1:0
[platform]
log_url = http://127.0.0.1:9
log_poll_s = {log_poll_s}
[mesh]
curve_public = {public.decode()}
curve_secret = {secret.decode()}
[keys]
operator_digest = {digest}
[cell]
{cell}
"""
    )
