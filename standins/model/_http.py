"""HTTP server of the model of the platform, in real time, for real processes."""

import asyncio
import base64
import random
import struct
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any
from weakref import WeakKeyDictionary

import msgspec
from aiohttp import web

from firhook.cell import OrderAnswer, OrderOutcome, Resources, StartOrder
from firhook.errors import (
    LogFencedError,
    LogMovedError,
    LogOutcomeUnknownError,
    LogRecordRefusedError,
    LogSequenceError,
    LogTrimmedError,
    LogUnavailableError,
    WorkerFencedError,
)
from firhook.platform.store import (
    OPERATOR_TOPIC,
    WORKER_TOPIC,
    Producer,
)
from standins.model._adviser import ModelAdviser
from standins.model._cell import config_body
from standins.model._checks import Checks
from standins.model._store import ModelStore
from standins.model._workers import Gangs, ModelWorker, TaskPlan

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]

_REASONS_BY_OUTCOME = {
    OrderOutcome.FENCED: "fence",
    OrderOutcome.SUPERSEDED: "old",
    OrderOutcome.EXPIRED: "late",
    OrderOutcome.NO_CAPACITY: "room",
    OrderOutcome.NO_TICKET: "ticket",
}
#: Time limit for requests that arrive while the sockets close; none takes longer.
_SHUTDOWN_TIMEOUT_S = 5.0
_SETTINGS = """\
node_name = "{name}"
ip_address = "127.0.0.1"
zone = "{zone}"
region = "r"
internal_port_range = [{peers}, {peers}]
recommendation = "{adviser}"
heartbeat_interval_ms = 500
[zones]
{zone} = "r"
[listen_addresses]
frontend = "127.0.0.1:{callers}"
readiness = "127.0.0.1:{probe}"
[limits]
cpu_share = 1.0
cores = 1
[bounds]
max_hold_ms = 3000
termination_grace_ms = 200
grace_period_s = 6
[platform]
address = "{store}"
min_ttl_ms = 500
"""


def _json(data: Any, status: int = 200) -> web.Response:
    return web.Response(
        status=status, body=msgspec.json.encode(data), content_type="application/json"
    )


