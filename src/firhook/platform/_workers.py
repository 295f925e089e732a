"""Registrations of workers, and the clients of workers and of the adviser."""

import asyncio
from abc import ABC, abstractmethod
from collections.abc import Callable
from typing import Any

import aiohttp
import attrs
import msgspec

from firhook.address import Address
from firhook.cell import (
    Advice,
    EndCursor,
    EndedRow,
    OrderAnswer,
    OrderOutcome,
    PollReply,
    RunEnd,
    RunningRow,
    StartOrder,
    WorkerEntry,
)
from firhook.errors import WorkerFencedError, WorkerUnreachableError
from firhook.logs import log
from firhook.platform._client import (
    NoKeptConnectionError,
    NoResponseError,
    NotSentError,
    Response,
    call,
)
from firhook.platform._config import decode_resources
from firhook.platform._fields import (
    FieldError,
    check_int,
    check_number,
    check_row,
    check_str,
    get_int,
    get_list,
    get_number,
    get_object,
    get_str,
    get_str_list,
    parse_json,
)
from firhook.platform._sessions import Sessions
from firhook.platform._start_connections import Greeted, Greeter

#: Added to the time that a poll asks the worker to wait.
_POLL_SLACK_S = 1.0
#: Workers answer an order within milliseconds.  One that has not answered by then is
#: unreachable or will not answer at all.
ORDER_TIMEOUT_S = 0.8

#: The pause between polls of a worker that closes its connections unannounced.  It is
#: polled without renewing its lease.
_UNKEPT_PAUSE_S = 0.25

#: When a greeting is repeated, unless the sender knows how fast workers answer.
_ANSWER_DELAY_S = 0.1

_OUTCOMES_BY_REASON = {
    "fence": OrderOutcome.FENCED,
    "old": OrderOutcome.SUPERSEDED,
    "late": OrderOutcome.EXPIRED,
    "room": OrderOutcome.NO_CAPACITY,
    "ticket": OrderOutcome.NO_TICKET,
}
_ENDS_BY_VALUE = {end.value: end for end in RunEnd}
_DRAINING_BY_STATE = {"ready": False, "draining": True}


def decode_worker(name: str, raw: bytes) -> WorkerEntry | None:
    """Decode the registration of a worker; return ``None`` if it is unusable.

    Entries may come from other writers.
    """
    try:
        data = parse_json(raw)
        # The labels are the worker's kind, followed by its rack.
        labels = get_str_list(data, "labels")
        return WorkerEntry(
            name=_check_name(name),
            # The time at which this incarnation of the worker started.
            incarnation=get_int(data, "born"),
            pool=get_str(data, "service"),
            address=_check_address(get_str(data, "address")),
            zone=get_str(data, "zone"),
            capacity=decode_resources(get_object(data, "capacity")),
            labels=frozenset(labels),
            rack=labels[1] if len(labels) > 1 else "",
            draining=_decode_draining(get_str(data, "state")),
            leaves_in_s=get_number(data, "drain_remaining_ms", 0) / 1000,
            version=get_str(data, "version", ""),
        )
    except FieldError as exc:
        log("worker.entry_unreadable", level="warning", worker=name, error=str(exc))
        return None


def _check_name(name: str) -> str:
    """Return a name that can be sent in a header."""
    if not name or not name.isprintable():
        raise FieldError(f"name: {name[:40]!r} is empty or not printable")
    return name


def _check_address(value: str) -> str:
    try:
        return str(Address.parse(value))
    except ValueError as exc:
        raise FieldError(f"address: {value[:40]!r}: {exc}") from exc


def _decode_draining(state: str) -> bool:
    if state not in _DRAINING_BY_STATE:
        raise FieldError(f"state: {state[:40]!r} is unknown")
    return _DRAINING_BY_STATE[state]


def decode_poll_reply(raw: bytes) -> PollReply:
    """Decode a worker's reply to a poll.

    :raises FieldError: if it is malformed.
    """
    data = parse_json(raw)
    return PollReply(
        incarnation=get_int(data, "born", 0),
        clock_s=get_number(data, "timestamp_ms") / 1000,
        running=tuple(_decode_running_row(row) for row in get_list(data, "running")),
        ended=tuple(_decode_ended_row(row) for row in get_list(data, "finished")),
    )


def _decode_running_row(value: Any) -> RunningRow:
    row = check_row(value, "running", 4)
    load = row[4] if len(row) > 4 else None
    return RunningRow(
        task=check_str(row[0], "running.task"),
        run=check_int(row[1], "running.run"),
        checkpoint=check_str(row[2], "running.saved"),
        percent=check_number(row[3], "running.percent"),
        load=0.0 if load is None else check_number(load, "running.load"),
    )


