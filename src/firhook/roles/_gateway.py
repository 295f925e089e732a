"""The gateway: callers' requests to the runners of services."""

import asyncio
import hashlib
from typing import Any

import attrs
from aiohttp import web

from firhook._web import principal, problem_response, serve
from firhook.decide.queue import FairQueue, Waiting
from firhook.decide.route import Router, RunnerView
from firhook.errors import (
    DeadlineUnmeetableError,
    EndpointFailedError,
    EndpointTimeoutError,
    FirhookError,
    NoEndpointError,
    NotPermittedError,
    OverloadedError,
    RequestMalformedError,
    StoppingError,
    TeamQueueFullError,
)
from firhook.events import (
    InstancesListed,
    PeerMessage,
    RoomChanged,
    RoomWanted,
)
from firhook.kernel import Role, register_role
from firhook.logs import log
from firhook.model import Gossip
from firhook.platform import Exchange
from firhook.queries import (
    CheckFresh,
    OnceBegin,
    OnceFinish,
    OnceGiveBack,
    OnceLost,
    OnceSending,
)

IDEMPOTENT = frozenset(("GET", "HEAD", "OPTIONS", "PUT", "DELETE"))
CLASSES = ("interactive", "standard", "bulk")
MAX_TRIES = 3


@attrs.define(slots=True, eq=False)
class Call:
    """A caller's request on its way through the gateway."""

    rid: str
    team: str
    service: str
    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    klass: str
    arrived: float
    deadline: float

    @property
    def idempotent(self) -> bool:
        """Whether running it twice does no harm."""
        return self.method in IDEMPOTENT


