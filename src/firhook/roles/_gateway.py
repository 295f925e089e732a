"""The gateway: callers' requests to the runners of services."""

import asyncio
import random
from typing import Any

import attrs
from aiohttp import web
from mode import Service

from firhook._calls import Call, add_earlier_attempts, build_response, read_call
from firhook._fleet import FleetView
from firhook._web import REQUEST_KEY, problem_response, serve, wait_connections_closed
from firhook.decide.admit import (
    REBALANCE_S,
    DispatchedRequest,
    Dispatcher,
    QueueLimits,
    RefusedRequest,
    make_queued_request,
)
from firhook.decide.retry import may_resend
from firhook.errors import (
    CallerGoneError,
    EndpointFailedError,
    EndpointTimeoutError,
    FirhookError,
    NoEndpointError,
    StoppingError,
)
from firhook.events import CapacityChanged, CapacityWanted, InstancesListed, PeerMessage
from firhook.kernel import Role, register_role
from firhook.logs import log
from firhook.model import Endpoint, Gossip
from firhook.platform.clients import EndpointResponse
from firhook.queries import (
    OnceBegin,
    OnceFinish,
    OnceLost,
    OnceRelease,
    OnceSending,
)
from firhook.tasks import log_failure

#: How often waiting requests are looked through for those to give up.
_TICK_S = 0.05
#: A request cut by its runner's end or by its timeout.
_SEND_ERRORS = (NoEndpointError, EndpointFailedError)