def _decode_ended_row(value: Any) -> EndedRow:
    row = check_row(value, "finished", 5)
    how = check_str(row[3], "finished.how")
    if how not in _ENDS_BY_VALUE:
        raise FieldError(f"finished.how: {how[:40]!r} is unknown")
    return EndedRow(
        number=check_int(row[0], "finished.number"),
        task=check_str(row[1], "finished.task"),
        run=check_int(row[2], "finished.run"),
        end=_ENDS_BY_VALUE[how],
        checkpoint=check_str(row[4], "finished.saved"),
    )


def decode_advice(raw: bytes) -> Advice:
    """Decode the adviser's answer.

    :raises FieldError: if it is malformed.
    """
    data = parse_json(raw)
    rows = [check_row(row, "good", 2) for row in get_list(data, "good")]
    tickets = {
        check_str(row[0], "good.id"): check_str(row[1], "good.ticket") for row in rows
    }
    return Advice(tickets, get_number(data, "validity_ms", 0) / 1000)


class Workers(ABC):
    """Client of the workers.

    Before each order is sent, the client checks whether the sender may still give
    orders; if not, the order is not sent.
    """

    @abstractmethod
    async def poll(
        self,
        worker: WorkerEntry,
        fence: int,
        ack: EndCursor,
        lease_until_s: float | None,
        wait_s: float,
    ) -> PollReply:
        """Renew the lease, acknowledge ended runs, and return the worker's state.

        The acknowledgement and the lease reach only the incarnation that ``ack``
        names.  A worker that has restarted since gets neither, and replies at once.

        :param ack: the ended runs that are stored, which the worker may delete.
        :param lease_until_s: new end of the lease on the worker's clock; ``None``
            does not renew it.
        :param wait_s: how long the worker may wait for a run to end.
        :raises WorkerUnreachableError: if no complete response came.
        :raises WorkerFencedError: if the worker has seen a higher fencing token.
        """

    @abstractmethod
    async def start(
        self, worker: WorkerEntry, fence: int, compose: Callable[[], StartOrder | None]
    ) -> OrderAnswer:
        """Order a run to be started.

        The order reaches only the incarnation that the entry names.  If another one
        answers, the order is not sent, and the answer names that incarnation.

        :param fence: fencing token of the lead.
        :param compose: returns the order, or ``None`` if it must not be sent any more.
            It is called when the connection is ready, with no await between the call
            and the sending, and again only if nothing was sent.
        """

    @abstractmethod
    async def stop(
        self, worker: WorkerEntry, task: str, run: int, fence: int
    ) -> OrderAnswer:
        """Order a run to be stopped; if it has not started, it never will."""

    @abstractmethod
    async def throttle(
        self, worker: WorkerEntry, task: str, run: int, percent: int, fence: int
    ) -> OrderAnswer:
        """Limit a run to a percentage of its full speed."""


class _WorkerGreeter(Greeter):
    """Greets a worker with a poll that changes nothing."""

    def __init__(self, workers: "HttpWorkers", worker: WorkerEntry, fence: int) -> None:
        self.incarnation, self.fence = worker.incarnation, fence
        self._workers, self._worker = workers, worker

    def may_send(self) -> bool:
        """See :meth:`Greeter.may_send`."""
        return self._workers.may_send()

    def answer_delay_s(self) -> float:
        """See :meth:`Greeter.answer_delay_s`."""
        return self._workers.answer_delay_s()

    async def greet(self, session: aiohttp.ClientSession) -> Greeted:
        """See :meth:`Greeter.greet`."""
        return await self._workers.greet(session, self._worker, self.fence)