@register_role("gateway")
class Gateway(Role):
    """Admits, queues, routes and answers requests."""

    def wire(self) -> None:
        """Offer the callers' routes."""
        self._router = Router(self.cfg.zone)
        self._queues: dict[str, FairQueue] = {}
        self._in_flight = 0
        self._runner: Any = None
        self._site: Any = None
        self.stats = self.kernel.stats
        self.kernel.routes["api"].append(
            web.route("*", "/r/{service}/{path:.*}", self._handle)
        )
        self.bus.subscribe(InstancesListed, self._on_instances)
        self.bus.subscribe(RoomChanged, lambda event: self._pump())
        self.bus.subscribe(PeerMessage, self._on_peer)
        self._peer_loads: dict[str, Gossip] = {}

    async def on_started(self) -> None:
        """Listen for callers."""
        addr = self.cfg.gateway
        routes = self.kernel.routes["api"]
        self._runner, self._site = await serve(
            routes, addr.host, addr.port, self.cfg.max_body_bytes
        )
        port = self._runner.addresses[0][1]
        self.kernel.ports["gateway"] = f"{addr.host}:{port}"

    async def drain(self) -> None:
        """Take no new connections, and finish every request that came."""
        # The balancer learns of the stop with a lag; what it sends until then
        # is served as before.
        await asyncio.sleep(self.cfg.drain_lag_s)
        if self._site is not None:
            await self._site.stop()
        deadline = self.kernel.clock() + self.cfg.drain_max_s
        while self._in_flight and self.kernel.clock() < deadline:
            await asyncio.sleep(0.02)

    async def on_stop(self) -> None:
        """Close what is left."""
        if self._runner is not None:
            await self._runner.cleanup()
        await self.platform.endpoints.close()

    # -- from a caller to a runner and back ------------------------------

    async def _handle(self, req: web.Request) -> web.StreamResponse:
        self._in_flight += 1
        try:
            call = await self._read_call(req)
            answer = await self._answer(call, req.headers.get("Idempotency-Key"))
            resp = web.Response(status=answer.status, body=answer.body)
            for name, value in answer.headers:
                resp.headers.add(name, value)
            if self.kernel.stopping:
                resp.force_close()
            return resp
        except FirhookError as exc:
            self.stats.refused(exc.code)
            resp = problem_response(exc, req["request_id"])
            log("request.refused", code=exc.code, request_id=req["request_id"])
            return resp
        finally:
            self._in_flight -= 1

    async def _read_call(self, req: web.Request) -> Call:
        now = self.kernel.clock()
        who = await principal(self.bus, req)
        if who.operator:
            raise NotPermittedError("an operator's key runs no requests")
        await self.bus.ask(CheckFresh(req.method in IDEMPOTENT))
        klass = req.headers.get("X-Class", "standard")
        if klass not in CLASSES:
            raise RequestMalformedError(f"X-Class = {klass!r}: give one of {CLASSES}")
        return Call(
            rid=req["request_id"],
            team=who.team,
            service=req.match_info["service"],
            method=req.method,
            path="/"
            + req.match_info["path"]
            + (f"?{req.query_string}" if req.query_string else ""),
            headers={
                k: v for k, v in req.headers.items() if k.lower() != "authorization"
            },
            body=await req.read(),
            klass=klass,
            arrived=now,
            deadline=now + self._deadline_s(req.headers.get("X-Deadline-Ms")),
        )

    def _deadline_s(self, header: str | None) -> float:
        if header is None:
            return self.cfg.default_deadline_s
        if not header.isascii() or not header.isdigit() or int(header) < 1:
            raise RequestMalformedError(
                f"X-Deadline-Ms = {header!r}: give whole ms above 0"
            )
        return min(int(header) / 1000, self.cfg.default_deadline_s)

    async def _answer(self, call: Call, once_key: str | None) -> Exchange:
        if once_key is None or call.idempotent:
            return await self._run(call)
        if not 1 <= len(once_key) <= 255 or not once_key.isprintable():
            raise RequestMalformedError(
                "Idempotency-Key: give 1 to 255 printable characters"
            )
        return await self._run_once(call, once_key)

    async def _run(self, call: Call, once_key: str = "") -> Exchange:
        """Queue, send and, where that is safe, try again."""
        tried: list[str] = []
        while True:
            view = await self._wait_for_slot(call, tried)
            started = self.kernel.clock()
            latency: float | None = None
            if once_key:
                self.bus.publish(OnceSending(once_key))
            try:
                answer = await self.platform.endpoints.send(
                    view.endpoint,
                    call.method,
                    call.path,
                    call.headers,
                    call.body,
                    call.deadline - started,
                )
                latency = self.kernel.clock() - started
                if answer.leaving:
                    view.leaving = True
                    self.kernel.load.leaving.add(view.endpoint.name)
                self.stats.answered(
                    call.team, call.klass, started - call.arrived, latency
                )
                return answer
            except (NoEndpointError, EndpointFailedError) as exc:
                tried.append(view.endpoint.name)
                never_sent = isinstance(exc, NoEndpointError)
                if not (call.idempotent or never_sent) or len(tried) >= MAX_TRIES:
                    raise
            except EndpointTimeoutError:
                latency = self.kernel.clock() - started
                raise
            finally:
                self._slot_done(call, view, latency)

    async def _wait_for_slot(self, call: Call, tried: list[str]) -> RunnerView:
        queue = self._queues.setdefault(call.service, FairQueue())
        if self.kernel.stopping and not self._runner:
            raise StoppingError("the instance is stopping", retry_after_s=0.0)
        if sum(map(len, self._queues.values())) >= self.cfg.max_waiting:
            raise OverloadedError("too many requests wait", retry_after_s=1.0)
        if queue.waiting(call.team) >= self.cfg.max_waiting_per_team:
            raise TeamQueueFullError("too many of the team wait", retry_after_s=1.0)
        fut: asyncio.Future[RunnerView] = asyncio.get_running_loop().create_future()
        item = Waiting(call.team, call.klass, call.arrived, call.deadline, (fut, tried))
        queue.push(item)
        self._note_waiting()
        self._pump()
        try:
            return await asyncio.wait_for(fut, call.deadline - self.kernel.clock())
        except TimeoutError as exc:
            raise DeadlineUnmeetableError(
                "no slot came free in time", retry_after_s=1.0
            ) from exc
        finally:
            if not fut.done() or fut.cancelled():
                queue.remove(item)
            self._note_waiting()

    def _note_waiting(self) -> None:
        counts: dict[str, int] = {}
        for queue in self._queues.values():
            for team in queue.teams():
                counts[team] = counts.get(team, 0) + queue.waiting(team)
        self.kernel.load.waiting = counts

    def _pump(self) -> None:
        """Give free slots to waiting requests."""
        account = self.kernel.account
        shares = {
            team: self.states.config.plan_of(team).share  # type: ignore[union-attr]
            for team in self.states.config.teams
        }
        for service, queue in self._queues.items():
            blocked: set[str] = set()
            while len(queue):
                view = self._router.pick(service)
                if view is None:
                    break
                item = queue.pop(shares, blocked)
                while item is not None and not account.take(item.team):
                    blocked.add(item.team)
                    queue.push(item)
                    self._want_room(item.team)
                    item = queue.pop(shares, blocked)
                if item is None:
                    self._router.done(view, None)
                    break
                fut, _ = item.token
                if fut.done():
                    account.give_back(item.team)
                    self._router.done(view, None)
                    continue
                fut.set_result(view)
        self._note_in_flight()

    def _want_room(self, team: str) -> None:
        waiting = sum(q.waiting(team) for q in self._queues.values())
        running = self.kernel.account.running.get(team, 0)
        self.bus.publish(RoomWanted(team, running + waiting))

    def _slot_done(self, call: Call, view: RunnerView, latency: float | None) -> None:
        self._router.done(view, latency)
        self.kernel.account.give_back(call.team)
        self._pump()

    def _note_in_flight(self) -> None:
        self.kernel.load.in_flight = {
            name: v.in_flight for name, v in self._router.views.items() if v.in_flight
        }

    # -- non-idempotent requests, at most once ---------------------------

    async def _run_once(self, call: Call, once_key: str) -> Exchange:
        key = _digest(call.team, once_key)
        body = _digest(call.method, call.service, call.path, call.body.hex())
        known = await self.bus.ask(OnceBegin(key, call.team, body))
        if known is not None:
            return known
        try:
            answer = await self._run(call, key)
        except BaseException as exc:
            if isinstance(exc, FirhookError) and exc.ran == "no":
                await self.bus.ask(OnceGiveBack(key))
            else:
                self.bus.publish(OnceLost(key))
            raise
        await self.bus.ask(OnceFinish(key, answer))
        return answer

    # -- what is known of the runners ------------------------------------

    def _on_instances(self, event: InstancesListed) -> None:
        self._router.update([e for e in event.instances if e.kind == "runner"])
        self._pump()

    def _on_peer(self, event: PeerMessage) -> None:
        if not isinstance(event.body, Gossip):
            return
        self._peer_loads[event.peer] = event.body
        counts: dict[str, int] = {}
        for gossip in self._peer_loads.values():
            for load in gossip.runners:
                counts[load.runner] = counts.get(load.runner, 0) + load.in_flight
                if load.leaving and load.runner in self._router.views:
                    self._router.views[load.runner].leaving = True
        self._router.set_elsewhere(counts)


def _digest(*parts: str) -> str:
    joined = "\0".join(parts)
    return hashlib.sha256(joined.encode()).hexdigest()