@register_role("gateway")
class Gateway(Role):
    """Admits, queues, routes and answers requests; decide/ says how."""

    def register_handlers(self) -> None:
        """Offer the callers' routes."""
        self._services: dict[str, Dispatcher] = {}
        self._fleet = FleetView(
            self.cfg.name, self.cfg.member_timeout_s, self.kernel.clock()
        )
        self._callers = 0
        self._late: set[asyncio.Task[Any]] = set()
        self._late_keys: set[str] = set()
        self._balanced = -1e9
        self._jitter = 0.5
        self._runner: Any = None
        self._site: Any = None
        self.stats = self.kernel.stats
        self.kernel.routes["api"].append(
            web.route("*", "/r/{service}/{path:.*}", self._handle)
        )
        self.bus.subscribe(InstancesListed, self._on_instances)
        self.bus.subscribe(CapacityChanged, lambda event: self._pump())
        self.bus.subscribe(PeerMessage, self._on_peer)

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
        while self._callers and self.kernel.clock() < deadline:
            await asyncio.sleep(0.02)
        self._refuse_waiting()
        if self._runner is not None:
            await wait_connections_closed(self._runner, self.cfg.drain_idle_s)
        if self._late:
            # A keyed request's outcome is worth storing though its caller has
            # been told that it is unknown: the repeat will ask for it.
            left_s = max(deadline - self.kernel.clock(), 0.1)
            await asyncio.wait(self._late, timeout=left_s)

    def _refuse_waiting(self) -> None:
        for service in self._services.values():
            for item in list(service.queue):
                service.queue.remove(item)
                exc = StoppingError("the instance is stopping", retry_after_s=0.0)
                _refuse(item.token.fut, exc)

    async def on_stop(self) -> None:
        """Close what is left."""
        if self._runner is not None:
            await self._runner.cleanup()
        await self.platform.endpoints.close()

    # -- from a caller to a runner and back ------------------------------

    async def _handle(self, req: web.Request) -> web.StreamResponse:
        self._callers += 1
        call: Call | None = None
        try:
            call = await read_call(
                self.bus, req, self.kernel.clock(), self.cfg.default_deadline_s
            )
            answer = await self._answer(call)
            return build_response(answer, self.kernel.stopping)
        except FirhookError as exc:
            if call is None:
                self.stats.count_refusal(exc.code)
            else:
                self.stats.count_refusal(exc.code, call.team, call.klass)
            log("request.refused", code=exc.code, request_id=req[REQUEST_KEY])
            add_earlier_attempts(req, call, exc)
            resp = problem_response(exc, req[REQUEST_KEY])
            if self.kernel.stopping:
                resp.force_close()
            return resp
        finally:
            self._callers -= 1

    async def _answer(self, call: Call) -> EndpointResponse:
        if not call.once_key:
            return await self._run(call)
        key, body = call.once_digests()
        known = await self.bus.ask(OnceBegin(key, call.team, body))
        if known is not None:
            return known
        call.claimed = True
        try:
            answer = await self._run(call, key)
        except BaseException as exc:
            if isinstance(exc, FirhookError) and exc.ran == "no":
                await self.bus.ask(OnceRelease(key))
            elif key not in self._late_keys:
                self.bus.publish(OnceLost(key))
            raise
        await self.bus.ask(OnceFinish(key, answer))
        return answer

    async def _run(self, call: Call, once_key: str = "") -> EndpointResponse:
        """Queue, send and, where that is safe, try again."""
        service = self._service(call.service)
        allowed_s = 0.0
        if not call.repeatable:
            # Its body has come: a repeat would have no more time than this.
            allowed_s = call.deadline - self.kernel.clock()
        tried: list[str] = []
        may_have_run = False
        while True:
            try:
                placed = await self._wait_for_slot(service, call, tried, allowed_s)
                return await self._send(service, call, placed, once_key)
            except FirhookError as exc:
                # Whatever a later try met, an earlier one may have been run,
                # and the caller must not be told that it was not.
                may_have_run = may_have_run or exc.ran != "no"
                cut = isinstance(exc, _SEND_ERRORS) and len(tried) > 0
                again = cut and may_resend(call.idempotent, exc.ran, len(tried))
                if again and service.has_untried(tried) and service.budget.try_spend():
                    continue
                if may_have_run:
                    exc.ran = "unknown"
                raise

    def _service(self, name: str) -> Dispatcher:
        service = self._services.get(name)
        if service is None:
            raise NoEndpointError(
                f"no runner of {name[:64]!r} is listed",
                retry_after_s=self.cfg.list_poll_s,
            )
        return service

    async def _wait_for_slot(
        self, service: Dispatcher, call: Call, tried: list[str], allowed_s: float
    ) -> DispatchedRequest:
        now = self.kernel.clock()
        waiter = _Waiter(call, asyncio.get_running_loop().create_future())
        item = make_queued_request(
            service.times, call.kind, call.team, call.klass, now, call.deadline, waiter
        )
        item.tried = list(tried)
        item.allowed_s = allowed_s
        service.admit(item, now, random.random())
        self._pump()
        placed = await waiter.fut
        tried.append(placed.view.key)
        return placed

    async def _send(
        self, service: Dispatcher, call: Call, placed: DispatchedRequest, once_key: str
    ) -> EndpointResponse:
        """Send a request, and wait for its answer until the deadline.

        A runner goes on with a request whose caller has given up.  The
        exchange therefore goes on as well, counted against the runner's slots
        and the team's limit, until its end is known or it has lasted
        ``default_deadline_s``.
        """
        exchange = asyncio.create_task(self._exchange(service, call, placed, once_key))
        left_s = max(call.deadline - self.kernel.clock(), 0.0)
        try:
            done, _ = await asyncio.wait({exchange}, timeout=left_s)
        except asyncio.CancelledError:
            self._keep_late(exchange, once_key)
            raise
        if done:
            return exchange.result()
        self._keep_late(exchange, once_key)
        raise EndpointTimeoutError(
            f"{placed.view.endpoint.name}: no answer in time",
            retry_after_s=1.0,
        )

    def _keep_late(
        self, exchange: "asyncio.Task[EndpointResponse]", once_key: str
    ) -> None:
        self._late_keys.add(once_key)
        late = asyncio.create_task(self._finish_late(exchange, once_key))
        self._late.add(late)
        late.add_done_callback(self._late.discard)
        late.add_done_callback(log_failure("exchange.not_settled"))

    async def _finish_late(
        self, exchange: "asyncio.Task[EndpointResponse]", once_key: str
    ) -> None:
        """Wait for the end of an exchange whose caller was told "unknown".

        A repeat of a keyed request is told "in progress" until then, and
        gets the outcome after it.
        """
        try:
            answer = await exchange
        except Exception as exc:
            log("exchange.late_failure", level="warning", error=repr(exc))
            if once_key:
                self.bus.publish(OnceLost(once_key))
        else:
            if once_key:
                await self.bus.ask(OnceFinish(once_key, answer))
        finally:
            self._late_keys.discard(once_key)

    async def _exchange(
        self, service: Dispatcher, call: Call, placed: DispatchedRequest, once_key: str
    ) -> EndpointResponse:
        if once_key:
            self.bus.publish(OnceSending(once_key))
        view = placed.view
        try:
            answer = await self.platform.endpoints.send(
                view.endpoint,
                call.method,
                call.path,
                call.headers,
                call.body,
                self.cfg.default_deadline_s,
            )
        except FirhookError:
            service.router.note_failure(view, self.kernel.clock())
            raise
        else:
            self._learn(service, call, placed, answer)
            return answer
        finally:
            service.end(placed, self.kernel.clock())
            self._pump()

    def _learn(
        self,
        service: Dispatcher,
        call: Call,
        placed: DispatchedRequest,
        answer: EndpointResponse,
    ) -> None:
        now = self.kernel.clock()
        took_s = now - placed.started
        view = placed.view
        if answer.leaving:
            view.leaving = True
            self.kernel.load.leaving.add(view.key)
        expected_s = service.times.expected_s(call.kind)
        service.router.note_answer(view, took_s, expected_s, now)
        service.times.record(call.kind, took_s, now)
        service.budget.note_answer()
        self.stats.count_answer(
            call.team, call.klass, placed.started - call.arrived, took_s
        )

    # -- the queue ---------------------------------------------------------

    def _pump(self) -> None:
        """Give free slots to waiting requests."""
        now = self.kernel.clock()
        for service in self._services.values():
            while (placed := service.dispatch_next(now, self._jitter)) is not None:
                waiter = placed.item.token
                if isinstance(placed, RefusedRequest):
                    _refuse(waiter.fut, placed.exc)
                elif waiter.call.caller_gone or waiter.fut.done():
                    service.end(placed, now)
                    _refuse(waiter.fut, CallerGoneError("its turn had come"))
                else:
                    waiter.fut.set_result(placed)
            for team in service.teams_awaiting_capacity():
                running = self.kernel.account.running.get(team, 0)
                wanted = running + service.queue.waiting(team)
                self.bus.publish(CapacityWanted(team, wanted))

    @Service.task
    async def _tick_loop(self) -> None:
        while not self.should_stop:
            try:
                self._tick(self.kernel.clock())
            except Exception as exc:
                # One request that upsets a round must not end the rounds of all
                # others: waiting requests would be held past their deadlines.
                log("gateway.tick_failed", level="error", error=repr(exc))
            await self.sleep(_TICK_S)

    def _tick(self, now: float) -> None:
        for service in self._services.values():
            for item in list(service.queue):
                if item.token.call.caller_gone:
                    service.queue.remove(item)
                    _refuse(item.token.fut, CallerGoneError("it was waiting"))
            self._jitter = random.random()
            for given_up in service.refuse_hopeless(now, self._jitter):
                _refuse(given_up.item.token.fut, given_up.exc)
        self._fleet.update_load(
            self.kernel.account, self._services.values(), self.kernel.load, now
        )
        if now - self._balanced >= REBALANCE_S:
            self._rebalance(now)
        self._pump()

    # -- what is known of the fleet ----------------------------------------

    def _rebalance(self, now: float) -> None:
        self._balanced = now
        use = self._fleet.fleet_use(self.kernel.account, self.kernel.load, now)
        config = self.states.config
        shares = {
            t: config.plans[entry.plan].share for t, entry in config.teams.items()
        }
        for service in self._services.values():
            service.rebalance(use, shares, now)

    def _on_instances(self, event: InstancesListed) -> None:
        now = self.kernel.clock()
        listed: dict[str, list[Endpoint]] = {name: [] for name in self._services}
        for endpoint in event.instances:
            if endpoint.kind == "runner":
                listed.setdefault(endpoint.service, []).append(endpoint)
        self._fleet.set_instances(event.instances)
        fresh = not listed.keys() <= self._services.keys()
        for name, endpoints in listed.items():
            if name not in self._services:
                self._services[name] = self._new_service()
            self._services[name].update(endpoints, now)
            if not endpoints and not self._services[name].running:
                self._drop_service(name)
        # A service just listed needs its parts now; the others get them at the
        # next round, since the agreement of parts counts in rounds.
        if fresh:
            self._rebalance(now)
        self._pump()

    def _new_service(self) -> Dispatcher:
        limits = QueueLimits(self.cfg.max_waiting, self.cfg.max_waiting_per_team)
        return Dispatcher(self.cfg.name, self.cfg.zone, self.kernel.account, limits)

    def _drop_service(self, name: str) -> None:
        service = self._services[name]
        if not len(service.queue):
            del self._services[name]

    def _on_peer(self, event: PeerMessage) -> None:
        if not isinstance(event.body, Gossip):
            return
        now = self.kernel.clock()
        self._fleet.add_gossip(event.peer, event.body, now)
        counts = self._fleet.beyond_parts(now)
        leaving = [load.runner for load in event.body.runners if load.leaving]
        for service in self._services.values():
            service.router.set_peer_excess(counts)
            service.router.set_leaving(leaving)


@attrs.define(slots=True, eq=False)
class _Waiter:
    """The caller's side of a queued request."""

    call: Call
    fut: "asyncio.Future[DispatchedRequest]"


def _refuse(fut: "asyncio.Future[DispatchedRequest]", exc: FirhookError) -> None:
    if not fut.done():
        fut.set_exception(exc)
