"""The connections for starts over real sockets, of which some are not answered."""

import asyncio
import contextlib
import time

import pytest
from aiohttp import web

from firhook.cell import OrderOutcome, Resources, StartOrder, WorkerEntry
from firhook.platform import _start_connections
from firhook.platform._sessions import open_sessions
from firhook.platform.workers import ORDER_TIMEOUT_S, HttpWorkers

#: Well above what a greeting and a start take, well below the timeout of an order.
DELAY_S = 0.06


class Process:
    """A process of a worker that leaves some greetings and starts unanswered.

    :ivar greetings: the connection of each greeting.
    :ivar starts: the task and the connection of each start.
    :ivar silent_greetings: the numbers of the greetings that it does not answer.
    :ivar silent_tasks: the tasks whose starts it does not answer.
    :ivar fence: the highest fencing token that it has seen.
    :ivar closes: whether it closes each connection after an answer.
    :ivar connections: the connections that are open.
    """

    def __init__(self, born):
        self.born = born
        self.greetings, self.starts = [], []
        self.silent_greetings, self.silent_tasks = set(), set()
        self.fence, self.closes = 0, False
        self.connections = set()
        self._tasks = set()

    async def _serve(self, request):
        body = await request.json()
        self.connections.add(request.transport)
        is_greeting = request.path == "/-/hold"
        if is_greeting:
            self.greetings.append(request.transport)
            silent = len(self.greetings) - 1 in self.silent_greetings
        else:
            self.starts.append((body["task"], request.transport))
            silent = body["task"] in self.silent_tasks
        if silent:
            await asyncio.sleep(5)
        reply = {"timestamp_ms": 1, "running": [], "finished": [], "reason": "fence"}
        if self.born:
            reply["born"] = self.born
        status = 409 if body["fencing_token"] < self.fence else 200
        resp = web.json_response(reply, status=status)
        if self.closes:
            resp.force_close()
        return resp

    @property
    def open_connections(self):
        """Return the number of connections that are open."""
        return sum(not transport.is_closing() for transport in self.connections)

    @contextlib.asynccontextmanager
    async def run(self, port=0):
        """Listen until the end; yield the port."""
        app = web.Application()
        app.router.add_post("/-/{name}", self._serve)
        runner = web.AppRunner(app, shutdown_timeout=0, handler_cancellation=True)
        await runner.setup()
        site = web.TCPSite(runner, "127.0.0.1", port, reuse_address=True)
        await site.start()
        try:
            yield runner.addresses[0][1]
        finally:
            await runner.cleanup()


@contextlib.asynccontextmanager
async def client(may_send=lambda: True):
    """Yield a client of the workers, and the connections for starts."""
    async with open_sessions() as sessions:
        yield HttpWorkers(sessions, may_send, lambda: DELAY_S), sessions.starts


def start(workers, port, number=0, born=1, sent=None):
    """Start a run on an incarnation of the worker that listens on a port.

    :param sent: gets the number of each order that is composed.
    """
    entry = WorkerEntry("w", born, "pool", f"127.0.0.1:{port}", "z0", Resources())

    def compose():
        if sent is not None:
            sent.append(number)
        return StartOrder(f"j.0.0.{number}", 1, "x", 3, 6.0)

    return workers.start(entry, 3, compose)


async def start_many(workers, port, count, first=0):
    calls = (start(workers, port, first + number) for number in range(count))
    return [answer.outcome for answer in await asyncio.gather(*calls)]


APPLIED = OrderOutcome.APPLIED


async def until(condition):
    """Wait until a condition holds."""
    async with asyncio.timeout(5):
        while not condition():
            await asyncio.sleep(0.005)


def test_unanswered_greeting_does_not_delay_starts():
    """All starts to a worker waited for each greeting, 0.8 s and longer."""

    async def scenario():
        process = Process(1)
        process.silent_greetings = {0}
        async with process.run() as port, client() as (workers, _):
            assert await start_many(workers, port, 1) == [APPLIED]
            assert await start_many(workers, port, 5, 1) == [APPLIED] * 5
            # The first greeting is still under way.
            assert not process.greetings[0].is_closing()

    asyncio.run(scenario())


def test_start_takes_the_connection_that_becomes_free_first():
    async def scenario():
        process = Process(1)
        process.silent_greetings = {1}
        async with process.run() as port, client() as (workers, _):
            first = asyncio.create_task(start(workers, port, 0))
            second = asyncio.create_task(start(workers, port, 1))
            answers = await asyncio.gather(first, second)
        assert [answer.outcome for answer in answers] == [APPLIED] * 2
        (_, connection), (_, other) = process.starts
        assert connection is other
        assert len(process.greetings) == 2

    asyncio.run(scenario())


