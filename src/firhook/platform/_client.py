"""The HTTP client that all calls to the platform and to workers share."""

import asyncio
import socket
from types import SimpleNamespace
from typing import Any

import aiohttp
import attrs
from yarl import URL

#: A connection is dropped if sent bytes stay unacknowledged for this time.  A peer
#: behind a network partition sends nothing, not even a reset, and by default the
#: operating system waits for many minutes.
TCP_USER_TIMEOUT_MS = 1500
#: Probes an idle connection after one second and then every second; three lost
#: probes close it.
_KEEPALIVE = (
    (socket.TCP_KEEPIDLE, 1),
    (socket.TCP_KEEPINTVL, 1),
    (socket.TCP_KEEPCNT, 3),
)
#: An idle connection is kept open for this time: new connections to workers are
#: charged for, and each costs a round trip.
IDLE_CONNECTION_S = 30.0
#: Limit of the connections to each worker and to the store.
MAX_CONNECTIONS_PER_HOST = 32
_SUPPRESSED_HEADERS = ("User-Agent", "Accept", "Accept-Encoding", "Content-Type")


class NotSentError(Exception):
    """No connection could be made, so nothing was sent."""


class NoKeptConnectionError(Exception):
    """No connection on which the server has answered is open, so nothing was sent."""


class NoResponseError(Exception):
    """No complete response came; the call may have taken effect, or may still do so."""


@attrs.frozen(slots=True)
class Response:
    """A complete response.

    :param closes: whether the server announced that it closes the connection.
    """

    status: int
    body: bytes
    closes: bool = False


def _make_socket(info: Any) -> socket.socket:
    family, kind, proto, _, _ = info
    sock = socket.socket(family=family, type=kind, proto=proto)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    for option, value in _KEEPALIVE:
        sock.setsockopt(socket.IPPROTO_TCP, option, value)
    return sock


#: Marks a request that must not open a connection.
_KEPT_CONNECTION_ONLY = object()


async def _refuse_new_connection(
    session: aiohttp.ClientSession,
    ctx: SimpleNamespace,
    params: aiohttp.TraceConnectionCreateStartParams,
) -> None:
    if ctx.trace_request_ctx is _KEPT_CONNECTION_ONLY:
        raise NoKeptConnectionError


def new_session(*tracing: aiohttp.TraceConfig, limit: int = 0) -> aiohttp.ClientSession:
    """Return a client session, which keeps connections open for later calls.

    :param limit: limit of the connections; 0 for no other than that for each host.
    """
    connector = aiohttp.TCPConnector(
        limit=limit,
        limit_per_host=MAX_CONNECTIONS_PER_HOST,
        keepalive_timeout=IDLE_CONNECTION_S,
        socket_factory=_make_socket,
    )
    return aiohttp.ClientSession(
        connector=connector,
        trace_configs=list(tracing),
        cookie_jar=aiohttp.DummyCookieJar(),
        skip_auto_headers=_SUPPRESSED_HEADERS,
        auto_decompress=False,
    )


def new_tracing() -> aiohttp.TraceConfig:
    """Return what lets a session make calls on kept connections only."""
    tracing = aiohttp.TraceConfig()
    tracing.on_connection_create_start.append(_refuse_new_connection)
    return tracing


async def call(
    session: aiohttp.ClientSession,
    method: str,
    url: str,
    timeout_s: float,
    body: bytes | None = None,
    headers: dict[str, str] | None = None,
    total_timeout_s: float | None = None,
    on_kept_connection: bool = False,
) -> Response:
    """Make a call and return the complete response.

    :param timeout_s: how long to wait for the response; with a
        ``total_timeout_s``, for the connection and for each part of the response.
    :param total_timeout_s: how long the complete response may take, if longer than
        ``timeout_s``.
    :param on_kept_connection: whether to make the call only on a connection on which
        an earlier call of the session was answered.  This takes a session with
        :func:`new_tracing`.
    :raises NoKeptConnectionError: if there is no such connection.
    :raises NotSentError: if certainly nothing was sent.
    :raises NoResponseError: if the call may have reached the server.
    """
    timeout = aiohttp.ClientTimeout(
        total=total_timeout_s or timeout_s,
        sock_read=timeout_s if total_timeout_s else None,
        sock_connect=timeout_s if total_timeout_s else None,
    )
    try:
        target = URL(url, encoded=True)
    except ValueError as exc:
        raise NotSentError(repr(exc)) from exc
    try:
        async with session.request(
            method,
            target,
            data=body,
            headers=headers,
            timeout=timeout,
            trace_request_ctx=_KEPT_CONNECTION_ONLY if on_kept_connection else None,
        ) as resp:
            closes = resp.headers.get("Connection", "").lower() == "close"
            return Response(resp.status, await resp.read(), closes)
    except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as exc:
        raise NotSentError(repr(exc)) from exc
    except (
        aiohttp.ClientError,
        TimeoutError,
        OSError,
        ValueError,
        asyncio.IncompleteReadError,
    ) as exc:
        raise NoResponseError(repr(exc)) from exc
