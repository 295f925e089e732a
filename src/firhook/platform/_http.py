"""HTTP clients of the platform's services, based on aiohttp."""

from collections.abc import Mapping, Sequence

import aiohttp
import msgspec
from multidict import CIMultiDict
from yarl import URL

from firhook.address import Address
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
from firhook.logs import log
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

#: Headers of a single connection, which must not be forwarded.  A forwarded
#: Content-Length or Transfer-Encoding beside the one that the library writes lets
#: the two ends disagree on where a message ends, so that one caller's bytes are
#: read as the start of another's request.
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

#: Suggested delay before a failed append or read is retried.
_LOG_RETRY_S = 2.0
#: Raised when a response is truncated, late or malformed.
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
    """HTTP client of the platform's log.

    :param session: shared client session.
    :param url: base URL of the log.
    :param timeout_s: how long to wait for the response to an append.
    """

    def __init__(
        self, session: aiohttp.ClientSession, url: str, timeout_s: float
    ) -> None:
        self._session = session
        self._url = url
        self._timeout_s = timeout_s

    async def append(self, stream: str, payloads: Sequence[bytes]) -> int:
        """See :meth:`LogService.append`."""
        body = msgspec.json.encode([p.decode() for p in payloads])
        timeout = aiohttp.ClientTimeout(total=self._timeout_s)
        url = f"{self._url}/log/{stream}"
        try:
            async with self._session.post(url, data=body, timeout=timeout) as resp:
                text = await resp.read()
                answer = msgspec.json.decode(text)
                if resp.status == 503 and answer["taken"] is False:
                    # Only a body of the log itself proves this.  A load
                    # balancer also returns 503, possibly after the log appended
                    # the records.
                    raise LogUnavailableError(
                        "the log refused the append", retry_after_s=_LOG_RETRY_S
                    )
                if resp.status != 200:
                    raise LogOutcomeUnknownError(f"the log returned {resp.status}")
                return int(answer["first"])
        except aiohttp.ClientConnectorError as exc:
            raise LogUnavailableError(str(exc), retry_after_s=_LOG_RETRY_S) from exc
        except _RESPONSE_ERRORS as exc:
            raise LogOutcomeUnknownError(repr(exc), retry_after_s=_LOG_RETRY_S) from exc

    async def read(self, stream: str, offset: int, wait_s: float) -> LogPage:
        """See :meth:`LogService.read`."""
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
                    raise LogUnavailableError(f"the log returned {resp.status}")
                page = msgspec.json.decode(text)
                entries = tuple(
                    LogEntry(int(at), str(data).encode("utf-8", "replace"))
                    for at, data in page["records"]
                )
                return LogPage(entries, int(page["end"]))
        except _RESPONSE_ERRORS as exc:
            raise LogUnavailableError(repr(exc), retry_after_s=_LOG_RETRY_S) from exc


_ENDPOINT_ROWS = msgspec.json.Decoder(list[msgspec.Raw])
_ENDPOINT = msgspec.json.Decoder(Endpoint, strict=False)


def decode_endpoints(raw: bytes) -> tuple[Endpoint, ...]:
    """Decode the instance list; leave out entries that cannot be used.

    One odd entry must not hide all others from the whole fleet.

    :raises PlatformUnavailableError: if the bytes are not a list.
    """
    listed = []
    try:
        rows = _ENDPOINT_ROWS.decode(raw)
    except (msgspec.MsgspecError, RecursionError) as exc:
        raise PlatformUnavailableError(f"the instance list: {exc}") from exc
    for row in rows:
        try:
            endpoint = _ENDPOINT.decode(row)
            Address.parse(endpoint.address)
        except (msgspec.MsgspecError, ValueError, RecursionError) as exc:
            error = str(exc)[:200]
            log("instances.entry_unreadable", level="warning", error=error)
        else:
            listed.append(endpoint)
    return tuple(listed)


