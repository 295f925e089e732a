"""The gateway role: forwards callers' requests to the runners of services."""

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

#: How often waiting requests are checked for deadlines and closed connections.
_TICK_INTERVAL_S = 0.05
#: Errors after which a request may be sent again to another runner.
_RESENDABLE_ERRORS = (NoEndpointError, EndpointFailedError)


@register_role("gateway")
class Gateway(Role):
    """Admits, queues, routes and answers requests, as ``decide`` decides."""

    def register_handlers(self) -> None:
        """Register the callers' route and the event handlers."""
        self._services: dict[str, Dispatcher] = {}
        self._fleet = FleetView(
            self.cfg.name, self.cfg.member_timeout_s, self.kernel.clock()
        )
        self._open_requests = 0
        self._late_exchanges: set[asyncio.Task[Any]] = set()
        self._late_once_keys: set[str] = set()
        self._rebalanced_at = -1e9
        self._jitter = 0.5
        self._runner: Any = None
        self._site: Any = None
        self.stats = self.kernel.stats
        self.kernel.routes["api"].append(
            web.route("*", "/r/{service}/{path:.*}", self._handle)
        )
        self.bus.subscribe(InstancesListed, self._on_instances)
        self.bus.subscribe(CapacityChanged, lambda event: self._dispatch())
        self.bus.subscribe(PeerMessage, self._on_peer_message)

    async def on_started(self) -> None:
        """Start to listen for callers."""
        addr = self.cfg.gateway
        routes = self.kernel.routes["api"]
        self._runner, self._site = await serve(
            routes, addr.host, addr.port, self.cfg.max_body_bytes
        )
        port = self._runner.addresses[0][1]
        self.kernel.ports["gateway"] = f"{addr.host}:{port}"

    async def drain(self) -> None:
        """Accept no new connections and finish all requests received."""
        # The balancer notices the stop with a delay.  Requests that it sends
        # until then are served as usual.
        await asyncio.sleep(self.cfg.drain_lag_s)
        if self._site is not None:
            await self._site.stop()
        deadline = self.kernel.clock() + self.cfg.drain_max_s
        while self._open_requests and self.kernel.clock() < deadline:
            await asyncio.sleep(0.02)
        self._reject_waiting()
        if self._runner is not None:
            await wait_connections_closed(self._runner, self.cfg.drain_idle_s)
        if self._late_exchanges:
            # Store the outcomes of keyed requests although their callers already
            # got "outcome unknown": a repeat will ask for them.
            remaining_s = max(deadline - self.kernel.clock(), 0.1)
            await asyncio.wait(self._late_exchanges, timeout=remaining_s)

    def _reject_waiting(self) -> None:
        for service in self._services.values():
            for item in list(service.queue):
                service.queue.remove(item)
                exc = StoppingError("the instance is stopping", retry_after_s=0.0)
                _reject(item.token.fut, exc)

    async def on_stop(self) -> None:
        """Close the remaining connections."""
        if self._runner is not None:
            await self._runner.cleanup()
        await self.platform.endpoints.close()

    # -- one request -----------------------------------------------------

    async def _handle(self, req: web.Request) -> web.StreamResponse:
        self._open_requests += 1
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
            self._open_requests -= 1

    async def _answer(self, call: Call) -> EndpointResponse:
        if not call.once_key:
            return await self._run(call)
        key, body = call.once_digests()
        earlier_answer = await self.bus.ask(OnceBegin(key, call.team, body))
        if earlier_answer is not None:
            return earlier_answer
        call.claimed = True
        try:
            answer = await self._run(call, key)
        except BaseException as exc:
            if isinstance(exc, FirhookError) and exc.ran == "no":
                await self.bus.ask(OnceRelease(key))
            elif key not in self._late_once_keys:
                self.bus.publish(OnceLost(key))
            raise
        await self.bus.ask(OnceFinish(key, answer))
        return answer

    async def _run(self, call: Call, once_key: str = "") -> EndpointResponse:
        """Queue and send a request, and retry it where that is safe."""
        service = self._service(call.service)
        allowed_s = 0.0
        if not call.repeatable:
            # The time until the deadline once the body is received.  The caller
            # would have no more than this if it sent the request again.
            allowed_s = call.deadline - self.kernel.clock()
        tried: list[str] = []
        may_have_run = False
        while True:
            try:
                dispatched = await self._wait_for_slot(service, call, tried, allowed_s)
                return await self._send(service, call, dispatched, once_key)
            except FirhookError as exc:
                # If any attempt may have run, the caller must not get "not
                # run", whatever the error of a later attempt says.
                may_have_run = may_have_run or exc.ran != "no"
                send_failed = isinstance(exc, _RESENDABLE_ERRORS) and len(tried) > 0
                may_retry = send_failed and may_resend(
                    call.idempotent, exc.ran, len(tried)
                )
                if (
                    may_retry
                    and service.has_untried(tried)
                    and service.budget.try_spend()
                ):
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
        self._dispatch()
        dispatched = await waiter.fut
        tried.append(dispatched.view.key)
        return dispatched

    async def _send(
        self,
        service: Dispatcher,
        call: Call,
        dispatched: DispatchedRequest,
        once_key: str,
    ) -> EndpointResponse:
        """Send a request and wait for the response until the deadline.

        A runner continues a request after its caller has given up.  The
        exchange therefore continues too, and counts against the runner's slots
        and the team's limit, until it ends or reaches ``default_deadline_s``.
        """
        exchange = asyncio.create_task(
            self._exchange(service, call, dispatched, once_key)
        )
        remaining_s = max(call.deadline - self.kernel.clock(), 0.0)
        try:
            done, _ = await asyncio.wait({exchange}, timeout=remaining_s)
        except asyncio.CancelledError:
            self._track_late_exchange(exchange, once_key)
            raise
        if done:
            return exchange.result()
        self._track_late_exchange(exchange, once_key)
        raise EndpointTimeoutError(
            f"{dispatched.view.endpoint.name}: no answer in time",
            retry_after_s=1.0,
        )

    def _track_late_exchange(
        self, exchange: "asyncio.Task[EndpointResponse]", once_key: str
    ) -> None:
        self._late_once_keys.add(once_key)
        task = asyncio.create_task(self._finish_late_exchange(exchange, once_key))
        self._late_exchanges.add(task)
        task.add_done_callback(self._late_exchanges.discard)
        task.add_done_callback(log_failure("exchange.not_settled"))

    async def _finish_late_exchange(
        self, exchange: "asyncio.Task[EndpointResponse]", once_key: str
    ) -> None:
        """Wait for an exchange whose caller already got "outcome unknown".

        Until it ends, a repeat of a keyed request gets "in progress";
        afterwards the repeat gets the outcome.
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
            self._late_once_keys.discard(once_key)

    async def _exchange(
        self,
        service: Dispatcher,
        call: Call,
        dispatched: DispatchedRequest,
        once_key: str,
    ) -> EndpointResponse:
        if once_key:
            self.bus.publish(OnceSending(once_key))
        view = dispatched.view
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
            self._record_answer(service, call, dispatched, answer)
            return answer
        finally:
            service.end(dispatched, self.kernel.clock())
            self._dispatch()

    def _record_answer(
        self,
        service: Dispatcher,
        call: Call,
        dispatched: DispatchedRequest,
        answer: EndpointResponse,
    ) -> None:
        now = self.kernel.clock()
        duration_s = now - dispatched.started
        view = dispatched.view
        if answer.leaving:
            view.leaving = True
            self.kernel.load.leaving.add(view.key)
        expected_s = service.times.expected_s(call.kind)
        service.router.note_answer(view, duration_s, expected_s, now)
        service.times.record(call.kind, duration_s, now)
        service.budget.note_answer()
        self.stats.count_answer(
            call.team, call.klass, dispatched.started - call.arrived, duration_s
        )

    # -- the queue ---------------------------------------------------------

    def _dispatch(self) -> None:
        """Give free slots to waiting requests."""
        now = self.kernel.clock()
        for service in self._services.values():
            while (dispatched := service.dispatch_next(now, self._jitter)) is not None:
                waiter = dispatched.item.token
                if isinstance(dispatched, RefusedRequest):
                    _reject(waiter.fut, dispatched.exc)
                elif waiter.call.caller_gone or waiter.fut.done():
                    service.end(dispatched, now)
                    _reject(
                        waiter.fut,
                        CallerGoneError("closed before the request was sent"),
                    )
                else:
                    waiter.fut.set_result(dispatched)
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
                # An error caused by one request must not end the loop: the other
                # waiting requests would be kept past their deadlines.
                log("gateway.tick_failed", level="error", error=repr(exc))
            await self.sleep(_TICK_INTERVAL_S)

    def _tick(self, now: float) -> None:
        for service in self._services.values():
            for item in list(service.queue):
                if item.token.call.caller_gone:
                    service.queue.remove(item)
                    _reject(
                        item.token.fut,
                        CallerGoneError("closed while the request was queued"),
                    )
            self._jitter = random.random()
            for refused in service.refuse_hopeless(now, self._jitter):
                _reject(refused.item.token.fut, refused.exc)
        self._fleet.update_load(
            self.kernel.account, self._services.values(), self.kernel.load, now
        )
        if now - self._rebalanced_at >= REBALANCE_S:
            self._rebalance(now)
        self._dispatch()

    # -- the fleet's load --------------------------------------------------

    def _rebalance(self, now: float) -> None:
        self._rebalanced_at = now
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
        has_new_service = not listed.keys() <= self._services.keys()
        for name, endpoints in listed.items():
            if name not in self._services:
                self._services[name] = self._new_service()
            self._services[name].update(endpoints, now)
            if not endpoints and not self._services[name].running:
                self._drop_service(name)
        # A new service needs its parts of the runners' slots immediately.  The
        # others wait for the next periodic rebalance: a part takes effect after
        # several rounds agree, so extra rounds would distort that count.
        if has_new_service:
            self._rebalance(now)
        self._dispatch()

    def _new_service(self) -> Dispatcher:
        limits = QueueLimits(self.cfg.max_waiting, self.cfg.max_waiting_per_team)
        return Dispatcher(self.cfg.name, self.cfg.zone, self.kernel.account, limits)

    def _drop_service(self, name: str) -> None:
        service = self._services[name]
        if not len(service.queue):
            del self._services[name]

    def _on_peer_message(self, event: PeerMessage) -> None:
        if not isinstance(event.body, Gossip):
            return
        now = self.kernel.clock()
        self._fleet.add_gossip(event.peer, event.body, now)
        counts = self._fleet.excess_by_runner(now)
        leaving = [load.runner for load in event.body.runners if load.leaving]
        for service in self._services.values():
            service.router.set_peer_excess(counts)
            service.router.set_leaving(leaving)


@attrs.define(slots=True, eq=False)
class _Waiter:
    """The call of a queued request, and the future that its handler awaits."""

    call: Call
    fut: "asyncio.Future[DispatchedRequest]"


def _reject(fut: "asyncio.Future[DispatchedRequest]", exc: FirhookError) -> None:
    if not fut.done():
        fut.set_exception(exc)
