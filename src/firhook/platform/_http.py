"""The platform's services over HTTP, by aiohttp."""

from collections.abc import Mapping, Sequence

import aiohttp
import msgspec
from multidict import CIMultiDict
from yarl import URL

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
    EndpointResponse,
    InstanceList,
    LogEntry,
    LogPage,
    LogService,
    Order,
    Platform,
    Report,
    WorkerClient,
)

#: These belong to one connection and must not pass from one to the other.  A
#: Content-Length or Transfer-Encoding passed on beside the one that the library
#: writes would let the two ends disagree on where a message stops, and one
#: caller's bytes be taken for the start of another's request.
HOP_HEADERS = frozenset(
    (
        "connection",
        "expect",
        "keep-alive",
        "proxy-connection",
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
_RESPONSE_ERRORS = (
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
        except _RESPONSE_ERRORS as exc:
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
        except _RESPONSE_ERRORS as exc:
            raise LogUnavailableError(repr(exc), retry_after_s=_LOG_RETRY_S) from exc


class HttpInstanceList(InstanceList):
    """The platform's instance list over HTTP.

    The list is long and seldom changes, and every instance polls it.  A
    platform that tags its answers sends it only when it has changed: at the
    two-year size the whole list each second would be 373 KB/s a node, of the
    14 KB/s that all of control may take.
    """

    def __init__(
        self, session: aiohttp.ClientSession, url: str, timeout_s: float
    ) -> None:
        self._session = session
        self._url = f"{url}/instances"
        self._timeout = aiohttp.ClientTimeout(total=timeout_s)
        self._tag = ""
        self._listed: tuple[Endpoint, ...] = ()

    async def list(self) -> tuple[Endpoint, ...]:
        """Return the list; see :class:`InstanceList`."""
        headers = {"If-None-Match": self._tag} if self._tag else {}
        try:
            async with self._session.get(
                self._url, headers=headers, timeout=self._timeout
            ) as resp:
                if resp.status == 304 and self._tag:
                    return self._listed
                if resp.status != 200:
                    raise PlatformUnavailableError(
                        f"the platform answered {resp.status}"
                    )
                listed = msgspec.json.decode(
                    await resp.read(), type=tuple[Endpoint, ...], strict=False
                )
        except (aiohttp.ClientError, TimeoutError, msgspec.MsgspecError) as exc:
            raise PlatformUnavailableError(repr(exc)) from exc
        # Both change together, and only after the whole list was understood.
        self._listed, self._tag = listed, resp.headers.get("ETag", "")
        return listed


class HttpWorkers(WorkerClient):
    """Workers over HTTP."""

    def __init__(self, session: aiohttp.ClientSession, timeout_s: float) -> None:
        self._session = session
        self._timeout = aiohttp.ClientTimeout(total=timeout_s)

    async def poll(self, worker: Endpoint) -> Report:
        """Return the inventory; see :class:`WorkerClient`."""
        return await self._call(worker, "GET", None)

    async def send_order(self, worker: Endpoint, order: Order) -> Report:
        """Give an order; see :class:`WorkerClient`."""
        # What is empty is left out: most orders only renew by digest.
        fields = {k: v for k, v in msgspec.to_builtins(order).items() if v}
        return await self._call(worker, "POST", msgspec.json.encode(fields))

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
        except _RESPONSE_ERRORS as exc:
            raise WorkerUnreachableError(f"{worker.name}: {exc!r}") from exc


#: Runners commonly close a connection that was idle for five seconds or more.
#: A request sent into that moment is cut, and nobody can tell whether it was
#: run; connections are therefore given up well before.
_IDLE_CONNECTION_S = 3.0
_CONNECT_TIMEOUT_S = 1.0
_BODILESS = frozenset((204, 304))


class HttpEndpoints(EndpointClient):
    """Runners over HTTP.

    aiohttp drops a connection whose exchange did not end cleanly, so an
    answer that comes late can never be taken for the answer to the next
    request on the same connection.

    :param max_answer_bytes: longest answer that is taken in whole.
    """

    def __init__(self, max_answer_bytes: int = 8 << 20) -> None:
        self._max_answer_bytes = max_answer_bytes
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(
                limit=0, keepalive_timeout=_IDLE_CONNECTION_S
            ),
            # A cookie that a runner sets is for one caller; a jar would send
            # it with the requests of all.
            cookie_jar=aiohttp.DummyCookieJar(),
            auto_decompress=False,
            skip_auto_headers=(
                "User-Agent",
                "Accept",
                "Accept-Encoding",
                "Content-Type",
            ),
        )
        # aiohttp would send an idempotent request again by itself when a reused
        # connection breaks, past the retry budget and unseen by the router.
        # The session has no public way to turn this off.
        self._session._retry_connection = False

    async def send(
        self,
        endpoint: Endpoint,
        method: str,
        path: str,
        headers: Mapping[str, str],
        body: bytes,
        timeout_s: float,
    ) -> EndpointResponse:
        """Send a request; see :class:`EndpointClient`.

        No byte can have left when the connection was never made: refused,
        unreachable or not made in time.  Any other error leaves open whether
        the runner has the request, also on a reused connection that it closed.
        """
        timeout = aiohttp.ClientTimeout(
            total=timeout_s, sock_connect=_CONNECT_TIMEOUT_S
        )
        # The path goes out as it came in; decoding it and encoding it again
        # would turn "%2F" into a slash.
        url = URL(f"http://{endpoint.address}{path}", encoded=True)
        try:
            async with self._session.request(
                method,
                url,
                headers=end_to_end_headers(headers),
                data=body or None,
                timeout=timeout,
                allow_redirects=False,
            ) as resp:
                answer = await self._read_whole(endpoint, method, resp)
                return _to_response(method, resp, answer)
        except (aiohttp.ConnectionTimeoutError, aiohttp.ClientConnectorError) as exc:
            raise NoEndpointError(
                f"{endpoint.name}: {exc}", retry_after_s=_CONNECT_TIMEOUT_S
            ) from exc
        except TimeoutError as exc:
            raise EndpointTimeoutError(f"{endpoint.name}: no answer in time") from exc
        except (aiohttp.ClientError, OSError, ValueError) as exc:
            raise EndpointFailedError(f"{endpoint.name}: {exc!r}") from exc

    async def _read_whole(
        self, endpoint: Endpoint, method: str, resp: aiohttp.ClientResponse
    ) -> bytes:
        """Return the answer's body once all of it has come.

        :raises EndpointFailedError: if it is too long, or if its end cannot be
            told from a cut: an answer that ends with its connection looks the
            same when the runner dies half way.
        """
        bodiless = method == "HEAD" or resp.status in _BODILESS
        framed = "Content-Length" in resp.headers or (
            "chunked" in resp.headers.get("Transfer-Encoding", "").lower()
        )
        if not framed and not bodiless:
            resp.close()
            raise EndpointFailedError(
                f"{endpoint.name}: the answer says neither its length nor chunked"
            )
        chunks, size = [], 0
        async for chunk in resp.content.iter_any():
            chunks.append(chunk)
            size += len(chunk)
            if size > self._max_answer_bytes:
                resp.close()
                raise EndpointFailedError(
                    f"{endpoint.name}: answer over {self._max_answer_bytes} B",
                    ran="yes",
                )
        return b"".join(chunks)

    async def close(self) -> None:
        """Close all connections."""
        await self._session.close()


def end_to_end_headers(headers: Mapping[str, str]) -> CIMultiDict[str]:
    """Return the headers that may pass on, repeated ones as often as they came.

    Besides the well-known ones, those that the Connection header names belong
    to one connection.
    """
    named = headers.get("Connection") or headers.get("connection") or ""
    dropped = HOP_HEADERS | {n.strip().lower() for n in named.split(",")}
    return CIMultiDict((k, v) for k, v in headers.items() if k.lower() not in dropped)


def _to_response(
    method: str, resp: aiohttp.ClientResponse, body: bytes
) -> EndpointResponse:
    headers = end_to_end_headers(resp.headers)
    length = resp.headers.get("Content-Length")
    if length is not None and (method == "HEAD" or resp.status in _BODILESS):
        # It tells the length of the body that a GET would have got.
        headers["Content-Length"] = length
    pairs = tuple(headers.items())
    return EndpointResponse(resp.status, pairs, body, "X-Leaving" in resp.headers)


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