class HttpWorkers(Workers):
    """HTTP client of the workers.

    :param may_send: returns whether the sender may still give orders.
    :param answer_delay_s: returns the time in seconds within which a worker that
        answers an order does so.  After it a greeting is repeated.
    """

    def __init__(
        self,
        sessions: Sessions,
        may_send: Callable[[], bool],
        answer_delay_s: Callable[[], float] = lambda: _ANSWER_DELAY_S,
    ) -> None:
        self._sessions = sessions
        self.may_send = may_send
        self.answer_delay_s = answer_delay_s
        # Workers that announced the end even of a connection that was just opened, as a
        # stopping one does not.  Two incarnations of them cannot be told apart.
        self._closing: set[str] = set()
        # Workers whose last poll found no open connection.
        self._unkept: set[str] = set()

    async def poll(
        self,
        worker: WorkerEntry,
        fence: int,
        ack: EndCursor,
        lease_until_s: float | None,
        wait_s: float,
    ) -> PollReply:
        """See :meth:`Workers.poll`."""
        body: dict[str, Any] = {"fencing_token": fence, "ack_cursor": 0}
        if not ack.incarnation:
            return await self._poll(worker, body, 0.0)
        bound: dict[str, Any] = {**body, "ack_cursor": ack.number}
        if lease_until_s is not None:
            bound["deadline_ms"] = int(lease_until_s * 1000)
        if wait_s > 0:
            bound["wait_ms"] = int(wait_s * 1000)
        try:
            # A connection cannot outlive the process that accepted it.
            reply = await self._poll(
                worker, bound, wait_s, worker.name not in self._closing
            )
        except NoKeptConnectionError:
            if worker.name in self._unkept:
                await asyncio.sleep(_UNKEPT_PAUSE_S)
            self._unkept.add(worker.name)
            return await self._poll(worker, body, 0.0)
        self._unkept.discard(worker.name)
        return reply

    async def _poll(
        self,
        worker: WorkerEntry,
        body: dict[str, Any],
        wait_s: float,
        on_kept_connection: bool = False,
    ) -> PollReply:
        try:
            response = await self._post(
                self._sessions.polls,
                worker,
                "hold",
                body,
                wait_s + _POLL_SLACK_S,
                on_kept_connection,
            )
        except (NotSentError, NoResponseError) as exc:
            raise WorkerUnreachableError(f"{worker.name}: {exc}") from exc
        if not response.closes:
            self._closing.discard(worker.name)
        elif not on_kept_connection:
            self._closing.add(worker.name)
        if response.status == 409:
            raise WorkerFencedError(worker.name)
        try:
            if response.status != 200:
                raise FieldError(f"returned {response.status}")
            return decode_poll_reply(response.body)
        except FieldError as exc:
            raise WorkerUnreachableError(f"{worker.name}: {exc}") from exc

    async def start(
        self, worker: WorkerEntry, fence: int, compose: Callable[[], StartOrder | None]
    ) -> OrderAnswer:
        """See :meth:`Workers.start`.

        The worker may restart at its address as one of another kind before the start
        arrives.  Nothing in the start names an incarnation: a ticket may have been
        issued to the one that runs now.  So the start goes only over a connection whose
        process has told its incarnation: each connection is opened by a greeting, which
        changes nothing.
        """
        greeter = _WorkerGreeter(self, worker, fence)
        until = asyncio.get_running_loop().time() + ORDER_TIMEOUT_S
        while True:
            conns = self._sessions.starts.to(worker.name, worker.address)
            left_s = max(until - asyncio.get_running_loop().time(), 0)
            grant = await conns.take(greeter, left_s)
            if isinstance(grant, OrderAnswer):
                return grant
            if grant is None:
                return await self._send_start(worker, compose, self._sessions.calls)
            answer = OrderAnswer(OrderOutcome.UNKNOWN)
            try:
                answer = await self._send_start(worker, compose, grant.session, True)
                return answer
            except NoKeptConnectionError:
                pass
            finally:
                if answer.outcome is OrderOutcome.UNKNOWN:
                    conns.give_up(grant)
                else:
                    conns.give_back(grant)

    async def _send_start(
        self,
        worker: WorkerEntry,
        compose: Callable[[], StartOrder | None],
        session: aiohttp.ClientSession,
        on_kept_connection: bool = False,
    ) -> OrderAnswer:
        order = compose()
        if order is None:
            return OrderAnswer(OrderOutcome.NOT_SENT)
        body = _start_body(order)
        return await self._order(worker, "run-start", body, session, on_kept_connection)

    async def greet(
        self, session: aiohttp.ClientSession, worker: WorkerEntry, fence: int
    ) -> Greeted:
        """Open a connection for starts, and learn which incarnation it leads to."""
        body = {"fencing_token": fence, "ack_cursor": 0}
        try:
            response = await self._post(session, worker, "hold", body, ORDER_TIMEOUT_S)
        except (NotSentError, NoResponseError):
            return Greeted(OrderAnswer(OrderOutcome.NOT_SENT))
        answer = decode_order_answer(response)
        is_known = answer.incarnation or response.closes
        is_usable = is_known and answer.outcome is OrderOutcome.APPLIED
        if not is_usable and answer.outcome is not OrderOutcome.FENCED:
            answer = OrderAnswer(OrderOutcome.NOT_SENT)
        return Greeted(answer, response.closes)

    async def stop(
        self, worker: WorkerEntry, task: str, run: int, fence: int
    ) -> OrderAnswer:
        """See :meth:`Workers.stop`."""
        body = {"task": task, "run": run, "fencing_token": fence}
        return await self._order(worker, "run-stop", body)

    async def throttle(
        self, worker: WorkerEntry, task: str, run: int, percent: int, fence: int
    ) -> OrderAnswer:
        """See :meth:`Workers.throttle`."""
        body = {"task": task, "run": run, "percent": percent, "fencing_token": fence}
        return await self._order(worker, "pace", body)

    async def _order(
        self,
        worker: WorkerEntry,
        name: str,
        body: dict[str, Any],
        session: aiohttp.ClientSession | None = None,
        on_kept_connection: bool = False,
    ) -> OrderAnswer:
        """Send an order.

        :param session: the session to use instead of that for most calls.
        :param on_kept_connection: see :func:`call`.
        :raises NoKeptConnectionError: see :func:`call`.
        """
        if not self.may_send():
            return OrderAnswer(OrderOutcome.NOT_SENT)
        try:
            response = await self._post(
                session or self._sessions.calls,
                worker,
                name,
                body,
                ORDER_TIMEOUT_S,
                on_kept_connection,
            )
        except NotSentError:
            return OrderAnswer(OrderOutcome.NOT_SENT)
        except NoResponseError:
            return OrderAnswer(OrderOutcome.UNKNOWN)
        return decode_order_answer(response)

    @staticmethod
    async def _post(
        session: aiohttp.ClientSession,
        worker: WorkerEntry,
        name: str,
        body: dict[str, Any],
        timeout_s: float,
        on_kept_connection: bool = False,
    ) -> Response:
        url = f"http://{worker.address}/-/{name}"
        headers = {"Expected-Instance": worker.name, "Content-Type": "application/json"}
        raw = msgspec.json.encode(body)
        return await call(
            session,
            "POST",
            url,
            timeout_s,
            raw,
            headers,
            on_kept_connection=on_kept_connection,
        )


