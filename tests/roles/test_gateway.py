"""The gateway before fake runners: what callers see, and what runners get."""

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
    """Answers each request with the next of its outcomes, then with ``FINE``.

    An outcome is an answer, an error, or an event to wait for before ``FINE``.
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


class World:
    """A gateway that listens, with everything around it faked."""

    def __init__(self, *outcomes, room=10, runners=RUNNERS, **changed):
        self.runners = FakeRunners(*outcomes)
        self.listed = runners
        self.events = []
        self.room = room
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
            bus.register_handler(kind, self._note)
        bus.subscribe(OnceSending, self.events.append)
        bus.subscribe(CapacityWanted, self._lend)

    async def _authenticate(self, query):
        return Principal("k", query.authorization.partition(" ")[2])

    async def _note(self, query):
        if not isinstance(query, CheckFresh):
            self.events.append(query)

    def _lend(self, event):
        self.kernel.account.capacity[event.team] = self.room
        if self.room:
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


def in_world(scenario, *outcomes, **kw):
    async def run():
        async with World(*outcomes, **kw) as world:
            return await scenario(world)

    return asyncio.run(run())


def cut(ran="unknown"):
    return EndpointFailedError("cut", ran=ran)


def test_refusal_after_a_cut_try_does_not_say_that_nothing_ran():
    """A quote's first runner is cut after it may have run it, and the second
    cannot be reached.  "ran: no" of the second try would be false of the whole.
    """

    async def scenario(world):
        answer = await world.call("PUT")
        assert len(world.runners.sent) == 3
        assert answer.problem["code"] == "endpoint.none"
        assert answer.problem["ran"] == "unknown"

    gone = [NoEndpointError("gone") for _ in range(2)]
    more = (
        *RUNNERS,
        Endpoint("r3", "runner", "z", "10.0.0.3:80", service="svc"),
    )
    in_world(scenario, cut(), *gone, runners=more)


def test_charge_is_not_sent_again_once_a_byte_may_have_left():
    """The runner's connection breaks in the middle of a renewal charge.  Sent
    again, the customer might be charged twice.
    """

    async def scenario(world):
        answer = await world.call("POST", data=b"charge")
        assert answer.status == 502
        assert answer.problem["ran"] == "unknown"
        assert len(world.runners.sent) == 1

    in_world(scenario, cut())


def test_charge_goes_to_another_runner_if_certainly_not_sent():
    async def scenario(world):
        answer = await world.call("POST", data=b"charge")
        assert answer.body == b"fine"
        names = [s.endpoint.name for s in world.runners.sent]
        assert sorted(names) == ["r1", "r2"]

    in_world(scenario, NoEndpointError("gone"))


def test_keyed_charge_is_claimed_marked_and_finished_in_this_order():
    async def scenario(world):
        headers = {"Idempotency-Key": "k1"}
        await world.call("POST", headers=headers, data=b"charge")
        assert world.kinds() == [
            "OnceBegin",
            "OnceSending",
            "OnceSending",
            "OnceFinish",
        ]

    in_world(scenario, NoEndpointError("gone"))


def test_claim_is_given_back_only_if_the_charge_certainly_did_not_run():
    async def scenario(world):
        headers = {"Idempotency-Key": "k1"}
        answer = await world.call("POST", headers=headers)
        return answer.problem["ran"], world.kinds()[-1]

    gone = [NoEndpointError("gone") for _ in range(3)]
    assert in_world(scenario, *gone) == ("no", "OnceRelease")
    assert in_world(scenario, cut()) == ("unknown", "OnceSending")


def test_late_answer_to_a_keyed_charge_is_stored_and_its_slot_counted_till_then():
    """A charge takes longer than its caller waits.  The caller is told that the
    outcome is unknown; the runner still works on it, so its slot and the team's
    room stay used, and the outcome is kept for the caller's repeat.
    """

    async def scenario(world):
        headers = {"Idempotency-Key": "k1", "X-Deadline-Ms": "100"}
        answer = await world.call("POST", headers=headers)
        assert answer.status == 504
        assert answer.problem["ran"] == "unknown"
        account = world.kernel.account
        assert account.running == {"team": 1}
        assert "OnceFinish" not in world.kinds()
        held.set()
        while account.running or "OnceFinish" not in world.kinds():
            await asyncio.sleep(0.01)

    held = asyncio.Event()
    in_world(scenario, held)


def test_keyed_charge_that_ends_after_its_handler_was_cut_off_is_kept():
    """An instance cuts its last requests off at a stop while a runner works.

    The runner's answer is still worth keeping: the caller's repeat asks for it.
    """

    async def scenario(world):
        headers = {"Idempotency-Key": "k1"}
        asking = asyncio.create_task(world.call("POST", headers=headers))
        while not world.runners.sent:
            await asyncio.sleep(0.01)
        [conn] = world.gateway._runner.server.connections
        conn._task_handler.cancel()
        await asyncio.gather(asking, return_exceptions=True)
        assert "OnceFinish" not in world.kinds()
        held.set()
        await until(lambda: "OnceFinish" in world.kinds())

    held = asyncio.Event()
    in_world(scenario, held)


def test_failure_that_nobody_foresaw_after_the_deadline_leaves_no_key_in_progress(
    caplog,
):
    """A late exchange fails otherwise than by an error of ours.

    Repeats of the request were told that it is in progress, for ever.
    """

    async def scenario(world):
        headers = {"Idempotency-Key": "k1", "X-Deadline-Ms": "100"}
        answer = await world.call("POST", headers=headers)
        assert answer.status == 504
        assert lost == []
        held.set()
        await until(lambda: lost)

    class Held(asyncio.Event):
        async def wait(self):
            await super().wait()
            raise RuntimeError("on purpose")

    async def run():
        async with World(held) as world:
            world.kernel.bus.subscribe(OnceLost, lost.append)
            await scenario(world)

    held, lost = Held(), []
    asyncio.run(run())
    [line] = [r for r in caplog.records if r.message == "exchange.late_failure"]
    assert "on purpose" in line.error


def test_caller_that_goes_away_frees_its_place_and_is_never_run():
    """A page is closed while its quote waits for room.  Its place in the queue
    belongs to those who still wait.
    """

    async def scenario(world):
        call = asyncio.create_task(world.call())
        service = world.gateway._services["svc"]
        while not len(service.queue):
            await asyncio.sleep(0.01)
        call.cancel()
        while len(service.queue):
            await asyncio.sleep(0.01)
        world.kernel.account.capacity["team"] = 10
        assert (await world.call(path="/r/svc/other")).body == b"fine"
        assert [s.path for s in world.runners.sent] == ["/other"]

    in_world(scenario, room=0)


def after_a_slow_one(method, headers=None):
    """Send a request that gets its turn when a post of 3.5 s ends before it.

    Its deadline is 6 s and the post came just before it.  Return its answer and
    the methods that the runners got.
    """

    async def scenario(world):
        loop = asyncio.get_running_loop()
        first = asyncio.create_task(world.call("POST", data=b"1"))
        while not world.runners.sent:
            await asyncio.sleep(0.01)
        call = world.call(method, headers=headers, data=b"2")
        second = asyncio.create_task(call)
        while not len(world.gateway._services["svc"].queue):
            await asyncio.sleep(0.01)
        world.kernel.clock = lambda: loop.time() + 3.5
        held.set()
        assert (await first).body == b"fine"
        return await second, [sent.method for sent in world.runners.sent]

    held = asyncio.Event()
    return in_world(scenario, held, room=1, default_deadline_s=6.0)


def test_post_is_not_started_so_late_that_its_outcome_would_be_unknown():
    """A logbook entry waits while its team has no room, and has 2.5 s left when
    its turn comes; the entry before it took 3.5 s.  Sent all the same, it may be
    recorded after its installer has been told that nobody knows.
    """
    answer, sent = after_a_slow_one("POST")
    assert sent == ["POST"]
    assert answer.problem["code"] == "queue.deadline"
    assert answer.problem["ran"] == "no"
    assert answer.problem["retry_after"] > 0


def test_request_that_can_be_repeated_is_served_with_whatever_time_is_left():
    """A quote, and a charge that has a key, wait as long.  Their callers lose
    nothing if the outcome stays unknown, since they may ask again; refused, they
    would lose an answer that most likely comes in time.
    """
    keyed = {"Idempotency-Key": "k"}
    for method, headers in (("PUT", {}), ("POST", keyed)):
        answer, sent = after_a_slow_one(method, headers)
        assert answer.body == b"fine"
        assert sent == ["POST", method]


def test_request_waiting_at_the_stop_is_refused_as_not_run():
    """An instance stops while a request waits that cannot be served in time.  Its
    caller is told to come back at once: the balancer picks another instance.
    """

    async def scenario(world):
        call = asyncio.create_task(world.call())
        while not len(world.gateway._services["svc"].queue):
            await asyncio.sleep(0.01)
        world.kernel.stopping = True
        await world.gateway.drain()
        answer = await call
        assert answer.problem["code"] == "instance.stopping"
        assert answer.problem["ran"] == "no"
        assert answer.headers["Retry-After"] == "0"
        assert answer.headers["Connection"] == "close"

    in_world(scenario, room=0)


def test_request_in_flight_at_the_stop_gets_its_whole_answer():
    async def scenario(world):
        call = asyncio.create_task(world.call())
        while not world.runners.sent:
            await asyncio.sleep(0.01)
        world.kernel.stopping = True
        drained = asyncio.create_task(world.gateway.drain())
        await asyncio.sleep(0.05)
        held.set()
        answer = await call
        await drained
        assert answer.body == b"fine"
        assert answer.headers["Connection"] == "close"

    held = asyncio.Event()
    in_world(scenario, held, drain_max_s=5.0)


def test_path_query_headers_and_packed_body_pass_as_they_were_sent():
    """A logbook's record name holds a slash, "%2F", and its entry is packed.
    Unpacked or decoded on the way, another record would be written.
    """

    async def scenario(world):
        packed = gzip.compress(b"entry")
        path = "/r/svc/a%2Fb/%C3%A9//c;d?x=%20&x=1+2"
        headers = {"Content-Encoding": "gzip", "X-Class": "bulk"}
        await world.call("PUT", path, headers=headers, data=packed)
        (sent,) = world.runners.sent
        assert sent.path == path.removeprefix("/r/svc")
        assert sent.body == packed
        assert sent.headers["Content-Encoding"] == "gzip"
        assert "Authorization" not in sent.headers
        assert "X-Class" not in sent.headers

    in_world(scenario)


def test_refusal_before_the_claim_speaks_of_its_own_attempt_only():
    """A renewal was charged, its answer was lost, and the log goes out.

    The repeat cannot be looked up and is not run.  Told no more than that, the
    caller would charge the customer again by another way.
    """

    async def scenario(world):
        headers = {"Idempotency-Key": "k"}
        first = await world.call("POST", path="/r/other/x", headers=headers)
        assert first.problem["ran"] == "no"
        assert world.kinds() == ["OnceBegin", "OnceRelease"]
        assert "earlier_attempts" not in first.problem

        async def out(query):
            raise LogUnavailableError("the log is out", retry_after_s=1.0)

        world.kernel.bus._handlers[OnceBegin] = out
        again = await world.call("POST", path="/r/other/x", headers=headers)
        assert again.problem["ran"] == "no"
        assert again.problem["earlier_attempts"] == "unknown"

    in_world(scenario)


def test_bad_requests_get_typed_errors_that_say_what_to_mend():
    async def scenario(world):
        async def code(**kw):
            answer = await world.call(**kw)
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
        assert world.runners.sent == []

    in_world(scenario, max_body_bytes=1000)


def test_full_queue_of_a_team_is_refused_at_once_with_a_time_to_come_back():
    async def scenario(world):
        calls = [asyncio.create_task(world.call()) for _ in range(5)]
        done, waiting = await asyncio.wait(calls, return_when=asyncio.FIRST_COMPLETED)
        answer = done.pop().result()
        assert answer.status == 429
        assert answer.problem["retry_after"] > 0
        for call in waiting:
            call.cancel()
        await asyncio.wait(waiting)

    in_world(scenario, room=0, max_waiting_per_team=4)


def test_plan_shares_weigh_the_teams():
    """The lists give one team three times the share of another."""

    async def scenario(world):
        config = world.kernel.states.config
        plans = parse_list("plans", "[p]\nshare=3\nlimit=9\n[q]\nshare=1\nlimit=9\n")
        teams = parse_list("teams", "[a]\nplan=p\n[b]\nplan=q\n")
        config.rows, config.plans, config.teams = config._merged(plans + teams)
        world.gateway._rebalance(world.kernel.clock())
        weights = world.gateway._services["svc"].weights
        assert weights == {"a": 3.0, "b": 1.0}

    in_world(scenario)
