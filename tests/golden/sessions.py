"""Runs complete sessions of a small cell in one process, in virtual time.

The kernels and their roles are real.  Fakes replace the log, the instance list, the
runners, the sockets between instances and the sockets to callers.  The workers are
those of the stand-in.  The event loop jumps to its next timer, so a session does not
wait for real time and is deterministic.  The transcript records, in order, what passes
the interfaces.
"""

import asyncio
import contextlib
import hashlib
import itertools
import json
import logging
import random
from collections.abc import Awaitable, Callable, Sequence
from typing import Any
from unittest import mock

import attrs
import msgspec
from aiohttp import web
from aiohttp.streams import StreamReader
from aiohttp.test_utils import make_mocked_request

from firhook._web import problem_middleware
from firhook.address import Address
from firhook.errors import (
    LogUnavailableError,
    NoEndpointError,
    PeerUnreachableError,
    PlatformUnavailableError,
    WorkerFencedError,
    WorkerUnreachableError,
)
from firhook.kernel import Kernel
from firhook.logs import _LOGGER
from firhook.model import Endpoint, decode_envelope, encode_message, to_builtins
from firhook.platform.clients import (
    EndpointClient,
    EndpointResponse,
    InstanceList,
    LogEntry,
    LogPage,
    LogService,
    Platform,
    Report,
    WorkerClient,
)
from firhook.settings import parse_settings
from standins.cluster import OPERATOR_KEY, render_ini
from standins.model import VirtualLoop
from standins.worker import Worker

NET_S = 0.001
#: Renewals and gossip are so frequent that they would hide everything else.
ROUTINE = {"Gossip", "LeadRenewed", "GrantAsk", "GrantAnswer", "HoldingsAsk"}
#: Attributes of log records that describe the process and not the session.
_OWN_FIELDS = set(vars(logging.makeLogRecord({}))) | {"message", "taskName"}


