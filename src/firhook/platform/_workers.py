"""Workers: how they register, and the calls to one of them."""

from abc import ABC, abstractmethod
from collections.abc import Callable
from typing import Any

import aiohttp
import attrs
import msgspec

from firhook.address import Address
from firhook.cell import (
    Advice,
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
from firhook.platform._client import NoResponseError, NotSentError, Response, call
from firhook.platform._config import decode_resources
from firhook.platform._fields import (
    FieldError,
    get_int,
    get_list,
    get_number,
    get_object,
    get_str,
    get_str_list,
    parse_json,
)

#: A look waits so much longer for its answer than it asks the worker to wait.
_POLL_SLACK_S = 1.0
#: How long to wait for the answer to an order.  Workers answer within
#: milliseconds; one that is silent for so long is cut off, or answers nothing.
ORDER_TIMEOUT_S = 0.8

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
    """Decode what a worker registered; ``None`` if it names no worker to use.

    Entries may come from other writers.
    """
    try:
        data = parse_json(raw)
        # The labels are the worker's kind and then its rack.
        labels = get_str_list(data, "labels")
        return WorkerEntry(
            name=name,
            # The moment at which this life of the worker began.
            incarnation=get_int(data, "born", 0),
            pool=get_str(data, "service"),
            address=_host_port(get_str(data, "address")),
            zone=get_str(data, "zone"),
            capacity=decode_resources(get_object(data, "capacity")),
            labels=frozenset(labels),
            rack=labels[1] if len(labels) > 1 else "",
            draining=_DRAINING_BY_STATE[get_str(data, "state")],
            leaves_in_s=get_number(data, "drain_remaining_ms", 0) / 1000,
            version=get_str(data, "version", ""),
        )
    except (FieldError, KeyError) as exc:
        log("worker.entry_unreadable", level="warning", worker=name, error=str(exc))
        return None


def _host_port(value: str) -> str:
    host, _, port = value.rpartition(":")
    if not host or not port.isdigit():
        raise FieldError(f"address: {value!r} is no IP number and port")
    return value


def _decode_poll_reply(data: dict[str, Any]) -> PollReply:
    return PollReply(
        incarnation=get_int(data, "born", 0),
        clock_s=get_number(data, "timestamp_ms") / 1000,
        running=tuple(_decode_running_row(row) for row in get_list(data, "running")),
        ended=tuple(_decode_ended_row(row) for row in get_list(data, "finished")),
    )


def _decode_running_row(row: list[Any]) -> RunningRow:
    load = float(row[4]) if len(row) > 4 and row[4] is not None else 0.0
    return RunningRow(str(row[0]), int(row[1]), str(row[2]), float(row[3]), load)


def _decode_ended_row(row: list[Any]) -> EndedRow:
    return EndedRow(
        int(row[0]), str(row[1]), int(row[2]), _ENDS_BY_VALUE[row[3]], str(row[4])
    )


class Workers(ABC):
    """Calls to workers.

    Before each order is sent, the sender's right to give orders is asked for; an
    order is not sent without it.
    """

    @abstractmethod
    async def poll(
        self,
        worker: WorkerEntry,
        fence: int,
        ack: int,
        lease_until_s: float | None,
        wait_s: float,
    ) -> PollReply:
        """Renew the lease, forget ends, and return what runs and what ended.

        :param ack: all ends up to this number are stored and may be forgotten.
        :param lease_until_s: on the worker's clock; ``None`` renews nothing.
        :param wait_s: how long the worker may wait for a run to end.
        :raises WorkerUnreachableError: if no whole answer came.
        :raises WorkerFencedError: if a higher fencing token was seen there.
        """

    @abstractmethod
    async def start(self, worker: WorkerEntry, order: StartOrder) -> OrderAnswer:
        """Order a run to be started."""

    @abstractmethod
    async def stop(
        self, worker: WorkerEntry, task: str, run: int, fence: int
    ) -> OrderAnswer:
        """Order a run to be stopped; one that is not there yet never starts."""

    @abstractmethod
    async def throttle(
        self, worker: WorkerEntry, task: str, run: int, percent: int, fence: int
    ) -> OrderAnswer:
        """Let a run work at a share of its full speed."""


class HttpWorkers(Workers):
    """Calls to workers over HTTP; the only client of them.

    :param may_send: whether the sender may still give orders.
    """

    def __init__(
        self, session: aiohttp.ClientSession, may_send: Callable[[], bool]
    ) -> None:
        self._session = session
        self._may_send = may_send

    async def poll(
        self,
        worker: WorkerEntry,
        fence: int,
        ack: int,
        lease_until_s: float | None,
        wait_s: float,
    ) -> PollReply:
        """See :meth:`Workers.poll`."""
        body: dict[str, Any] = {"fencing_token": fence, "ack_cursor": ack}
        if lease_until_s is not None:
            body["deadline_ms"] = int(lease_until_s * 1000)
        if wait_s > 0:
            body["wait_ms"] = int(wait_s * 1000)
        try:
            answer = await self._post(worker, "hold", body, wait_s + _POLL_SLACK_S)
        except (NotSentError, NoResponseError) as exc:
            raise WorkerUnreachableError(f"{worker.name}: {exc}") from exc
        if answer.status == 409:
            raise WorkerFencedError(worker.name)
        try:
            if answer.status != 200:
                raise FieldError(f"answered {answer.status}")
            return _decode_poll_reply(parse_json(answer.body))
        except (FieldError, IndexError, KeyError, TypeError, ValueError) as exc:
            raise WorkerUnreachableError(f"{worker.name}: {exc}") from exc

    async def start(self, worker: WorkerEntry, order: StartOrder) -> OrderAnswer:
        """Order a run to be started."""
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
        return await self._order(worker, "run-start", body)

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
        self, worker: WorkerEntry, name: str, body: dict[str, Any]
    ) -> OrderAnswer:
        if not self._may_send():
            return OrderAnswer(OrderOutcome.NOT_SENT)
        try:
            answer = await self._post(worker, name, body, ORDER_TIMEOUT_S)
        except NotSentError:
            return OrderAnswer(OrderOutcome.NOT_SENT)
        except NoResponseError:
            return OrderAnswer(OrderOutcome.UNKNOWN)
        return _decode_order_answer(answer)

    async def _post(
        self, worker: WorkerEntry, name: str, body: dict[str, Any], timeout_s: float
    ) -> Response:
        url = f"http://{worker.address}/-/{name}"
        headers = {"Expected-Instance": worker.name, "Content-Type": "application/json"}
        raw = msgspec.json.encode(body)
        return await call(self._session, "POST", url, timeout_s, raw, headers)


