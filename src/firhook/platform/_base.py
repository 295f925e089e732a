"""Interfaces to the platform's services; tests implement them with small fakes.

The daemon of :mod:`firhook._kernel` and its roles use them.  The instances of a cell
use those of :class:`firhook.platform.connections.Connections` instead.
"""

from abc import ABC, abstractmethod
from collections.abc import Mapping, Sequence

import attrs

from firhook._endpoints import Endpoint
from firhook._orders import Order, Report


@attrs.frozen(slots=True)
class LogEntry:
    """A record of a log stream and its offset."""

    offset: int
    payload: bytes


@attrs.frozen(slots=True)
class LogPage:
    """A range of records of a stream.

    :param entries: records ordered by offset; may be empty.
    :param end: offset of the next record to be appended to the stream.
    """

    entries: tuple[LogEntry, ...]
    end: int


class LogService(ABC):
    """The platform's append-only log, which is totally ordered per stream."""

    @abstractmethod
    async def append(self, stream: str, payloads: Sequence[bytes]) -> int:
        """Append records as one batch and return the offset of the first.

        :raises LogUnavailableError: if the log certainly did not append them.
        :raises LogOutcomeUnknownError: if the answer was lost; the records may
            have been appended, or may still be.
        """

    @abstractmethod
    async def read(self, stream: str, offset: int, wait_s: float) -> LogPage:
        """Return the records from an offset on.

        :param wait_s: how long the log waits for a record if there is none.
        :raises LogTrimmedError: if records from the offset on have expired;
            ``exc.extra["first"]`` is the earliest offset that is retained.
        :raises LogUnavailableError: if the log cannot be reached.
        """


class InstanceList(ABC):
    """The platform's list of live and leaving instances, which lags behind."""

    @abstractmethod
    async def list(self) -> tuple[Endpoint, ...]:
        """Return the listed endpoints.

        :raises PlatformUnavailableError: if the platform cannot be reached.
        """


class WorkerClient(ABC):
    """Client of the workers."""

    @abstractmethod
    async def poll(self, worker: Endpoint) -> Report:
        """Return the worker's inventory and clock without changing anything.

        :raises WorkerUnreachableError: if the worker did not answer.
        """

    @abstractmethod
    async def send_order(self, worker: Endpoint, order: Order) -> Report:
        """Send an order and return the worker's inventory after it.

        :raises WorkerUnreachableError: if the worker did not answer; the order may
            have taken effect, or may still do so.
        :raises WorkerFencedError: if the worker has seen a newer epoch, or the
            order arrived after its ``not_after``.
        """


@attrs.frozen(slots=True)
class EndpointResponse:
    """A complete response of a runner.

    :param leaving: whether the runner announced that it accepts no new work.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    leaving: bool = False


class EndpointClient(ABC):
    """Client of the runners, the servers to which callers' requests are forwarded."""

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
        """Send a request and return the complete response.

        :raises NoEndpointError: if certainly no byte of the request was sent.
        :raises EndpointTimeoutError: if the response was not complete in time.
        :raises EndpointFailedError: if the connection failed after some bytes of
            the request may have been sent.
        """

    @abstractmethod
    async def close(self) -> None:
        """Close all connections."""


@attrs.frozen
class Platform:
    """Clients of the platform's services, as the kernel receives them."""

    log: LogService
    instances: InstanceList
    workers: WorkerClient
    endpoints: EndpointClient