class Session:
    """A cell with the transcript of its inputs and outputs.

    :ivar lines: time and text of each line of the transcript.
    :ivar muted: whether the transcript is not written yet.
    :ivar append_events: set when a stream of the log grows, by stream.
    :ivar runs: how often each request body was run by a runner.
    :ivar isolated_zones: zones that reach nothing outside and are not reached.
    """

    def __init__(self, loop: VirtualLoop) -> None:
        self.loop = loop
        self.lines: list[tuple[float, str]] = []
        self.muted = True
        self.streams: dict[str, list[bytes]] = {}
        self.append_events: dict[str, asyncio.Event] = {}
        self.endpoints: dict[str, Endpoint] = {}
        self.workers: dict[str, Worker] = {}
        self.kernels: dict[str, Kernel] = {}
        self.meshes: dict[str, FakeMesh] = {}
        self.runs: dict[str, int] = {}
        self.isolated_zones: set[str] = set()
        self.killed: set[str] = set()
        self.ports = itertools.count(7001)

    def write(self, text: str) -> None:
        """Write a line to the transcript unless it is muted."""
        if not self.muted:
            self.lines.append((round(self.loop.time() - 1000.0, 3), text))

    def transcript(self) -> str:
        """Return the transcript; lines with the same time are sorted by text.

        The order of two instances at the same time does not matter and may differ
        between runs.
        """
        return "\n".join(text for _, text in sorted(self.lines))

    def is_connected(self, a: str, b: str) -> bool:
        """Return whether two zones reach each other."""
        return a == b or not ({a, b} & self.isolated_zones)

    async def add(self, name: str, zone: str) -> Kernel:
        """Add and start an instance."""
        address = f"127.0.0.1:{next(self.ports)}"
        self.endpoints[name] = Endpoint(name, "entry", zone, address)
        zones = ", ".join(sorted({"lisboa", "porto"}))
        cfg = parse_settings(
            render_ini(
                {
                    "instance": {"name": name, "zone": zone, "zones": zones},
                    "listen": {
                        "gateway": "127.0.0.1:0",
                        "ops": "127.0.0.1:0",
                        "peers": address,
                    },
                    "platform": {"log_url": "http://127.0.0.1:9", "log_poll_s": 1},
                    "mesh": {"curve_public": "p" * 40, "curve_secret": "s" * 40},
                    "keys": {
                        "operator_digest": OPERATOR_DIGEST,
                        "key_stale_s": 3,
                        "key_stale_max_s": 20,
                    },
                    "gateway": {"drain_lag_s": 0.5, "default_deadline_s": 5},
                    "cell": {
                        "lead_lease_s": 2,
                        "hold_s": 6,
                        "task_lease_s": 3,
                        "sync_s": 0.5,
                        "margin_s": 0.3,
                    },
                }
            )
        )
        platform = Platform(
            FakeLog(self, zone),
            FakeInstanceList(self, zone),
            FakeWorkers(self, zone),
            FakeRunners(self, zone),
        )
        kernel = Kernel(cfg, platform, f"run{len(self.kernels)}", self.loop.time)
        self.kernels[name] = kernel
        await kernel.start()
        return kernel

    def add_worker(self, name: str, zone: str) -> None:
        """Add a worker."""
        self.workers[name] = Worker(name)
        self.endpoints[name] = Endpoint(
            name, "worker", zone, "127.0.0.1:1", rack="r1", cpus=8.0, memory_mb=32768
        )

    def add_runner(self, name: str, zone: str) -> None:
        """Add a runner of the service ``logbook``."""
        self.endpoints[name] = Endpoint(
            name, "runner", zone, f"127.0.0.1:{next(self.ports)}", service="logbook"
        )

    async def kill(self, name: str) -> None:
        """Stop an instance at once, as if its machine had failed."""
        self.write(f"{name} is killed")
        self.killed.add(name)
        del self.endpoints[name]
        kernel = self.kernels.pop(name)
        with contextlib.suppress(Exception):
            await kernel.stop()

    async def stop(self, name: str) -> None:
        """Stop an instance gracefully."""
        self.write(f"{name} is told to stop")
        kernel = self.kernels[name]
        await kernel.drain()
        await kernel.stop()
        del self.kernels[name], self.endpoints[name]
        self.write(f"{name} has stopped")

    async def call(
        self,
        name: str,
        method: str,
        path: str,
        key: str = OPERATOR_KEY,
        body: Any = None,
        headers: dict[str, str] | None = None,
    ) -> tuple[int, Any]:
        """Call an instance as a caller or an operator and return status and body."""
        raw = body.encode() if isinstance(body, str) else json.dumps(body).encode()
        raw = b"" if body is None else raw
        request_headers = {"Authorization": f"Bearer {key}", "X-Request-Id": "rid"}
        request_headers.update(headers or {}, **{"Content-Length": str(len(raw))})
        self.write(f"caller -> {name}: {method} {path} {raw.decode()} {headers or ''}")
        await asyncio.sleep(NET_S)
        resp = await self._handle(name, method, path, request_headers, raw)
        await asyncio.sleep(NET_S)
        data = json.loads(resp.body) if resp.body else None
        retry_after = resp.headers.get("Retry-After")
        retry_after_text = f" Retry-After {retry_after}" if retry_after else ""
        self.write(
            f"{name} -> caller: {resp.status}{retry_after_text} {json.dumps(data)}"
        )
        return resp.status, data

    async def _handle(
        self, name: str, method: str, path: str, headers: dict[str, str], raw: bytes
    ) -> Any:
        payload = StreamReader(mock.Mock(), 2**16, loop=self.loop)
        payload.feed_data(raw)
        payload.feed_eof()
        app = web.Application()
        app.add_routes(self.kernels[name].routes["api"])
        req = make_mocked_request(
            method, path, headers, app=app, payload=payload, transport=open_transport()
        )
        match = await app.router.resolve(req)
        req._match_info = match
        return await problem_middleware(req, match.handler)

    async def until(self, check: Callable[[], bool], limit_s: float = 60.0) -> None:
        """Wait in virtual time until a check holds.

        :raises TimeoutError: if it does not hold within the limit.
        """
        end = self.loop.time() + limit_s
        while not check():
            if self.loop.time() > end:
                raise TimeoutError("the check did not hold within the time limit")
            await asyncio.sleep(0.05)


def open_transport() -> Any:
    """Return the transport of a caller that waits for its answer."""
    transport = mock.Mock()
    transport.is_closing.return_value = False
    transport.get_extra_info.return_value = None
    return transport


OPERATOR_DIGEST = hashlib.sha256(OPERATOR_KEY.encode()).hexdigest()


class FakeLog(LogService):
    """The platform's log as reached from one zone."""

    def __init__(self, session: Session, zone: str) -> None:
        self._session = session
        self._zone = zone

    def _check(self) -> None:
        if self._zone in self._session.isolated_zones:
            raise LogUnavailableError("the log is cut off", retry_after_s=2.0)

    async def append(self, stream: str, payloads: Sequence[bytes]) -> int:
        """Append records; see :class:`LogService`."""
        await asyncio.sleep(NET_S)
        self._check()
        records = self._session.streams.setdefault(stream, [])
        first = len(records)
        for payload in payloads:
            envelope = decode_envelope(payload)
            kind = type(envelope.body).__name__
            if kind not in ROUTINE:
                text = json.dumps(to_builtins(envelope.body))
                self._session.write(f"log {stream} <- {envelope.lane}: {kind} {text}")
        records += payloads
        self._session.append_events.setdefault(stream, asyncio.Event()).set()
        self._session.append_events[stream] = asyncio.Event()
        return first

    async def read(self, stream: str, offset: int, wait_s: float) -> LogPage:
        """Read records; see :class:`LogService`."""
        await asyncio.sleep(NET_S)
        self._check()
        records = self._session.streams.setdefault(stream, [])
        if offset >= len(records):
            append_events = self._session.append_events.setdefault(
                stream, asyncio.Event()
            )
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(append_events.wait(), wait_s)
        self._check()
        page = records[offset : offset + 1000]
        entries = tuple(LogEntry(offset + i, data) for i, data in enumerate(page))
        return LogPage(entries, len(records))