def test_lost_start_leaves_the_connections_of_others():
    """One failed greeting or start made all connections of the worker unknown."""

    async def scenario():
        process = Process(1)
        process.silent_tasks = {"j.0.0.99"}
        async with process.run() as port, client() as (workers, _):
            assert await start_many(workers, port, 4) == [APPLIED] * 4
            lost = asyncio.create_task(start(workers, port, 99))
            await until(lambda: len(process.starts) == 5)
            before = len(process.greetings)
            assert await start_many(workers, port, 1, 4) == [APPLIED]
            assert (await lost).outcome is OrderOutcome.UNKNOWN
            assert await start_many(workers, port, 1, 5) == [APPLIED]
            assert len(process.greetings) == before
            lost_connection = process.starts[4][1]
            assert lost_connection not in [conn for _, conn in process.starts[5:]]

    asyncio.run(scenario())


@pytest.mark.parametrize("silent", [range(0, 99, 3), range(8)])
def test_burst_with_unanswered_greetings_takes_a_few_delays(silent):
    async def scenario():
        process = Process(1)
        process.silent_greetings = set(silent)
        async with process.run() as port, client() as (workers, _):
            began = time.monotonic()
            assert await start_many(workers, port, 20) == [APPLIED] * 20
            assert time.monotonic() - began < ORDER_TIMEOUT_S
        assert len(process.greetings) <= 20

    asyncio.run(scenario())


def test_burst_with_unanswered_starts_does_not_delay_the_others():
    async def scenario():
        process = Process(1)
        process.silent_tasks = {f"j.0.0.{number}" for number in range(0, 20, 3)}
        async with process.run() as port, client() as (workers, _):
            outcomes = await start_many(workers, port, 20)
        assert outcomes.count(OrderOutcome.UNKNOWN) == 7
        assert outcomes.count(APPLIED) == 13

    asyncio.run(scenario())


def test_start_gives_up_if_no_greeting_is_answered():
    async def scenario():
        process = Process(1)
        process.silent_greetings = set(range(99))
        async with process.run() as port, client() as (workers, starts):
            async with asyncio.timeout(4 * ORDER_TIMEOUT_S):
                outcomes = await start_many(workers, port, 40)
            assert outcomes == [OrderOutcome.NOT_SENT] * 40
            assert process.open_connections <= 32
            await until(lambda: not starts._workers and not starts._tasks)
            process.silent_greetings = set()
            assert await start_many(workers, port, 1) == [APPLIED]
        assert len(process.starts) == 1

    asyncio.run(scenario())


def test_start_that_no_worker_listens_for_is_not_sent_and_not_repeated():
    async def scenario():
        async with Process(1).run() as port:
            pass
        async with client() as (workers, starts):
            opened = []
            open_session = starts._open_session
            starts._open_session = lambda: opened.append(1) or open_session()
            outcomes = await start_many(workers, port, 20)
            assert outcomes == [OrderOutcome.NOT_SENT] * 20
            assert len(opened) <= 20

    asyncio.run(scenario())


@pytest.mark.parametrize("born", [2, 1])
def test_worker_that_comes_again_gets_starts_whatever_its_clock_says(born):
    """A worker whose clock had been set back never got a start again."""

    async def scenario():
        old, new = Process(3 - born), Process(born)
        async with client() as (workers, _):
            async with old.run() as port:
                answer = await start(workers, port, 0, born=3 - born)
                assert answer.outcome is APPLIED
            async with new.run(port):
                answer = await start(workers, port, 1, born=3 - born)
                assert answer.outcome is OrderOutcome.NOT_SENT
                assert answer.incarnation == born
                answer = await start(workers, port, 2, born=born)
                assert answer.outcome is APPLIED
        assert [task for task, _ in new.starts] == ["j.0.0.2"]

    asyncio.run(scenario())


def test_worker_that_closes_each_connection_gets_no_start_for_another_incarnation():
    """Its greeting shows the incarnation that runs, though nothing binds the start."""

    async def scenario():
        process = Process(2)
        process.closes = True
        async with process.run() as port, client() as (workers, _):
            answer = await start(workers, port, 0, born=1)
            assert (answer.outcome, answer.incarnation) == (OrderOutcome.NOT_SENT, 2)
            assert (await start(workers, port, 1, born=2)).outcome is APPLIED
        assert [task for task, _ in process.starts] == ["j.0.0.1"]

    asyncio.run(scenario())


def test_greeting_that_names_no_incarnation_gets_no_start():
    async def scenario():
        process = Process(0)
        async with process.run() as port, client() as (workers, starts):
            for born in (0, 1):
                answer = await start(workers, port, born=born)
                assert answer.outcome is OrderOutcome.NOT_SENT
            await until(lambda: not starts._tasks)
        assert process.starts == []

    asyncio.run(scenario())


@pytest.mark.parametrize("closes", [False, True])
def test_fenced_greeting_fences_the_start(closes):
    async def scenario():
        process = Process(1)
        process.fence, process.closes = 4, closes
        async with process.run() as port, client() as (workers, _):
            answers = await start_many(workers, port, 3)
        assert answers == [OrderOutcome.FENCED] * 3
        assert process.starts == []

    asyncio.run(scenario())