def _start_body(order: StartOrder) -> dict[str, Any]:
    body: dict[str, Any] = {
        "task": order.task,
        "run": order.run,
        "specification": order.text,
        "deadline_ms": int(order.lease_until_s * 1000),
        "fencing_token": order.fence,
    }
    if order.checkpoint:
        body["last_checkpoint"] = order.checkpoint
    if order.ticket:
        body["ticket"] = order.ticket
    return body


def decode_order_answer(response: Response) -> OrderAnswer:
    """Decode a worker's answer to an order; the outcome of others is unknown."""
    try:
        data = parse_json(response.body) if response.body else {}
        incarnation = get_int(data, "born", 0)
        clock_s = (
            get_number(data, "timestamp_ms") / 1000 if "timestamp_ms" in data else None
        )
    except FieldError:
        data, incarnation, clock_s = {}, 0, None
    if response.status == 200:
        outcome = OrderOutcome.APPLIED
    elif response.status == 409:
        reason = data.get("reason")
        outcome = OrderOutcome.UNKNOWN
        if isinstance(reason, str):
            outcome = _OUTCOMES_BY_REASON.get(reason, outcome)
    elif response.status == 421:
        outcome = OrderOutcome.WRONG_INCARNATION
    elif response.status in (429, 503):
        outcome = OrderOutcome.BUSY
    elif response.status == 400:
        outcome = OrderOutcome.INVALID
    else:
        outcome = OrderOutcome.UNKNOWN
    return OrderAnswer(outcome, incarnation, clock_s)


class Adviser(ABC):
    """Client of the service that decides which workers may run a step."""

    @abstractmethod
    async def ask(
        self, step: str, workers: tuple[str, ...], timeout_s: float
    ) -> Advice | None:
        """Return the workers that may run a step, with their tickets.

        :return: ``None`` if no usable response came.
        """


@attrs.define(slots=True)
class HttpAdviser(Adviser):
    """HTTP client of the adviser."""

    _session: aiohttp.ClientSession
    _address: Address

    async def ask(
        self, step: str, workers: tuple[str, ...], timeout_s: float
    ) -> Advice | None:
        """See :meth:`Adviser.ask`."""
        url = f"http://{self._address}/-/advise"
        body = msgspec.json.encode({"step": step, "workers": workers})
        headers = {"Content-Type": "application/json"}
        try:
            response = await call(self._session, "POST", url, timeout_s, body, headers)
            if response.status != 200:
                raise FieldError(f"returned {response.status}")
            return decode_advice(response.body)
        except (FieldError, NotSentError, NoResponseError) as exc:
            log("advice.failed", level="warning", step=step, error=str(exc))
            return None
