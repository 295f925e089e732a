"""The HTTP client of the workers over real sockets."""

import asyncio
import contextlib

import msgspec
import pytest
from aiohttp import web

from firhook.cell import (
    EndCursor,
    OrderOutcome,
    Resources,
    StartOrder,
    WorkerEntry,
)
from firhook.errors import WorkerUnreachableError
from firhook.platform._client import NoKeptConnectionError, call
from firhook.platform._sessions import open_sessions
from firhook.platform.workers import HttpWorkers

ACK = EndCursor(1, 57)


class Incarnation:
    """A process of a worker that records the polls that it gets.

    :ivar closes: whether it closes the connection after each reply.
    :ivar reply_after_s: how long a poll takes.
    """

    def __init__(self, born, closes=False):
        self._born, self.closes = born, closes
        self.reply_after_s = 0.0
        self.polls, self.starts = [], []

    async def _start(self, req):
        self.starts.append(msgspec.json.decode(await req.read()))
        resp = web.json_response({"timestamp_ms": 1, "born": self._born})
        if self.closes:
            resp.force_close()
        return resp

    async def _hold(self, req):
        self.polls.append(msgspec.json.decode(await req.read()))
        await asyncio.sleep(self.reply_after_s)
        reply = {"timestamp_ms": 1, "born": self._born, "running": [], "finished": []}
        resp = web.json_response(reply)
        if self.closes:
            resp.force_close()
        return resp

    @contextlib.asynccontextmanager
    async def run(self, port=0):
        """Listen until the end; yield the port."""
        app = web.Application()
        app.router.add_post("/-/hold", self._hold)
        app.router.add_post("/-/run-start", self._start)
        runner = web.AppRunner(app, shutdown_timeout=0)
        await runner.setup()
        site = web.TCPSite(runner, "127.0.0.1", port, reuse_address=True)
        await site.start()
        try:
            yield runner.addresses[0][1]
        finally:
            await runner.cleanup()


def entry(port):
    """Return the registration of a worker that listens on a port."""
    return WorkerEntry("w", 1, "pool", f"127.0.0.1:{port}", "z0", Resources())


def poll(workers, port, ack=ACK):
    return workers.poll(entry(port), 3, ack, 6.0, 0.5)


def test_poll_renews_and_acknowledges_on_the_connection_of_the_last_reply():
    async def scenario():
        process = Incarnation(1)
        async with open_sessions() as sessions, process.run() as port:
            workers = HttpWorkers(sessions, lambda: True)
            await poll(workers, port, EndCursor())
            await poll(workers, port)
            await poll(workers, port)
        first, *others = process.polls
        assert first == {"fencing_token": 3, "ack_cursor": 0}
        bound = {"ack_cursor": 57, "deadline_ms": 6000, "wait_ms": 500}
        assert others == [{"fencing_token": 3, **bound}] * 2

    asyncio.run(scenario())


@pytest.mark.parametrize("is_known", [False, True])
def test_acknowledgement_on_its_way_does_not_reach_a_restarted_worker(is_known):
    """A worker restarts at its address before a poll arrives.

    Its new incarnation would delete ends that nobody has read, and their tasks would
    run again.

    :param is_known: whether a poll was answered before the restart.
    """

    async def scenario():
        old, new = Incarnation(1), Incarnation(2)
        async with open_sessions() as sessions:
            workers = HttpWorkers(sessions, lambda: True)
            async with old.run() as port:
                if is_known:
                    await poll(workers, port, EndCursor())
            async with new.run(port):
                with contextlib.suppress(WorkerUnreachableError):
                    await poll(workers, port)
                reply = await poll(workers, port)
        assert reply.incarnation == 2
        assert new.polls[0] == {"fencing_token": 3, "ack_cursor": 0}

    asyncio.run(scenario())


def test_worker_that_announces_the_end_of_each_connection_gets_its_lease():
    """Without a kept connection its lease would never be renewed."""

    async def scenario():
        process = Incarnation(1, closes=True)
        async with open_sessions() as sessions, process.run() as port:
            workers = HttpWorkers(sessions, lambda: True)
            await poll(workers, port, EndCursor())
            await poll(workers, port)
        assert process.polls[1]["deadline_ms"] == 6000

    asyncio.run(scenario())


def test_last_reply_of_a_stopping_worker_does_not_bind_the_next_poll():
    """A server that stops announces the end of its connections too."""

    async def scenario():
        old, new = Incarnation(1), Incarnation(2)
        async with open_sessions() as sessions:
            workers = HttpWorkers(sessions, lambda: True)
            async with old.run() as port:
                await poll(workers, port, EndCursor())
                old.closes = True
                await poll(workers, port)
            async with new.run(port):
                await poll(workers, port)
        assert old.polls[1]["deadline_ms"] == 6000
        assert new.polls[0] == {"fencing_token": 3, "ack_cursor": 0}

    asyncio.run(scenario())


