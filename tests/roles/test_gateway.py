"""Tests of the gateway role with fake runners and a fake bus."""

import asyncio
import gzip
from types import SimpleNamespace

import aiohttp
from yarl import URL

from firhook._bus import Bus
from firhook._kernel import Load
from firhook._settings import Settings
from firhook.address import Address
from firhook.decide.limits import Account
from firhook.errors import (
    EndpointFailedError,
    LogUnavailableError,
    NoEndpointError,
)
from firhook.events import CapacityChanged, CapacityWanted, InstancesListed
from firhook.model import Endpoint, parse_list
from firhook.platform.clients import EndpointResponse
from firhook.queries import (
    Authenticate,
    CheckFresh,
    OnceBegin,
    OnceFinish,
    OnceLost,
    OnceRelease,
    OnceSending,
    Principal,
)
from firhook.roles._gateway import Gateway
from firhook.state import States
from firhook.stats import Stats
from tests.fakelog import until

RUNNERS = tuple(
    Endpoint(f"r{i}", "runner", "z", f"10.0.0.{i}:80", service="svc") for i in (1, 2)
)
FINE = EndpointResponse(200, (("Content-Type", "text/plain"),), b"fine")


class FakeRunners:
    """Runners that return the given outcomes in turn, and then ``FINE``.

    An outcome is a response, an error to raise, or an event to wait for before
    ``FINE`` is returned.
    """

    def __init__(self, *outcomes):
        self.outcomes = list(outcomes)
        self.sent = []

    async def send(self, endpoint, method, path, headers, body, timeout_s):
        self.sent.append(SimpleNamespace(**locals()))
        outcome = self.outcomes.pop(0) if self.outcomes else FINE
        if isinstance(outcome, asyncio.Event):
            await outcome.wait()
            return FINE
        if isinstance(outcome, Exception):
            raise outcome
        return outcome

    async def close(self):
        pass


def settings(**changed) -> Settings:
    nowhere = Address("127.0.0.1", 0)
    values = {
        "name": "i",
        "zone": "z",
        "zones": ("z",),
        "gateway": nowhere,
        "ops": nowhere,
        "peers": nowhere,
        "log_url": "http://127.0.0.1:9",
        "curve_public": "x" * 40,
        "curve_secret": "x" * 40,
        "operator_digest": "0" * 64,
        "drain_lag_s": 0.0,
        "drain_max_s": 0.2,
        **changed,
    }
    return Settings(**values)


class GatewayHarness:
    """A listening gateway with a fake kernel, bus and runners.

    :ivar events: the once queries and events in the order received.
    :ivar capacity: the capacity that a team gets once it asks for some.
    """

    def __init__(self, *outcomes, capacity=10, runners=RUNNERS, **changed):
        self.runners = FakeRunners(*outcomes)
        self.listed = runners
        self.events = []
        self.capacity = capacity
        bus = Bus()
        cfg = settings(**changed)
        self.kernel = SimpleNamespace(
            cfg=cfg,
            bus=bus,
            states=States(("z",), "z"),
            platform=SimpleNamespace(endpoints=self.runners),
            clock=lambda: asyncio.get_running_loop().time(),
            account=Account(),
            load=Load(),
            stats=Stats(),
            routes={"api": [], "ops": []},
            ports={},
            stopping=False,
        )
        bus.register_handler(Authenticate, self._authenticate)
        for kind in (OnceBegin, OnceFinish, OnceRelease, CheckFresh):
            bus.register_handler(kind, self._record_query)
        bus.subscribe(OnceSending, self.events.append)
        bus.subscribe(CapacityWanted, self._grant_room)

    async def _authenticate(self, query):
        return Principal("k", query.authorization.partition(" ")[2])

    async def _record_query(self, query):
        if not isinstance(query, CheckFresh):
            self.events.append(query)

    def _grant_room(self, event):
        self.kernel.account.capacity[event.team] = self.capacity
        if self.capacity:
            loop = asyncio.get_running_loop()
            loop.call_soon(self.kernel.bus.publish, CapacityChanged(event.team))

    def kinds(self):
        return [type(e).__name__ for e in self.events]

    async def __aenter__(self):
        self.gateway = Gateway(self.kernel)
        await self.gateway.start()
        self.kernel.bus.publish(InstancesListed(self.listed))
        self.http = aiohttp.ClientSession(auto_decompress=False)
        return self

    async def __aexit__(self, *exc):
        await self.http.close()
        await self.gateway.stop()

    async def call(self, method="GET", path="/r/svc/x", headers=None, **kw):
        url = URL(f"http://{self.kernel.ports['gateway']}{path}", encoded=True)
        headers = {"Authorization": "Bearer team", **(headers or {})}
        async with self.http.request(method, url, headers=headers, **kw) as resp:
            body = await resp.read()
            data = None
            if resp.content_type == "application/problem+json":
                data = await resp.json(content_type=None)
            return SimpleNamespace(
                status=resp.status, body=body, problem=data, headers=resp.headers
            )