class FakeInstanceList(InstanceList):
    """The instance list."""

    def __init__(self, session: Session, zone: str) -> None:
        self._session = session
        self._zone = zone

    async def list(self) -> tuple[Endpoint, ...]:
        """Return the list; see :class:`InstanceList`."""
        if self._zone in self._session.isolated_zones:
            raise PlatformUnavailableError("cut off")
        return tuple(self._session.endpoints.values())


class FakeWorkers(WorkerClient):
    """The stand-in's workers, without sockets."""

    def __init__(self, session: Session, zone: str) -> None:
        self._session = session
        self._zone = zone

    async def poll(self, worker: Endpoint) -> Any:
        """Poll a worker; see :class:`WorkerClient`."""
        return await self._call(worker, None)

    async def send_order(self, worker: Endpoint, order: Any) -> Any:
        """Send an order; see :class:`WorkerClient`."""
        for start in order.start:
            task_ref = f"{start.job_id}[{start.index}]"
            self._session.write(
                f"order -> {worker.name}: start {task_ref} attempt {start.attempt}"
                f" at epoch {order.epoch}"
            )
        for stop in order.stop:
            task_ref = f"{stop.job_id}[{stop.index}]"
            self._session.write(
                f"order -> {worker.name}: stop {task_ref} {stop.reason}"
            )
        return await self._call(worker, to_builtins(order))

    async def _call(self, worker: Endpoint, order: Any) -> Any:
        await asyncio.sleep(NET_S)
        if not self._session.is_connected(self._zone, worker.zone):
            raise WorkerUnreachableError(worker.name)
        target = self._session.workers[worker.name]
        if order is None:
            resp = await target.poll(mock.Mock())
        else:
            req = mock.Mock()
            req.json = mock.AsyncMock(return_value=order)
            resp = await target.execute_order(req)
        if resp.status == 409:
            raise WorkerFencedError(f"{worker.name}: {resp.text}")
        return msgspec.convert(json.loads(resp.text), Report)


class FakeRunners(EndpointClient):
    """Runners that answer every request after 0.1 s."""

    def __init__(self, session: Session, zone: str) -> None:
        self._session = session
        self._zone = zone

    async def send(
        self,
        endpoint: Endpoint,
        method: str,
        path: str,
        headers: Any,
        body: bytes,
        timeout_s: float,
    ) -> EndpointResponse:
        """Send a request; see :class:`EndpointClient`."""
        if not self._session.is_connected(self._zone, endpoint.zone):
            await asyncio.sleep(min(1.0, timeout_s))
            raise NoEndpointError(f"{endpoint.name}: not reached")
        self._session.write(
            f"request -> {endpoint.name}: {method} {path} {body.decode()}"
        )
        if method == "POST":
            runs = self._session.runs
            runs[body.decode()] = runs.get(body.decode(), 0) + 1
        await asyncio.sleep(0.1)
        answer = json.dumps({"path": path, "echo": body.decode()}).encode()
        return EndpointResponse(200, (("Content-Type", "application/json"),), answer)

    async def close(self) -> None:
        """Do nothing, as no connections are open."""