class HttpInstanceList(InstanceList):
    """HTTP client of the platform's instance list.

    The list is long and seldom changes, and every instance polls it.  With an
    ETag the platform sends the list only after a change.  At the size expected in
    two years the full list every second would take 373 KB/s per node, while all
    control traffic may take 14 KB/s.
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
        """See :meth:`InstanceList.list`."""
        headers = {"If-None-Match": self._tag} if self._tag else {}
        try:
            async with self._session.get(
                self._url, headers=headers, timeout=self._timeout
            ) as resp:
                if resp.status == 304 and self._tag:
                    return self._listed
                if resp.status != 200:
                    raise PlatformUnavailableError(
                        f"the platform returned {resp.status}"
                    )
                listed = decode_endpoints(await resp.read())
        except (aiohttp.ClientError, TimeoutError) as exc:
            raise PlatformUnavailableError(repr(exc)) from exc
        # Update both together, and only after the full list was decoded.
        self._listed, self._tag = listed, resp.headers.get("ETag", "")
        return listed


class HttpWorkers(WorkerClient):
    """HTTP client of the workers."""

    def __init__(self, session: aiohttp.ClientSession, timeout_s: float) -> None:
        self._session = session
        self._timeout = aiohttp.ClientTimeout(total=timeout_s)

    async def poll(self, worker: Endpoint) -> Report:
        """See :meth:`WorkerClient.poll`."""
        return await self._call(worker, "GET", None)

    async def send_order(self, worker: Endpoint, order: Order) -> Report:
        """See :meth:`WorkerClient.send_order`."""
        # Omit empty fields: most orders only renew leases by a digest.
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
                        f"{worker.name} returned {resp.status}"
                    )
                return msgspec.json.decode(text, type=Report)
        except _RESPONSE_ERRORS as exc:
            raise WorkerUnreachableError(f"{worker.name}: {exc!r}") from exc


#: Runners commonly close a connection that was idle for five seconds or more.  A
#: request sent at that moment fails with an unknown outcome, so idle connections
#: are closed well before.
_IDLE_CONNECTION_S = 3.0
_CONNECT_TIMEOUT_S = 1.0
_BODILESS = frozenset((204, 304))


class HttpEndpoints(EndpointClient):
    """HTTP client of the runners.

    aiohttp closes a connection whose exchange did not end cleanly, so a late
    response is never mistaken for the response to the next request on the same
    connection.

    :param max_answer_bytes: size limit of a response body.
    """

    def __init__(self, max_answer_bytes: int = 8 << 20) -> None:
        self._max_answer_bytes = max_answer_bytes
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(
                limit=0, keepalive_timeout=_IDLE_CONNECTION_S
            ),
            # A runner's cookie belongs to one caller; a cookie jar would send it
            # with the requests of all callers.
            cookie_jar=aiohttp.DummyCookieJar(),
            auto_decompress=False,
            skip_auto_headers=(
                "User-Agent",
                "Accept",
                "Accept-Encoding",
                "Content-Type",
            ),
        )
        # By default aiohttp resends an idempotent request when a reused connection
        # breaks, which bypasses the retry budget and the router.  The session has
        # no public option to turn this off.
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
        """See :meth:`EndpointClient.send`.

        If the connection was never established (refused, unreachable or timed
        out), no byte was sent.  After any other error the runner may have received
        the request, also on a reused connection that the runner closed.
        """
        timeout = aiohttp.ClientTimeout(
            total=timeout_s, sock_connect=_CONNECT_TIMEOUT_S
        )
        # The path is forwarded unchanged: decoding and encoding it again would
        # turn "%2F" into a slash.
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
                answer = await self._read_body(endpoint, method, resp)
                return _to_response(method, resp, answer)
        except (aiohttp.ConnectionTimeoutError, aiohttp.ClientConnectorError) as exc:
            raise NoEndpointError(
                f"{endpoint.name}: {exc}", retry_after_s=_CONNECT_TIMEOUT_S
            ) from exc
        except TimeoutError as exc:
            raise EndpointTimeoutError(f"{endpoint.name}: response timed out") from exc
        except (aiohttp.ClientError, OSError, ValueError) as exc:
            raise EndpointFailedError(f"{endpoint.name}: {exc!r}") from exc

    async def _read_body(
        self, endpoint: Endpoint, method: str, resp: aiohttp.ClientResponse
    ) -> bytes:
        """Return the complete body of a response.

        :raises EndpointFailedError: if the body is too large, or if its end cannot
            be distinguished from a truncation: a body that is delimited by the end
            of the connection looks the same when the runner dies half way.
        """
        bodiless = method == "HEAD" or resp.status in _BODILESS
        framed = "Content-Length" in resp.headers or (
            "chunked" in resp.headers.get("Transfer-Encoding", "").lower()
        )
        if not framed and not bodiless:
            resp.close()
            raise EndpointFailedError(
                f"{endpoint.name}: neither Content-Length nor chunked encoding"
            )
        chunks, size = [], 0
        async for chunk in resp.content.iter_any():
            chunks.append(chunk)
            size += len(chunk)
            if size > self._max_answer_bytes:
                resp.close()
                raise EndpointFailedError(
                    f"{endpoint.name}: response exceeds {self._max_answer_bytes} B",
                    ran="yes",
                )
        return b"".join(chunks)

    async def close(self) -> None:
        """Close all connections."""
        await self._session.close()


def end_to_end_headers(headers: Mapping[str, str]) -> CIMultiDict[str]:
    """Return the headers to forward, with repeated headers kept.

    Besides the headers of :data:`HOP_HEADERS`, those that the Connection header
    names belong to a single connection.
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
        # The length of the body that a GET request would return.
        headers["Content-Length"] = length
    pairs = tuple(headers.items())
    return EndpointResponse(resp.status, pairs, body, "X-Leaving" in resp.headers)


def http_platform(
    session: aiohttp.ClientSession, url: str, timeout_s: float, worker_timeout_s: float
) -> Platform:
    """Return the HTTP clients of the platform's services."""
    return Platform(
        HttpLog(session, url, timeout_s),
        HttpInstanceList(session, url, timeout_s),
        HttpWorkers(session, worker_timeout_s),
        HttpEndpoints(),
    )