def run_with_gateway(scenario, *outcomes, **kw):
    async def run():
        async with GatewayHarness(*outcomes, **kw) as harness:
            return await scenario(harness)

    return asyncio.run(run())


def broken_connection(ran="unknown"):
    return EndpointFailedError("connection broken", ran=ran)


def test_refusal_after_a_broken_attempt_does_not_claim_that_nothing_ran():
    """The first runner's connection breaks after it may have run the request, and
    the next ones are unreachable.  The caller must not get their "ran: no".
    """

    async def scenario(harness):
        answer = await harness.call("PUT")
        assert len(harness.runners.sent) == 3
        assert answer.problem["code"] == "endpoint.none"
        assert answer.problem["ran"] == "unknown"

    gone = [NoEndpointError("gone") for _ in range(2)]
    more = (
        *RUNNERS,
        Endpoint("r3", "runner", "z", "10.0.0.3:80", service="svc"),
    )
    run_with_gateway(scenario, broken_connection(), *gone, runners=more)


def test_charge_is_not_resent_once_a_byte_may_have_been_sent():
    """The runner's connection breaks during a charge.  If the charge were sent
    again, it could run twice.
    """

    async def scenario(harness):
        answer = await harness.call("POST", data=b"charge")
        assert answer.status == 502
        assert answer.problem["ran"] == "unknown"
        assert len(harness.runners.sent) == 1

    run_with_gateway(scenario, broken_connection())


def test_charge_goes_to_another_runner_if_certainly_not_sent():
    async def scenario(harness):
        answer = await harness.call("POST", data=b"charge")
        assert answer.body == b"fine"
        names = [s.endpoint.name for s in harness.runners.sent]
        assert sorted(names) == ["r1", "r2"]

    run_with_gateway(scenario, NoEndpointError("gone"))


def test_keyed_charge_is_claimed_marked_and_finished_in_order():
    async def scenario(harness):
        headers = {"Idempotency-Key": "k1"}
        await harness.call("POST", headers=headers, data=b"charge")
        assert harness.kinds() == [
            "OnceBegin",
            "OnceSending",
            "OnceSending",
            "OnceFinish",
        ]

    run_with_gateway(scenario, NoEndpointError("gone"))


def test_claim_is_released_only_if_the_charge_certainly_did_not_run():
    async def scenario(harness):
        headers = {"Idempotency-Key": "k1"}
        answer = await harness.call("POST", headers=headers)
        return answer.problem["ran"], harness.kinds()[-1]

    gone = [NoEndpointError("gone") for _ in range(3)]
    assert run_with_gateway(scenario, *gone) == ("no", "OnceRelease")
    assert run_with_gateway(scenario, broken_connection()) == ("unknown", "OnceSending")


def test_late_response_to_a_keyed_charge_is_stored_and_its_slot_counted_until_then():
    """A charge takes longer than its caller's deadline, and the caller gets
    "outcome unknown".  The runner continues, so its slot and the team's capacity
    stay in use, and the outcome is stored for a repeat.
    """

    async def scenario(harness):
        headers = {"Idempotency-Key": "k1", "X-Deadline-Ms": "100"}
        answer = await harness.call("POST", headers=headers)
        assert answer.status == 504
        assert answer.problem["ran"] == "unknown"
        account = harness.kernel.account
        assert account.running == {"team": 1}
        assert "OnceFinish" not in harness.kinds()
        held.set()
        while account.running or "OnceFinish" not in harness.kinds():
            await asyncio.sleep(0.01)

    held = asyncio.Event()
    run_with_gateway(scenario, held)


def test_keyed_charge_that_ends_after_its_handler_was_cancelled_is_stored():
    """A stopping instance cancels its last handlers while a runner still works.

    The runner's response must be stored, since the caller's repeat asks for it.
    """

    async def scenario(harness):
        headers = {"Idempotency-Key": "k1"}
        asking = asyncio.create_task(harness.call("POST", headers=headers))
        while not harness.runners.sent:
            await asyncio.sleep(0.01)
        [conn] = harness.gateway._runner.server.connections
        conn._task_handler.cancel()
        await asyncio.gather(asking, return_exceptions=True)
        assert "OnceFinish" not in harness.kinds()
        held.set()
        await until(lambda: "OnceFinish" in harness.kinds())

    held = asyncio.Event()
    run_with_gateway(scenario, held)


