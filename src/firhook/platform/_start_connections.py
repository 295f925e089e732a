"""Connections for starts, of which each leads to a known incarnation of a worker."""

import asyncio
from abc import ABC, abstractmethod
from collections import deque
from collections.abc import Callable, Coroutine
from typing import Any

import aiohttp
import attrs

from firhook.cell import OrderAnswer, OrderOutcome
from firhook.logs import log
from firhook.platform._client import IDLE_CONNECTION_S, MAX_CONNECTIONS_PER_HOST

#: The most connections to a worker from which an answer is expected soon.  Further
#: starts wait for one of these, as opening another would take longer.
_MAX_PROMPT_CONNECTIONS = 8
#: The most idle connections that are kept to each worker.
_MAX_IDLE_CONNECTIONS = 8


@attrs.frozen(slots=True)
class Greeted:
    """What a greeting on a new connection showed.

    :ivar answer: the answer; NOT_SENT if there is no usable one.  One that was applied
        names the incarnation, unless the worker closes the connection.
    :ivar closes: whether the worker announced the end of the connection.
    """

    answer: OrderAnswer
    closes: bool = False


class Greeter(ABC):
    """Greets a worker for one start.

    :ivar incarnation: the incarnation that the start is meant for.
    :ivar fence: fencing token of the start's sender.
    """

    incarnation: int
    fence: int

    @abstractmethod
    def may_send(self) -> bool:
        """Return whether the worker may still be greeted."""

    @abstractmethod
    def answer_delay_s(self) -> float:
        """Return the time in seconds within which a worker that answers does so."""

    @abstractmethod
    async def greet(self, session: aiohttp.ClientSession) -> Greeted:
        """Open the connection of a session and ask which incarnation it leads to.

        It ends within a bounded time.
        """


class StartConnection:
    """A connection to a worker, from before it is opened.

    :ivar session: makes calls over this connection only; set when it is opened.
    :ivar number: a connection that was begun later has a higher number.
    :ivar incarnation: the incarnation that it leads to; 0 while that is unknown.
    :ivar idle_since: when its last call ended, in seconds of the loop's clock.
    :ivar ended: set when it is given up.
    """

    session: aiohttp.ClientSession

    def __init__(self, number: int) -> None:
        self.number = number
        self.incarnation = 0
        self.idle_since = 0.0
        self.ended = asyncio.Event()


#: What a start gets: a connection to the incarnation that it is meant for; the answer
#: to the start, which cannot be sent; or ``None`` if the worker announces the end of
#: each connection, so that its incarnations cannot be told apart.
Grant = StartConnection | OrderAnswer | None


@attrs.frozen(slots=True, eq=False)
class _Waiter:
    """A start that waits for a connection.

    :ivar number: the connections with higher numbers were begun after it.
    """

    greeter: Greeter
    number: int
    grant: "asyncio.Future[Grant]"


