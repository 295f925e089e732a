"""The platform's services over HTTP, by aiohttp."""

from collections.abc import Mapping, Sequence
from typing import Any

import aiohttp
import msgspec

from firhook.errors import (
    EndpointFailedError,
    EndpointTimeoutError,
    LogOutcomeUnknownError,
    LogTrimmedError,
    LogUnavailableError,
    NoEndpointError,
    PlatformUnavailableError,
    WorkerFencedError,
    WorkerUnreachableError,
)
from firhook.platform._base import (
    Endpoint,
    EndpointClient,
    Exchange,
    InstanceList,
    LogEntry,
    LogPage,
    LogService,
    Order,
    Platform,
    Report,
    WorkerClient,
)

#: These belong to one connection and must not pass from one to the other.
HOP_HEADERS = frozenset(
    (
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "host",
        "content-length",
    )
)

_LOG_RETRY_S = 2.0
#: What an answer of the log raises that is cut short, late or no such answer.
_UNREADABLE = (
    aiohttp.ClientError,
    msgspec.MsgspecError,
    TimeoutError,
    OSError,
    ValueError,
    KeyError,
    TypeError,
)


class HttpLog(LogService):
    """The platform's log over HTTP.

    :param session: shared client session.
    :param url: base address of the log.
    :param timeout_s: how long to wait for the answer to an append.
    """

    def __init__(
        self, session: aiohttp.ClientSession, url: str, timeout_s: float
    ) -> None:
        self._session = session
        self._url = url
        self._timeout_s = timeout_s

    async def append(self, stream: str, payloads: Sequence[bytes]) -> int:
        """Append records; see :class:`LogService`."""
        body = msgspec.json.encode([p.decode() for p in payloads])
        timeout = aiohttp.ClientTimeout(total=self._timeout_s)
        url = f"{self._url}/log/{stream}"
        try:
            async with self._session.post(url, data=body, timeout=timeout) as resp:
                text = await resp.read()
                answer = msgspec.json.decode(text)
                if resp.status == 503 and answer["taken"] is False:
                    # Only the log's own word counts.  A balancer before it
                    # also answers 503, perhaps after the log took them.
                    raise LogUnavailableError(
                        "the log refused", retry_after_s=_LOG_RETRY_S
                    )
                if resp.status != 200:
                    raise LogOutcomeUnknownError(f"the log answered {resp.status}")
                return int(answer["first"])
        except aiohttp.ClientConnectorError as exc:
            raise LogUnavailableError(str(exc), retry_after_s=_LOG_RETRY_S) from exc
        except _UNREADABLE as exc:
            raise LogOutcomeUnknownError(repr(exc), retry_after_s=_LOG_RETRY_S) from exc

    async def read(self, stream: str, offset: int, wait_s: float) -> LogPage:
        """Read records; see :class:`LogService`."""
        timeout = aiohttp.ClientTimeout(total=wait_s + self._timeout_s)
        params = {"from": str(offset), "wait": f"{wait_s:.3f}"}
        url = f"{self._url}/log/{stream}"
        try:
            async with self._session.get(url, params=params, timeout=timeout) as resp:
                text = await resp.read()
                if resp.status == 410:
                    first = int(msgspec.json.decode(text)["first"])
                    raise LogTrimmedError(f"{stream} starts at {first}", first=first)
                if resp.status != 200:
                    raise LogUnavailableError(f"the log answered {resp.status}")
                page = msgspec.json.decode(text)
                entries = tuple(
                    LogEntry(int(at), str(data).encode("utf-8", "replace"))
                    for at, data in page["records"]
                )
                return LogPage(entries, int(page["end"]))
        except _UNREADABLE as exc:
            raise LogUnavailableError(repr(exc), retry_after_s=_LOG_RETRY_S) from exc


class HttpInstanceList(InstanceList):
    """The platform's instance list over HTTP."""

    def __init__(
        self, session: aiohttp.ClientSession, url: str, timeout_s: float
    ) -> None:
        self._session = session
        self._url = url
        self._timeout = aiohttp.ClientTimeout(total=timeout_s)

    async def list(self) -> tuple[Endpoint, ...]:
        """Return the list; see :class:`InstanceList`."""
        url = f"{self._url}/instances"
        try:
            async with self._session.get(url, timeout=self._timeout) as resp:
                if resp.status != 200:
                    raise PlatformUnavailableError(
                        f"the platform answered {resp.status}"
                    )
                return msgspec.json.decode(
                    await resp.read(), type=tuple[Endpoint, ...], strict=False
                )
        except (aiohttp.ClientError, TimeoutError, msgspec.MsgspecError) as exc:
            raise PlatformUnavailableError(repr(exc)) from exc