def test_unexpected_error_after_the_deadline_leaves_no_key_in_progress(
    caplog,
):
    """A late exchange fails with an unexpected exception.

    Repeats of the request must not get "in progress" forever.
    """

    async def scenario(harness):
        headers = {"Idempotency-Key": "k1", "X-Deadline-Ms": "100"}
        answer = await harness.call("POST", headers=headers)
        assert answer.status == 504
        assert lost == []
        held.set()
        await until(lambda: lost)

    class Held(asyncio.Event):
        async def wait(self):
            await super().wait()
            raise RuntimeError("on purpose")

    async def run():
        async with GatewayHarness(held) as harness:
            harness.kernel.bus.subscribe(OnceLost, lost.append)
            await scenario(harness)

    held, lost = Held(), []
    asyncio.run(run())
    [line] = [r for r in caplog.records if r.message == "exchange.late_failure"]
    assert "on purpose" in line.error


def test_request_of_a_disconnected_caller_is_dequeued_and_never_run():
    """A caller disconnects while its request waits for capacity.  The request
    must leave the queue and must not run.
    """

    async def scenario(harness):
        call = asyncio.create_task(harness.call())
        service = harness.gateway._services["svc"]
        while not len(service.queue):
            await asyncio.sleep(0.01)
        call.cancel()
        while len(service.queue):
            await asyncio.sleep(0.01)
        harness.kernel.account.capacity["team"] = 10
        assert (await harness.call(path="/r/svc/other")).body == b"fine"
        assert [s.path for s in harness.runners.sent] == ["/other"]

    run_with_gateway(scenario, capacity=0)


def send_after_slow_post(method, headers=None):
    """Send a request that waits while a POST of 3.5 s runs.

    Its deadline is 6 s, and the POST was sent just before it.

    :return: the response, and the methods that the runners received.
    """

    async def scenario(harness):
        loop = asyncio.get_running_loop()
        first = asyncio.create_task(harness.call("POST", data=b"1"))
        while not harness.runners.sent:
            await asyncio.sleep(0.01)
        call = harness.call(method, headers=headers, data=b"2")
        second = asyncio.create_task(call)
        while not len(harness.gateway._services["svc"].queue):
            await asyncio.sleep(0.01)
        harness.kernel.clock = lambda: loop.time() + 3.5
        held.set()
        assert (await first).body == b"fine"
        return await second, [sent.method for sent in harness.runners.sent]

    held = asyncio.Event()
    return run_with_gateway(scenario, held, capacity=1, default_deadline_s=6.0)


def test_post_is_not_started_too_late_to_learn_its_outcome():
    """A POST waits for its team's capacity and has 2.5 s left when it could be
    sent; the POST before it took 3.5 s.  If it were sent, it could take effect
    after its caller got "outcome unknown".
    """
    answer, sent = send_after_slow_post("POST")
    assert sent == ["POST"]
    assert answer.problem["code"] == "queue.deadline"
    assert answer.problem["ran"] == "no"
    assert answer.problem["retry_after"] > 0


def test_repeatable_request_is_served_with_any_time_left():
    """An idempotent request and a keyed POST wait as long.  Their callers may
    repeat them if the outcome stays unknown.  A refusal would deny them a
    response that most likely arrives in time.
    """
    keyed = {"Idempotency-Key": "k"}
    for method, headers in (("PUT", {}), ("POST", keyed)):
        answer, sent = send_after_slow_post(method, headers)
        assert answer.body == b"fine"
        assert sent == ["POST", method]


def test_request_waiting_at_the_stop_is_refused_as_not_run():
    """An instance stops while a request waits that cannot be served in time.  The
    caller must retry at once, since the balancer picks another instance.
    """

    async def scenario(harness):
        call = asyncio.create_task(harness.call())
        while not len(harness.gateway._services["svc"].queue):
            await asyncio.sleep(0.01)
        harness.kernel.stopping = True
        await harness.gateway.drain()
        answer = await call
        assert answer.problem["code"] == "instance.stopping"
        assert answer.problem["ran"] == "no"
        assert answer.headers["Retry-After"] == "0"
        assert answer.headers["Connection"] == "close"

    run_with_gateway(scenario, capacity=0)


