"""Shared parts of the HTTP servers: errors, request ids, bodies, shutdown."""

import asyncio
import math
import socket
import uuid
from collections.abc import Awaitable, Callable
from typing import Any

import msgspec
from aiohttp import web

from firhook._sockets import BACKLOG, open_listening_socket
from firhook.errors import (
    BodyTooLargeError,
    FirhookError,
    RequestMalformedError,
)
from firhook.logs import log
from firhook.tasks import log_failure

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]

REQUEST_ID = "X-Request-Id"
#: How often a stopping instance checks for open connections.
_CONNECTION_POLL_S = 0.05
#: Key under which a request stores its id.
REQUEST_KEY = web.RequestKey("request_id", str)


def request_id(req: web.Request) -> str:
    """Return the request id that the caller sent, or a new one.

    :raises RequestMalformedError: if the id is too long or not printable, and
        so unsafe to log.
    """
    given = req.headers.get(REQUEST_ID)
    if given is None:
        return uuid.uuid4().hex
    if not 1 <= len(given) <= 128 or not given.isprintable():
        raise RequestMalformedError(f"{REQUEST_ID}: give 1 to 128 printable characters")
    return given


def problem_response(exc: FirhookError, rid: str | None = None) -> web.Response:
    """Return an error as an RFC 9457 problem document.

    The Retry-After header holds whole seconds, rounded up.  The member
    ``retry_after`` of the document holds the exact time.

    :param rid: the request id, for servers whose requests have one.
    """
    headers = {} if rid is None else {REQUEST_ID: rid}
    members = {} if rid is None else {"request_id": rid}
    if exc.retry_after_s is not None:
        headers["Retry-After"] = str(math.ceil(exc.retry_after_s))
    return web.Response(
        status=exc.status,
        body=msgspec.json.encode({**exc.to_problem(), **members}),
        headers=headers,
        content_type="application/problem+json",
    )


@web.middleware
async def problem_middleware(req: web.Request, handler: Handler) -> web.StreamResponse:
    """Turn exceptions into problem documents and add the request id to responses."""
    rid = "-"
    try:
        rid = request_id(req)
        req[REQUEST_KEY] = rid
        resp = await handler(req)
        if not resp.prepared:
            resp.headers[REQUEST_ID] = rid
        return resp
    except FirhookError as exc:
        level = "error" if exc.status >= 500 and exc.code == "internal" else "info"
        log("request.refused", level=level, code=exc.code, request_id=rid)
        return problem_response(exc, rid)
    except web.HTTPRequestEntityTooLarge:
        return problem_response(BodyTooLargeError("the body is over the limit"), rid)
    except web.HTTPException as exc:
        malformed = RequestMalformedError(f"{req.method} {req.path}: {exc.reason}")
        resp = problem_response(malformed, rid)
        resp.set_status(exc.status)
        return resp
    except Exception as exc:
        log("request.failed", level="error", error=repr(exc), request_id=rid)
        return problem_response(FirhookError(repr(exc), ran="unknown"), rid)


async def read_json(req: web.Request) -> Any:
    """Return the decoded JSON body.

    :raises RequestMalformedError: if the body is not JSON.
    """
    try:
        return msgspec.json.decode(await req.read())
    except (msgspec.DecodeError, RecursionError) as exc:
        raise RequestMalformedError(f"the body is not JSON: {exc}") from exc


def json_response(data: Any, status: int = 200) -> web.Response:
    """Return data as a JSON response."""
    return web.Response(
        status=status,
        body=msgspec.json.encode(data),
        content_type="application/json",
    )


class DrainingSite(web.SockSite):
    """A site that accepts all pending connections before it closes its socket.

    The operating system completes connections before the process accepts them.
    Closing a listening socket resets the connections in its backlog, and their
    callers lose requests that they sent over an established connection.  This
    site therefore accepts the whole backlog in the same event-loop step in which
    it closes the socket.

    :param runner: serves the accepted connections.
    :param sock: the listening socket, non-blocking.
    """

    def __init__(self, runner: web.BaseRunner, sock: socket.socket) -> None:
        super().__init__(runner, sock, backlog=BACKLOG)
        self._app_runner = runner
        self._listener = sock
        self._accepted: set[asyncio.Task[Any]] = set()

    async def stop(self) -> None:
        """Accept all pending connections, then close the socket."""
        self._accept_pending()
        await super().stop()
        if self._accepted:
            await asyncio.wait(self._accepted)

    def _accept_pending(self) -> None:
        loop = asyncio.get_running_loop()
        assert self._app_runner.server is not None
        while True:
            try:
                conn, _ = self._listener.accept()
            except OSError:
                # The backlog is empty, or the socket is already closed.
                return
            conn.setblocking(False)
            task = loop.create_task(
                loop.connect_accepted_socket(self._app_runner.server, conn)
            )
            self._accepted.add(task)
            task.add_done_callback(self._accepted.discard)
            task.add_done_callback(log_failure("caller.not_accepted", level="warning"))


async def wait_connections_closed(runner: web.BaseRunner, timeout_s: float) -> None:
    """Wait until all connections are closed.

    A caller with a keep-alive connection does not know that the instance is
    stopping.  If the instance closes the connection while the next request is
    in transit, the caller cannot tell whether the request was executed.
    Connections therefore stay open until the caller closes them or sends another
    request, whose response closes the connection.

    :param timeout_s: maximum wait.  A caller that is idle for longer finds its
        connection closed before it sends the next request.
    """
    server = runner.server
    waited_s = 0.0
    while server is not None and server.connections and waited_s < timeout_s:
        await asyncio.sleep(_CONNECTION_POLL_S)
        waited_s += _CONNECTION_POLL_S


async def drain_and_close(runner: web.BaseRunner, timeout_s: float) -> None:
    """Close a runner without dropping connections that were opened just before.

    A connection whose request has not arrived yet looks idle, and closing the
    runner would close it while its caller is sending.

    :param timeout_s: connections that are still idle after this time are closed.
    """
    for site in list(runner.sites):
        await site.stop()
    # The loop may have accepted connections that the server has not registered.
    await asyncio.sleep(_CONNECTION_POLL_S)
    await wait_connections_closed(runner, timeout_s)
    await runner.cleanup()


async def serve(routes: list[web.RouteDef], host: str, port: int, max_body: int) -> Any:
    """Start serving routes and return the runner and its site."""
    app = web.Application(middlewares=[problem_middleware], client_max_size=max_body)
    app.add_routes(routes)
    # The gateway forwards a body with its original headers, so the body must stay
    # encoded: a runner would fail on a decompressed body under "Content-Encoding:
    # gzip", and a small compressed body could exhaust the memory.
    runner = web.AppRunner(
        app, access_log=None, shutdown_timeout=1.0, auto_decompress=False
    )
    await runner.setup()
    sock = open_listening_socket(host, port)
    site = DrainingSite(runner, sock)
    await site.start()
    return runner, site