class HttpModel:
    """Serves the store, workers and the adviser on ports of the loopback address.

    :param work_s: default duration of a task.
    :ivar plans: plans of the tasks of a step, in place of the default.
    """

    def __init__(self, workers: int = 4, work_s: float = 0.3, seed: int = 1) -> None:
        self.store = ModelStore(seed)
        self.checks = Checks()
        self.adviser = ModelAdviser(
            0.02, 0.001, 2.0, 0.6, lambda name: self.workers[name].incarnation
        )
        self.work_s = work_s
        self.plans: dict[str, TaskPlan] = {}
        self.workers: dict[str, ModelWorker] = {}
        self.addresses: dict[str, str] = {}
        self._rng = random.Random(seed)
        self._gangs = Gangs()
        self._count = workers
        self._runners: list[web.AppRunner] = []
        self._handler_tasks: set[asyncio.Task[Any]] = set()

    async def start(self) -> None:
        """Listen, register the workers and write a configuration."""
        self.addresses["store"] = await self._listen(self._store_routes())
        self.addresses["adviser"] = await self.add_adviser("any")
        for i in range(self._count):
            await self._add_worker(f"w{i}")
        self.configure(1)

    async def stop(self) -> None:
        """Cancel all requests in progress and close all sockets.

        aiohttp fails on a handler that finishes at the very moment at which aiohttp
        gives up waiting for it, so all handlers end before the cleanup.
        """
        for task in self._handler_tasks:
            task.cancel()
        if self._handler_tasks:
            await asyncio.wait(self._handler_tasks)
        for runner in self._runners:
            await runner.cleanup()

    def configure(self, version: int, **changes: Any) -> None:
        """Write a configuration as operators do."""
        body = config_body(version, **changes)
        advice = {"decision_ms": 20, "per_item_ms": 1, "validity_ms": 2000}
        for queue in body["routes"]:
            queue["recommendation"] = advice
        self.store.put(OPERATOR_TOPIC, "config", msgspec.json.encode(body))

    def settings(
        self,
        folder: Path,
        name: str,
        ports: tuple[int, ...],
        store: str = "",
        adviser: str = "",
    ) -> Path:
        """Write an instance's settings file; return its path.

        :param store: address of the store, if not that of this server.
        :param adviser: address of the adviser, if not that of this server.
        """
        path = folder / f"{name}.toml"
        callers, probe, peers = ports
        text = _SETTINGS.format(
            name=name,
            zone="z0",
            callers=callers,
            probe=probe,
            peers=peers,
            store=store or self.addresses["store"],
            adviser=adviser or self.addresses["adviser"],
        )
        path.write_text(text, encoding="utf-8")
        return path

    async def _listen(self, routes: list[web.RouteDef]) -> str:
        app = web.Application(
            client_max_size=1 << 24, middlewares=[self._track_handler]
        )
        app.add_routes(routes)
        runner = web.AppRunner(
            app, access_log=None, shutdown_timeout=_SHUTDOWN_TIMEOUT_S
        )
        await runner.setup()
        site = web.TCPSite(runner, "127.0.0.1", 0)
        await site.start()
        self._runners.append(runner)
        host, port = runner.addresses[0][:2]
        return f"{host}:{port}"

    @web.middleware
    async def _track_handler(
        self, req: web.Request, handler: Handler
    ) -> web.StreamResponse:
        """Track the task that answers a request, so that :meth:`stop` can cancel it."""
        task = asyncio.current_task()
        assert task is not None
        self._handler_tasks.add(task)
        task.add_done_callback(self._handler_tasks.discard)
        return await handler(req)

    # The store.

    def _store_routes(self) -> list[web.RouteDef]:
        return [
            web.post("/-/log-append", self._with_error_responses(self._append)),
            web.get("/-/log-read", self._with_error_responses(self._read)),
            web.get("/-/log-newest", self._with_error_responses(self._newest)),
        ]

    def _with_error_responses(self, handler: Handler) -> Handler:
        async def answer(req: web.Request) -> web.StreamResponse:
            try:
                return await handler(req)
            except LogUnavailableError:
                return web.Response(status=503)
            except LogRecordRefusedError:
                return web.Response(status=400)
            except LogOutcomeUnknownError:
                return _abort_connection(req)
            except LogFencedError:
                return _json({"reason": "fenced"}, 409)
            except LogSequenceError as exc:
                return _json({"reason": "seq", "sequence": exc.extra["expected"]}, 409)
            except LogMovedError as exc:
                return _json({"end": exc.extra["end"]}, 412)
            except LogTrimmedError:
                return _json({"earliest_offset": 0}, 410)

        return answer

    async def _append(self, req: web.Request) -> web.Response:
        q = req.query
        producer = None
        if "producer" in q:
            producer = Producer(q["producer"], int(q["epoch"]), int(q["sequence"]))
        at = int(q["at"]) if "at" in q else None
        records = list(_split_records(await req.read()))
        client = self.store.client("any")
        done = await client.append(q["topic"], int(q["part"]), records, producer, at)
        return _json({"offset": done.offset, "end": done.end})

    async def _read(self, req: web.Request) -> web.Response:
        q = req.query
        wait_s = int(q.get("wait_ms", 0)) / 1000
        client = self.store.client("any")
        part = await client.read(q["topic"], int(q["part"]), int(q["from"]), wait_s)
        body = struct.pack(">QQ", part.end, 0)
        for record in part.records:
            key = record.key.encode()
            content = bytes((len(key),)) + key + (record.value or b"")
            body += struct.pack(">I", len(content)) + content
        return web.Response(body=body)

    async def _newest(self, req: web.Request) -> web.Response:
        q = req.query
        client = self.store.client("any")
        newest = await client.read_newest(
            q["topic"], int(q["part"]), q.get("after", "")
        )
        later = newest.records
        items = [
            {
                "key": r.key,
                "value": base64.b64encode(r.value or b"").decode(),
                "offset": r.offset,
            }
            for r in later[:3]
        ]
        more = len(later) > len(items)
        return _json({"items": items, "has_more": more, "end": newest.end})

    # The adviser.

    async def add_adviser(self, caller: str) -> str:
        """Start an adviser for one caller, which answers its calls serially."""

        async def advise(req: web.Request) -> web.Response:
            data = msgspec.json.decode(await req.read())
            advice = await self.adviser.answer(caller, data["step"], data["workers"])
            rows = [[w, t] for w, t in advice.tickets.items()]
            return _json({"good": rows, "validity_ms": int(advice.valid_s * 1000)})

        return await self._listen([web.post("/-/advise", advise)])

    # The workers.

    def _task_plan(self, task: str) -> TaskPlan:
        known = self.plans.get(task.rpartition(".")[0])
        return known or TaskPlan(self.work_s, Resources(1000, 100))

    async def _add_worker(self, name: str) -> None:
        worker = ModelWorker(
            name,
            Resources(8000, 65536),
            "r1-1",
            "z0",
            self._task_plan,
            self.checks,
            self._gangs,
            self._rng,
            3.0,
        )
        self.workers[name] = worker

        # Connections end with the process that accepted them.
        accepted_by: WeakKeyDictionary[Any, int] = WeakKeyDictionary()

        def is_lost(req: web.Request) -> bool:
            if not worker.up or req.transport is None:
                return True
            first = accepted_by.setdefault(req.transport, worker.incarnation)
            return first != worker.incarnation

        def if_reachable(handler: Handler) -> Handler:
            async def answer(req: web.Request) -> web.StreamResponse:
                if is_lost(req):
                    return _abort_connection(req)
                resp = await handler(req)
                return _abort_connection(req) if is_lost(req) else resp

            return answer

        async def poll(req: web.Request) -> web.StreamResponse:
            return await self._poll(worker, req)

        async def start(req: web.Request) -> web.StreamResponse:
            data = msgspec.json.decode(await req.read())
            order = StartOrder(
                data["task"],
                data["run"],
                data["specification"],
                data["fencing_token"],
                data["deadline_ms"] / 1000,
                data.get("last_checkpoint", ""),
                data.get("ticket", ""),
            )
            return _order_response(worker.start(order))

        async def stop(req: web.Request) -> web.StreamResponse:
            data = msgspec.json.decode(await req.read())
            answer = worker.stop(data["task"], data["run"], data["fencing_token"])
            return _order_response(answer)

        routes = [
            web.post("/-/hold", if_reachable(poll)),
            web.post("/-/run-start", if_reachable(start)),
            web.post("/-/run-stop", if_reachable(stop)),
        ]
        address = await self._listen(routes)
        self.addresses[name] = address
        self.register(name)

    def register(self, name: str) -> None:
        """Write a worker's entry with the address that it listens at."""
        entry = {**self.workers[name].entry(), "address": self.addresses[name]}
        self.store.put(WORKER_TOPIC, name, msgspec.json.encode(entry))

    async def _poll(self, worker: ModelWorker, req: web.Request) -> web.Response:
        data = msgspec.json.decode(await req.read())
        until = data.get("deadline_ms")
        try:
            worker.poll(
                data["fencing_token"],
                data["ack_cursor"],
                until / 1000 if until is not None else None,
            )
            await worker.wait_for_end(data.get("wait_ms", 0) / 1000)
            reply = worker.poll(data["fencing_token"], 0, None)
        except WorkerFencedError:
            return _json({"reason": "fence"}, 409)
        return _json(
            {
                "born": reply.incarnation,
                "timestamp_ms": int(reply.clock_s * 1000),
                "running": [
                    [r.task, r.run, r.checkpoint, r.percent, r.load]
                    for r in reply.running
                ],
                "finished": [
                    [r.number, r.task, r.run, r.end.value, r.checkpoint]
                    for r in reply.ended
                ],
            }
        )


def _abort_connection(req: web.Request) -> web.Response:
    """Abort the connection; the returned response is never sent."""
    if req.transport is not None:
        req.transport.abort()
    return web.Response(status=500)


def _order_response(answer: OrderAnswer) -> web.Response:
    clock_ms = int((answer.clock_s or 0) * 1000)
    data: dict[str, Any] = {"timestamp_ms": clock_ms}
    if answer.outcome is OrderOutcome.APPLIED:
        return _json(data)
    return _json({**data, "reason": _REASONS_BY_OUTCOME[answer.outcome]}, 409)


def _split_records(body: bytes) -> Any:
    at = 0
    while at < len(body):
        (length,) = struct.unpack_from(">I", body, at)
        yield body[at + 4 : at + 4 + length]
        at += 4 + length


async def main() -> None:
    """Serve until interrupted."""
    model = HttpModel()
    await model.start()
    print(msgspec.json.encode(model.addresses).decode(), flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(main())