def test_greeting_of_an_earlier_lead_does_not_fence_a_later_one():
    """Both lead from one instance, whose later term the worker knows already."""

    async def scenario():
        process = Process(1)
        process.fence = 4
        async with process.run() as port, client() as (workers, _):
            entry = WorkerEntry("w", 1, "pool", f"127.0.0.1:{port}", "z0", Resources())
            early = asyncio.create_task(start(workers, port))
            await asyncio.sleep(0)
            late = asyncio.create_task(
                workers.start(entry, 4, lambda: StartOrder("j.0.0.1", 1, "x", 4, 6.0))
            )
            assert (await early).outcome is OrderOutcome.FENCED
            assert (await late).outcome is APPLIED

    asyncio.run(scenario())


def test_nothing_is_sent_by_a_lead_that_may_not_send():
    async def scenario():
        process, allowed, sent = Process(1), True, []
        async with (
            process.run() as port,
            client(lambda: allowed) as (workers, _),
        ):
            assert await start_many(workers, port, 1) == [APPLIED]
            allowed = False
            assert await start_many(workers, port, 3) == [OrderOutcome.NOT_SENT] * 3
            allowed = True
            answer = await start(workers, port, 9, sent=sent)
            assert (answer.outcome, sent) == (APPLIED, [9])
        assert len(process.greetings) == 1
        assert [task for task, _ in process.starts] == ["j.0.0.0", "j.0.0.9"]

    asyncio.run(scenario())


@pytest.mark.parametrize("turns", range(12))
def test_cancelled_starts_leave_the_connections_usable(turns):
    """A connection that was granted as its start was cancelled would be lost."""

    async def scenario():
        process = Process(1)
        async with process.run() as port, client() as (workers, starts):
            await start_many(workers, port, 2)
            calls = [
                asyncio.create_task(start(workers, port, number))
                for number in range(10, 30)
            ]
            for _ in range(turns):
                await asyncio.sleep(0)
            for call in calls[::2]:
                call.cancel()
            done = await asyncio.gather(*calls, return_exceptions=True)
            assert [answer.outcome for answer in done[1::2]] == [APPLIED] * 10
            assert await start_many(workers, port, 20, 40) == [APPLIED] * 20
            (conns,) = starts._workers.values()
            await until(lambda: not conns._greeting)
            assert len(conns._open) == len(conns._idle)
            await until(lambda: process.open_connections == len(conns._idle))

    asyncio.run(scenario())


def test_start_cancelled_as_it_gets_its_connection_gives_it_back():
    async def scenario():
        process = Process(1)
        async with process.run() as port, client() as (workers, starts):
            call = asyncio.create_task(start(workers, port))
            await asyncio.sleep(0)
            (conns,) = starts._workers.values()
            (waiter,) = conns._waiters
            waiter.grant.add_done_callback(lambda _: call.cancel())
            with contextlib.suppress(asyncio.CancelledError):
                await call
            assert process.starts == []
            assert len(conns._idle) == len(conns._open) == 1
            assert await start_many(workers, port, 1) == [APPLIED]
        assert len(process.greetings) == 1

    asyncio.run(scenario())


def test_closing_the_sessions_closes_connections_and_answers_starts():
    async def scenario():
        process = Process(1)
        process.silent_greetings = set(range(1, 99))
        async with process.run() as port:
            async with client() as (workers, starts):
                await start_many(workers, port, 1)
                process.silent_tasks = {"j.0.0.1"}
                busy = asyncio.create_task(start(workers, port, 1))
                waiting = asyncio.create_task(start(workers, port, 2))
                await until(lambda: len(process.greetings) == 2)
            assert (await waiting).outcome is OrderOutcome.NOT_SENT
            await asyncio.wait({busy})
            assert not starts._workers and not starts._tasks
            await until(lambda: process.open_connections == 0)

    asyncio.run(scenario())


@pytest.mark.parametrize("turns", range(6))
def test_closing_leaves_no_session_open_that_was_just_begun(turns):
    async def scenario():
        opened = []
        async with Process(1).run() as port, client() as (workers, starts):
            open_session = starts._open_session

            def recorded():
                opened.append(open_session())
                return opened[-1]

            starts._open_session = recorded
            call = asyncio.create_task(start(workers, port))
            for _ in range(turns):
                await asyncio.sleep(0)
            await starts.close()
            call.cancel()
            await asyncio.wait({call})
            assert all(session.closed for session in opened)

    asyncio.run(scenario())


def test_idle_connections_are_few_and_are_closed_in_time(monkeypatch):
    async def scenario():
        process = Process(1)
        monkeypatch.setattr(_start_connections, "IDLE_CONNECTION_S", 0.2)
        async with process.run() as port, client() as (workers, starts):
            for _ in range(3):
                await start_many(workers, port, 20)
            assert process.open_connections <= 8
            await until(lambda: not starts._workers)
            await until(lambda: process.open_connections == 0)
            assert await start_many(workers, port, 1) == [APPLIED]
        assert len(process.greetings) <= 9

    asyncio.run(scenario())