@attrs.define(eq=False)
class FakeMesh:
    """Carries messages between instances without sockets."""

    session: Session
    serve: Callable[[Any], Awaitable[Any]]
    address: str = ""
    connected: set[str] = attrs.field(factory=set)
    sent_bytes: int = 0
    received_bytes: int = 0

    def bind(self, address: Address) -> Address:
        """Register the address and return it."""
        self.address = str(address)
        self.session.meshes[self.address] = self
        return address

    def connect(self, address: str) -> None:
        """Add a peer."""
        self.connected.add(address)

    def disconnect(self, address: str) -> None:
        """Remove a peer."""
        self.connected.discard(address)

    @property
    def addresses(self) -> set[str]:
        """The addresses of the connected peers."""
        return set(self.connected)

    def _name_at(self, address: str) -> str:
        for name, endpoint in self.session.endpoints.items():
            if endpoint.address == address:
                return name
        return "nobody"

    def _zone_at(self, address: str) -> str:
        endpoint = self.session.endpoints.get(self._name_at(address))
        return endpoint.zone if endpoint else ""

    def _write_message(self, address: str, msg: Any, arrow: str) -> None:
        kind = type(msg).__name__
        if kind in ROUTINE or kind.startswith(("Grant", "Holdings")):
            return
        own, other = self._name_at(self.address), self._name_at(address)
        text = json.dumps(to_builtins(msg))
        self.session.write(f"peer {own} {arrow} {other}: {kind} {text}")

    def _reachable_peer(self, address: str) -> "FakeMesh | None":
        own_zone, peer_zone = self._zone_at(self.address), self._zone_at(address)
        if not peer_zone or not self.session.is_connected(own_zone, peer_zone):
            return None
        return self.session.meshes.get(address)

    def send(self, address: str, msg: Any) -> None:
        """Send a one-way message."""
        self._write_message(address, msg, "->")
        peer = self._reachable_peer(address)
        if peer is not None:
            self.session.loop.call_later(
                NET_S, lambda: asyncio.ensure_future(peer.serve(msg))
            )

    def broadcast(self, msg: Any) -> int:
        """Send a one-way message to every peer and return its size in bytes."""
        for address in sorted(self.connected):
            self.send(address, msg)
        return len(encode_message(msg))

    async def request(self, address: str, msg: Any, timeout_s: float) -> Any:
        """Send a message and return the answer."""
        self._write_message(address, msg, "->")
        peer = self._reachable_peer(address)
        if peer is None:
            await asyncio.sleep(timeout_s)
            raise PeerUnreachableError(f"{self._name_at(address)}: no answer")
        await asyncio.sleep(NET_S)
        try:
            answer = await asyncio.wait_for(peer.serve(msg), timeout_s)
        except TimeoutError as exc:
            raise PeerUnreachableError("no answer") from exc
        self._write_message(address, answer, "<-")
        return answer

    async def run(self) -> None:
        """Serve until cancelled."""
        await asyncio.Event().wait()

    def close(self) -> None:
        """Unregister the address, so that peers no longer reach it."""
        self.session.meshes.pop(self.address, None)


class _IdleListener:
    """Replaces a listening socket that receives no connections."""

    addresses = (("127.0.0.1", 0),)
    server = None

    async def stop(self) -> None:
        """Stop listening."""

    async def cleanup(self) -> None:
        """Do nothing, as there are no connections."""


async def _start_idle_listener(
    *args: Any, **kwargs: Any
) -> tuple[_IdleListener, _IdleListener]:
    return _IdleListener(), _IdleListener()


class _TranscriptHandler(logging.Handler):
    """Writes log records to the transcript."""

    def __init__(self, session: Session) -> None:
        super().__init__()
        self._session = session

    def emit(self, record: logging.LogRecord) -> None:
        """Write a log record as one line."""
        fields = {k: v for k, v in vars(record).items() if k not in _OWN_FIELDS}
        level = record.levelname.lower()
        text = json.dumps(fields, default=str, sort_keys=True)
        self._session.write(f"logged {level} {record.getMessage()} {text}")


class _SequentialSecrets:
    """Replaces ``secrets`` with a deterministic sequence of keys."""

    def __init__(self) -> None:
        self._count = itertools.count(1)

    def token_urlsafe(self, size: int) -> str:
        """Return the next key."""
        return f"key-{next(self._count)}"

    def token_hex(self, size: int) -> str:
        """Return the next key id."""
        return f"id-{next(self._count)}"

    @staticmethod
    def compare_digest(a: str, b: str) -> bool:
        """Return whether two digests are equal."""
        return a == b


Script = Callable[[Session], Awaitable[None]]


def run_session(script: Script) -> str:
    """Run a session and return its transcript."""
    loop = VirtualLoop()
    session = Session(loop)
    handler = _TranscriptHandler(session)
    random.seed(0)
    with contextlib.ExitStack() as stack:
        patch = lambda target, new: stack.enter_context(mock.patch(target, new))  # noqa: E731
        patch("time.monotonic", loop.time)
        patch("time.time", lambda: 1_800_000_000 + loop.time())
        patch("firhook.roles._config.secrets", _SequentialSecrets())
        patch("firhook.roles._gateway.serve", _start_idle_listener)
        patch("firhook.roles._ops.serve", _start_idle_listener)
        patch(
            "firhook.roles._members.Mesh",
            lambda public, secret, serve: FakeMesh(session, serve),
        )
        _LOGGER.addHandler(handler)
        level = _LOGGER.level
        _LOGGER.setLevel(logging.INFO)
        stack.callback(_LOGGER.setLevel, level)
        stack.callback(_LOGGER.removeHandler, handler)
        asyncio.set_event_loop(loop)
        try:
            loop.run_until_complete(script(session))
        finally:
            pending = asyncio.all_tasks(loop)
            for task in pending:
                task.cancel()
            loop.run_until_complete(asyncio.gather(*pending, return_exceptions=True))
            asyncio.set_event_loop(None)
            loop.close()
    return session.transcript()