def test_call_on_a_kept_connection_opens_none():
    async def scenario():
        process = Incarnation(1)
        async with open_sessions() as sessions, process.run() as port:
            url = f"http://127.0.0.1:{port}/-/hold"
            with pytest.raises(NoKeptConnectionError):
                await call(
                    sessions.polls, "POST", url, 1.0, b"{}", on_kept_connection=True
                )
        assert process.polls == []

    asyncio.run(scenario())


def start(workers, port, number=0, ticket=""):
    """Start a run on the incarnation that :func:`entry` names."""
    order = StartOrder(f"j.0.0.{number}", 1, "x", 3, 6.0, ticket=ticket)
    return workers.start(entry(port), 3, lambda: order)


@pytest.mark.parametrize("ticket", ["", "t"])
def test_start_opens_a_connection_with_a_greeting_and_keeps_it(ticket):
    async def scenario():
        process = Incarnation(1)
        async with open_sessions() as sessions, process.run() as port:
            workers = HttpWorkers(sessions, lambda: True)
            for number in range(3):
                answer = await start(workers, port, number, ticket)
                assert answer.outcome is OrderOutcome.APPLIED
        assert process.polls == [{"fencing_token": 3, "ack_cursor": 0}]
        assert [s.get("ticket", "") for s in process.starts] == [ticket] * 3

    asyncio.run(scenario())


def test_starts_sent_together_are_all_carried_out():
    async def scenario():
        process = Incarnation(1)
        async with open_sessions() as sessions, process.run() as port:
            workers = HttpWorkers(sessions, lambda: True)
            for _ in range(3):
                answers = await asyncio.gather(
                    *(start(workers, port, number) for number in range(12))
                )
                assert {a.outcome for a in answers} == {OrderOutcome.APPLIED}
        assert len(process.starts) == 36
        assert len(process.polls) <= 24

    asyncio.run(scenario())


@pytest.mark.parametrize("ticket", ["", "t"])
@pytest.mark.parametrize("is_known", [False, True])
def test_start_does_not_reach_a_worker_that_has_restarted(is_known, ticket):
    """A task that requires a label ran on a worker of another kind.

    A worker restarts at its address before a start arrives.

    :param is_known: whether a start was answered before the restart.
    """

    async def scenario():
        old, new = Incarnation(1), Incarnation(2)
        async with open_sessions() as sessions:
            workers = HttpWorkers(sessions, lambda: True)
            async with old.run() as port:
                if is_known:
                    await start(workers, port, ticket=ticket)
            async with new.run(port):
                answers = [await start(workers, port, n, ticket) for n in range(3)]
        assert new.starts == []
        assert answers[-1].outcome is OrderOutcome.NOT_SENT
        assert answers[-1].incarnation == 2

    asyncio.run(scenario())


def test_start_does_not_use_a_connection_whose_process_is_not_known_yet():
    """The connection of a greeting may be free before its answer was read."""

    async def scenario():
        old, new = Incarnation(1), Incarnation(2)
        async with open_sessions() as sessions:
            workers = HttpWorkers(sessions, lambda: True)
            async with old.run() as port:
                await start(workers, port)
            new.reply_after_s = 0.1
            async with new.run(port):
                await asyncio.gather(
                    *(start(workers, port, number) for number in range(20))
                )
        assert new.starts == []

    asyncio.run(scenario())


def test_start_greets_again_after_a_greeting_that_was_cancelled_as_it_was_answered():
    """Its connection is kept, though nobody has read which process it leads to."""

    async def scenario():
        old, new = Incarnation(1), Incarnation(2)
        async with open_sessions() as sessions:
            workers = HttpWorkers(sessions, lambda: True)
            async with old.run() as port:
                await start(workers, port)
            async with new.run(port):
                post = workers._post

                async def answered_and_cancelled(session, worker, name, *args):
                    response = await post(session, worker, name, *args)
                    if name == "hold" and len(new.polls) == 1:
                        raise asyncio.CancelledError
                    return response

                workers._post = answered_and_cancelled
                answer = await start(workers, port)
        assert len(new.polls) == 2
        assert new.starts == []
        assert answer.incarnation == 2

    asyncio.run(scenario())


def test_worker_that_announces_the_end_of_each_connection_gets_starts():
    async def scenario():
        process = Incarnation(1, closes=True)
        async with open_sessions() as sessions, process.run() as port:
            workers = HttpWorkers(sessions, lambda: True)
            answers = [await start(workers, port) for _ in range(2)]
        assert {a.outcome for a in answers} == {OrderOutcome.APPLIED}

    asyncio.run(scenario())