def test_request_in_flight_at_the_stop_gets_its_complete_response():
    async def scenario(harness):
        call = asyncio.create_task(harness.call())
        while not harness.runners.sent:
            await asyncio.sleep(0.01)
        harness.kernel.stopping = True
        drained = asyncio.create_task(harness.gateway.drain())
        await asyncio.sleep(0.05)
        held.set()
        answer = await call
        await drained
        assert answer.body == b"fine"
        assert answer.headers["Connection"] == "close"

    held = asyncio.Event()
    run_with_gateway(scenario, held, drain_max_s=5.0)


def test_path_query_headers_and_compressed_body_pass_unchanged():
    """The path contains an encoded slash, "%2F", and the body is compressed.  If
    either were decoded on the way, the runner would write another record.
    """

    async def scenario(harness):
        packed = gzip.compress(b"entry")
        path = "/r/svc/a%2Fb/%C3%A9//c;d?x=%20&x=1+2"
        headers = {"Content-Encoding": "gzip", "X-Class": "bulk"}
        await harness.call("PUT", path, headers=headers, data=packed)
        (sent,) = harness.runners.sent
        assert sent.path == path.removeprefix("/r/svc")
        assert sent.body == packed
        assert sent.headers["Content-Encoding"] == "gzip"
        assert "Authorization" not in sent.headers
        assert "X-Class" not in sent.headers

    run_with_gateway(scenario)


def test_refusal_before_the_claim_covers_only_its_own_attempt():
    """A charge ran, its response was lost, and then the log fails.

    The repeat cannot be checked and does not run.  If the refusal did not
    mention earlier attempts, the caller would charge again in another way.
    """

    async def scenario(harness):
        headers = {"Idempotency-Key": "k"}
        first = await harness.call("POST", path="/r/other/x", headers=headers)
        assert first.problem["ran"] == "no"
        assert harness.kinds() == ["OnceBegin", "OnceRelease"]
        assert "earlier_attempts" not in first.problem

        async def out(query):
            raise LogUnavailableError("the log is out", retry_after_s=1.0)

        harness.kernel.bus._handlers[OnceBegin] = out
        again = await harness.call("POST", path="/r/other/x", headers=headers)
        assert again.problem["ran"] == "no"
        assert again.problem["earlier_attempts"] == "unknown"

    run_with_gateway(scenario)


def test_bad_requests_get_typed_errors_with_remedies():
    async def scenario(harness):
        async def code(**kw):
            answer = await harness.call(**kw)
            assert answer.problem["remedy"]
            assert answer.problem["ran"] == "no"
            return answer.status, answer.problem["code"]

        malformed = (400, "request.malformed")
        assert await code(headers={"X-Class": "urgent"}) == malformed
        for deadline in ("0", "-1", "1.5", "soon", "²", "9" * 5000 + "x"):
            headers = {"X-Deadline-Ms": deadline}
            assert await code(headers=headers) == malformed
        headers = {"Idempotency-Key": "k" * 256}
        assert await code(method="POST", headers=headers) == malformed
        assert await code(data=b"x" * 2000) == (413, "request.too_large")
        assert await code(path="/r/other/x") == (503, "endpoint.none")
        assert await code(headers={"Authorization": "Bearer "}) == (
            403,
            "key.not_permitted",
        )
        assert harness.runners.sent == []

    run_with_gateway(scenario, max_body_bytes=1000)


def test_full_team_queue_is_refused_at_once_with_a_retry_time():
    async def scenario(harness):
        calls = [asyncio.create_task(harness.call()) for _ in range(5)]
        done, waiting = await asyncio.wait(calls, return_when=asyncio.FIRST_COMPLETED)
        answer = done.pop().result()
        assert answer.status == 429
        assert answer.problem["retry_after"] > 0
        for call in waiting:
            call.cancel()
        await asyncio.wait(waiting)

    run_with_gateway(scenario, capacity=0, max_waiting_per_team=4)


def test_plan_shares_weigh_the_teams():
    """One team's plan has three times the share of the other's."""

    async def scenario(harness):
        config = harness.kernel.states.config
        plans = parse_list("plans", "[p]\nshare=3\nlimit=9\n[q]\nshare=1\nlimit=9\n")
        teams = parse_list("teams", "[a]\nplan=p\n[b]\nplan=q\n")
        config.rows, config.plans, config.teams = config._merge_rows(plans + teams)
        harness.gateway._rebalance(harness.kernel.clock())
        weights = harness.gateway._services["svc"].weights
        assert weights == {"a": 3.0, "b": 1.0}

    run_with_gateway(scenario)