class WorkerConnections:
    """The connections for starts to one worker.

    A connection leads to one process for its whole life.  What it is known to lead to
    comes from a greeting on this very connection, and it is never opened again.

    :param open_session: returns a session for one connection.
    :param spawn: starts a coroutine as a task that is cancelled in the end.
    :param on_empty: called when the last connection has been given up.
    """

    def __init__(
        self,
        open_session: Callable[[], aiohttp.ClientSession],
        spawn: Callable[[Coroutine[Any, Any, None]], None],
        on_empty: Callable[[], None],
    ) -> None:
        self._open_session = open_session
        self._spawn = spawn
        self._on_empty = on_empty
        self._count = 0
        self._open: set[StartConnection] = set()
        self._greeting: set[StartConnection] = set()
        # The connections from which an answer is expected soon.
        self._prompt: dict[StartConnection, asyncio.TimerHandle] = {}
        self._idle: list[StartConnection] = []
        self._expiry: asyncio.TimerHandle | None = None
        self._waiters: deque[_Waiter] = deque()
        # The newest connection that has been known.
        self._newest_number = self._newest_incarnation = 0

    async def take(self, greeter: Greeter, timeout_s: float) -> Grant:
        """Return a connection for a start, opening some if none is free.

        The caller calls :meth:`give_back` or :meth:`give_up` for the connection.

        :param timeout_s: how long to wait; after that the start is not sent.
        """
        for at in reversed(range(len(self._idle))):
            if self._idle[at].incarnation == greeter.incarnation:
                return self._lend(self._idle.pop(at), greeter)
        loop = asyncio.get_running_loop()
        waiter = _Waiter(greeter, self._count, loop.create_future())
        self._waiters.append(waiter)
        self._greet()
        try:
            await asyncio.wait({waiter.grant}, timeout=timeout_s)
        except asyncio.CancelledError:
            if waiter.grant.done():
                grant = waiter.grant.result()
                if isinstance(grant, StartConnection):
                    self.give_back(grant)
            raise
        finally:
            if not waiter.grant.done():
                self._waiters.remove(waiter)
                waiter.grant.cancel()
                self._check_empty()
        if waiter.grant.cancelled():
            return OrderAnswer(OrderOutcome.NOT_SENT)
        return waiter.grant.result()

    def give_back(self, conn: StartConnection) -> None:
        """Take back a connection on which every call has been answered."""
        self._expect_no_more(conn)
        if conn not in self._open:
            return
        for waiter in self._waiters:
            if waiter.greeter.incarnation == conn.incarnation:
                self._settle(waiter, self._lend(conn, waiter.greeter))
                return
        is_old = conn.incarnation != self._newest_incarnation
        if is_old or len(self._idle) >= _MAX_IDLE_CONNECTIONS:
            self.give_up(conn)
            return
        loop = asyncio.get_running_loop()
        conn.idle_since = loop.time()
        self._idle.append(conn)
        if self._expiry is None:
            self._expiry = loop.call_later(IDLE_CONNECTION_S, self._close_idle)

    def give_up(self, conn: StartConnection) -> None:
        """Close a connection; nobody may use it any more."""
        if conn not in self._open:
            return
        self._drop(conn)
        self._greet()
        self._check_empty()

    def close(self) -> None:
        """Send none of the starts that wait; open no more connections for them."""
        for waiter in tuple(self._waiters):
            self._settle(waiter, OrderAnswer(OrderOutcome.NOT_SENT))
        for conn in tuple(self._open):
            self._drop(conn)
        self._check_empty()

    def _drop(self, conn: StartConnection) -> None:
        self._expect_no_more(conn)
        self._greeting.discard(conn)
        self._open.discard(conn)
        if conn in self._idle:
            self._idle.remove(conn)
        conn.ended.set()

    def _lend(self, conn: StartConnection, greeter: Greeter) -> StartConnection:
        self._expect_soon(conn, greeter)
        return conn

    def _expect_soon(self, conn: StartConnection, greeter: Greeter) -> None:
        self._prompt[conn] = asyncio.get_running_loop().call_later(
            greeter.answer_delay_s(), self._on_overdue, conn
        )

    def _expect_no_more(self, conn: StartConnection) -> None:
        timer = self._prompt.pop(conn, None)
        if timer is not None:
            timer.cancel()

    def _on_overdue(self, conn: StartConnection) -> None:
        """Open other connections for the starts that wait for this one."""
        del self._prompt[conn]
        self._greet()

    def _greet(self) -> None:
        """Open connections for the starts that wait."""
        while self._waiters:
            prompt_greetings = len(self._greeting & self._prompt.keys())
            if (
                prompt_greetings >= len(self._waiters)
                or len(self._prompt) >= _MAX_PROMPT_CONNECTIONS
                or len(self._open) >= MAX_CONNECTIONS_PER_HOST
            ):
                return
            # The last start knows the worker's newest incarnation and address.
            waiter = self._waiters[-1]
            if waiter.greeter.may_send():
                self._open_connection(waiter.greeter)
            else:
                self._settle(waiter, OrderAnswer(OrderOutcome.NOT_SENT))
                self._check_empty()

    def _open_connection(self, greeter: Greeter) -> None:
        self._count += 1
        conn = StartConnection(self._count)
        self._open.add(conn)
        self._greeting.add(conn)
        self._expect_soon(conn, greeter)
        self._spawn(self._keep(conn, greeter))

    async def _keep(self, conn: StartConnection, greeter: Greeter) -> None:
        """Open a connection, and close it after its use."""
        try:
            async with self._open_session() as conn.session:
                greeted = await self._ask(conn, greeter)
                self._on_greeted(conn, greeter, greeted)
                await conn.ended.wait()
        finally:
            self.give_up(conn)

    @staticmethod
    async def _ask(conn: StartConnection, greeter: Greeter) -> Greeted:
        try:
            return await greeter.greet(conn.session)
        except Exception as exc:
            log("worker.greeting_failed", level="error", error=repr(exc))
            return Greeted(OrderAnswer(OrderOutcome.NOT_SENT))

    def _on_greeted(
        self, conn: StartConnection, greeter: Greeter, greeted: Greeted
    ) -> None:
        if conn not in self._open:
            return
        is_prompt = conn in self._prompt
        self._expect_no_more(conn)
        self._greeting.discard(conn)
        answer = greeted.answer
        if answer.outcome is OrderOutcome.APPLIED:
            if answer.incarnation:
                self._tell_others(conn, answer.incarnation)
            if not greeted.closes:
                self._note_known(conn, answer.incarnation)
                return
            self._send_unbound(answer.incarnation)
        elif answer.outcome is OrderOutcome.FENCED:
            for waiter in tuple(self._waiters):
                if waiter.greeter.fence <= greeter.fence:
                    self._settle(waiter, answer)
        elif is_prompt:
            if not self._prompt:
                # Nothing is under way any more for the starts that wait.
                for waiter in tuple(self._waiters):
                    self._settle(waiter, OrderAnswer(OrderOutcome.NOT_SENT))
            # A worker that refuses connections is not asked again at once.
            self._drop(conn)
            self._check_empty()
            return
        self.give_up(conn)

    def _note_known(self, conn: StartConnection, incarnation: int) -> None:
        conn.incarnation = incarnation
        if conn.number > self._newest_number:
            self._newest_number = conn.number
            self._newest_incarnation = incarnation
            for other in tuple(self._idle):
                if other.incarnation != incarnation:
                    self._drop(other)
        self.give_back(conn)
        self._greet()

    def _send_unbound(self, incarnation: int) -> None:
        """Let the starts go on any connection: the worker closes each one.

        :param incarnation: the incarnation that answered; 0 if it does not say.
        """
        for waiter in tuple(self._waiters):
            if incarnation in (0, waiter.greeter.incarnation):
                self._settle(waiter, None)

    def _tell_others(self, conn: StartConnection, incarnation: int) -> None:
        """Answer the starts that are meant for another incarnation.

        A connection that was begun before a start may lead to an older process than
        the one that the start is meant for.
        """
        for waiter in tuple(self._waiters):
            is_other = waiter.greeter.incarnation != incarnation
            if is_other and conn.number > waiter.number:
                self._settle(waiter, OrderAnswer(OrderOutcome.NOT_SENT, incarnation))

    def _settle(self, waiter: _Waiter, grant: Grant) -> None:
        self._waiters.remove(waiter)
        waiter.grant.set_result(grant)

    def _close_idle(self) -> None:
        loop = asyncio.get_running_loop()
        self._expiry = None
        due = loop.time() - IDLE_CONNECTION_S
        for conn in tuple(self._idle):
            if conn.idle_since <= due:
                self.give_up(conn)
        if self._idle:
            oldest = min(conn.idle_since for conn in self._idle)
            self._expiry = loop.call_at(oldest + IDLE_CONNECTION_S, self._close_idle)

    def _check_empty(self) -> None:
        if not self._open and not self._waiters:
            if self._expiry is not None:
                self._expiry.cancel()
                self._expiry = None
            self._on_empty()


class StartConnections:
    """The connections for starts of an instance to all workers.

    :param open_session: returns a session for one connection.
    """

    def __init__(self, open_session: Callable[[], aiohttp.ClientSession]) -> None:
        self._open_session = open_session
        self._workers: dict[tuple[str, str], WorkerConnections] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._is_closed = False

    def to(self, worker: str, address: str) -> WorkerConnections:
        """Return the connections to a worker.

        They are forgotten when none is open and no start waits.

        :raises RuntimeError: after :meth:`close`.
        """
        if self._is_closed:
            raise RuntimeError("the connections for starts are closed")
        key = worker, address
        conns = self._workers.get(key)
        if conns is None:
            conns = self._workers[key] = WorkerConnections(
                self._open_session, self._spawn, lambda: self._forget(key)
            )
        return conns

    def _forget(self, key: tuple[str, str]) -> None:
        self._workers.pop(key, None)

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def close(self) -> None:
        """Close all connections; starts that still wait are not sent."""
        self._is_closed = True
        for conns in tuple(self._workers.values()):
            conns.close()
        tasks = tuple(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
