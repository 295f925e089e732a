"""Interfaces to the platform; a test puts small fakes behind them."""

from abc import ABC, abstractmethod
from collections.abc import Mapping, Sequence

import attrs

from firhook._endpoints import Endpoint
from firhook._orders import Order, Report


@attrs.frozen(slots=True)
class LogEntry:
    """A record as the log keeps it."""

    offset: int
    payload: bytes


@attrs.frozen(slots=True)
class LogPage:
    """Part of a stream.

    :param entries: records in order of offset; may be empty.
    :param end: the offset that the next record of the stream will get.
    """

    entries: tuple[LogEntry, ...]
    end: int


class LogService(ABC):
    """The platform's append-only log, with a total order per stream."""

    @abstractmethod
    async def append(self, stream: str, payloads: Sequence[bytes]) -> int:
        """Append records together and return the offset of the first.

        :raises LogUnavailableError: if the log certainly did not take them.
        :raises LogOutcomeUnknownError: if the answer was lost; they may have been
            taken, or may yet be.
        """

    @abstractmethod
    async def read(self, stream: str, offset: int, wait_s: float) -> LogPage:
        """Return the records from an offset on, waiting a while if none.

        :raises LogTrimmedError: if records from the offset on have expired;
            ``exc.extra["first"]`` is the earliest offset that is kept.
        :raises LogUnavailableError: if the log cannot be reached.
        """


class InstanceList(ABC):
    """The platform's lagging list of live and leaving instances."""

    @abstractmethod
    async def list(self) -> tuple[Endpoint, ...]:
        """Return the list.

        :raises PlatformUnavailableError: if it cannot be reached.
        """


class WorkerClient(ABC):
    """Reaches workers."""

    @abstractmethod
    async def poll(self, worker: Endpoint) -> Report:
        """Return the worker's inventory and clock, and change nothing.

        :raises WorkerUnreachableError: if it did not answer.
        """

    @abstractmethod
    async def send_order(self, worker: Endpoint, order: Order) -> Report:
        """Give an order and return the inventory after it.

        :raises WorkerUnreachableError: if it did not answer; the order may have
            taken effect, or may yet.
        :raises WorkerFencedError: if it has seen a newer epoch, or the order came
            after its ``not_after``.
        """


@attrs.frozen(slots=True)
class EndpointResponse:
    """An answer of a runner, whole.

    :param leaving: whether the runner said that it takes no new work.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    leaving: bool = False


class EndpointClient(ABC):
    """Sends requests to runners."""

    @abstractmethod
    async def send(
        self,
        endpoint: Endpoint,
        method: str,
        path: str,
        headers: Mapping[str, str],
        body: bytes,
        timeout_s: float,
    ) -> EndpointResponse:
        """Send a request and return the whole answer.

        :raises NoEndpointError: if certainly no byte of the request was sent.
        :raises EndpointTimeoutError: if no whole answer came in time.
        :raises EndpointFailedError: if the exchange was cut after some byte may
            have been sent.
        """

    @abstractmethod
    async def close(self) -> None:
        """Close all connections."""


@attrs.frozen
class Platform:
    """The platform's services, handed to the kernel together."""

    log: LogService
    instances: InstanceList
    workers: WorkerClient
    endpoints: EndpointClient