def _decode_order_answer(answer: Response) -> OrderAnswer:
    try:
        data = parse_json(answer.body) if answer.body else {}
        life = get_int(data, "born", 0)
        clock_s = (
            get_number(data, "timestamp_ms") / 1000 if "timestamp_ms" in data else None
        )
    except FieldError:
        data, life, clock_s = {}, 0, None
    if answer.status == 200:
        outcome = OrderOutcome.APPLIED
    elif answer.status == 409:
        outcome = _OUTCOMES_BY_REASON.get(str(data.get("reason")), OrderOutcome.UNKNOWN)
    elif answer.status == 421:
        outcome = OrderOutcome.WRONG_INCARNATION
    elif answer.status in (429, 503):
        outcome = OrderOutcome.BUSY
    elif answer.status == 400:
        outcome = OrderOutcome.INVALID
    else:
        outcome = OrderOutcome.UNKNOWN
    return OrderAnswer(outcome, life, clock_s)


class Adviser(ABC):
    """The service that knows which workers may run a step."""

    @abstractmethod
    async def ask(
        self, step: str, workers: tuple[str, ...], timeout_s: float
    ) -> Advice | None:
        """Return the workers that may run a step, with their tickets.

        :return: ``None`` if no usable answer came.
        """


@attrs.define(slots=True)
class HttpAdviser(Adviser):
    """The adviser over HTTP."""

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
            answer = await call(self._session, "POST", url, timeout_s, body, headers)
            if answer.status != 200:
                raise FieldError(f"answered {answer.status}")
            data = parse_json(answer.body)
            tickets = {str(row[0]): str(row[1]) for row in get_list(data, "good")}
            return Advice(tickets, get_number(data, "validity_ms", 0) / 1000)
        except (
            FieldError,
            IndexError,
            TypeError,
            NotSentError,
            NoResponseError,
        ) as exc:
            log("advice.failed", level="warning", step=step, error=str(exc))
            return None