class HttpWorkers(WorkerClient):
    """Workers over HTTP."""

    def __init__(self, session: aiohttp.ClientSession, timeout_s: float) -> None:
        self._session = session
        self._timeout = aiohttp.ClientTimeout(total=timeout_s)

    async def look(self, worker: Endpoint) -> Report:
        """Return the inventory; see :class:`WorkerClient`."""
        return await self._call(worker, "GET", None)

    async def sync(self, worker: Endpoint, order: Order) -> Report:
        """Give an order; see :class:`WorkerClient`."""
        return await self._call(worker, "POST", msgspec.json.encode(order))

    async def _call(self, worker: Endpoint, method: str, body: bytes | None) -> Report:
        url = f"http://{worker.address}/tasks"
        try:
            async with self._session.request(
                method, url, data=body, timeout=self._timeout
            ) as resp:
                text = await resp.read()
                if resp.status == 409:
                    raise WorkerFencedError(f"{worker.name}: {text[:200].decode()}")
                if resp.status != 200:
                    raise WorkerUnreachableError(
                        f"{worker.name} answered {resp.status}"
                    )
                return msgspec.json.decode(text, type=Report)
        except (aiohttp.ClientError, TimeoutError, msgspec.MsgspecError) as exc:
            raise WorkerUnreachableError(f"{worker.name}: {exc!r}") from exc


class HttpEndpoints(EndpointClient):
    """Runners over HTTP.

    aiohttp drops a connection whose exchange did not end cleanly, so an
    answer that comes late can never be taken for the answer to the next
    request on the same connection.

    :param max_answer_bytes: longest answer that is taken in whole.
    """

    def __init__(self, max_answer_bytes: int = 8 << 20) -> None:
        self._max = max_answer_bytes
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, keepalive_timeout=30),
            auto_decompress=False,
            skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding"),
        )

    async def send(
        self,
        endpoint: Endpoint,
        method: str,
        path: str,
        headers: Mapping[str, str],
        body: bytes,
        timeout_s: float,
    ) -> Exchange:
        """Send a request; see :class:`EndpointClient`."""
        sent = {k: v for k, v in headers.items() if k.lower() not in HOP_HEADERS}
        timeout = aiohttp.ClientTimeout(total=timeout_s, sock_connect=1.0)
        url = f"http://{endpoint.address}{path}"
        try:
            async with self._session.request(
                method,
                url,
                headers=sent,
                data=body or None,
                timeout=timeout,
                allow_redirects=False,
            ) as resp:
                answer = await resp.content.read(self._max + 1)
                while not resp.content.at_eof() and len(answer) <= self._max:
                    answer += await resp.content.read(self._max + 1 - len(answer))
                if len(answer) > self._max:
                    resp.close()
                    raise EndpointFailedError(
                        f"{endpoint.name}: answer over {self._max} B"
                    )
                return _exchange(resp, answer)
        except aiohttp.ServerTimeoutError as exc:
            if isinstance(exc, aiohttp.ConnectionTimeoutError):
                raise NoEndpointError(f"{endpoint.name}: {exc!r}") from exc
            raise EndpointTimeoutError(f"{endpoint.name}: {exc!r}") from exc
        except TimeoutError as exc:
            raise EndpointTimeoutError(f"{endpoint.name}: no answer in time") from exc
        except aiohttp.ClientConnectorError as exc:
            raise NoEndpointError(f"{endpoint.name}: {exc}") from exc
        except (aiohttp.ClientError, ValueError) as exc:
            raise EndpointFailedError(f"{endpoint.name}: {exc!r}") from exc

    async def close(self) -> None:
        """Close all connections."""
        await self._session.close()


def _exchange(resp: Any, body: bytes) -> Exchange:
    headers = tuple(
        (k, v) for k, v in resp.headers.items() if k.lower() not in HOP_HEADERS
    )
    return Exchange(resp.status, headers, body, "X-Leaving" in resp.headers)


def http_platform(
    session: aiohttp.ClientSession, url: str, timeout_s: float, worker_timeout_s: float
) -> Platform:
    """Return the platform's services over HTTP."""
    return Platform(
        HttpLog(session, url, timeout_s),
        HttpInstanceList(session, url, timeout_s),
        HttpWorkers(session, worker_timeout_s),
        HttpEndpoints(),
    )
