"""What all HTTP routes share: problem documents, request ids, bodies, ports."""

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
#: How often a stopping instance looks whether callers still hold connections.
_LET_GO_STEP_S = 0.05
#: Where a request keeps its id.
REQUEST_KEY = web.RequestKey("request_id", str)


def request_id(req: web.Request) -> str:
    """Return the caller's request id, or a new one if it gave none.

    :raises RequestMalformedError: if it gave one that is unsafe to log.
    """
    given = req.headers.get(REQUEST_ID)
    if given is None:
        return uuid.uuid4().hex
    if not 1 <= len(given) <= 128 or not given.isprintable():
        raise RequestMalformedError(f"{REQUEST_ID}: give 1 to 128 printable characters")
    return given


def problem_response(exc: FirhookError, rid: str | None = None) -> web.Response:
    """Return an error as an RFC 9457 problem document.

    :param rid: the request's id, where requests have one.

    The Retry-After header takes whole seconds only and is rounded up; the
    member ``retry_after`` of the document says it exactly.
    """
    headers = {} if rid is None else {REQUEST_ID: rid}
    named = {} if rid is None else {"request_id": rid}
    if exc.retry_after_s is not None:
        headers["Retry-After"] = str(math.ceil(exc.retry_after_s))
    return web.Response(
        status=exc.status,
        body=msgspec.json.encode({**exc.to_problem(), **named}),
        headers=headers,
        content_type="application/problem+json",
    )


@web.middleware
async def problem_middleware(req: web.Request, handler: Handler) -> web.StreamResponse:
    """Turn errors into problem documents and put the request id on answers."""
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
        wrong = RequestMalformedError(f"{req.method} {req.path}: {exc.reason}")
        resp = problem_response(wrong, rid)
        resp.set_status(exc.status)
        return resp
    except Exception as exc:
        log("request.failed", level="error", error=repr(exc), request_id=rid)
        return problem_response(FirhookError(repr(exc), ran="unknown"), rid)


async def read_json(req: web.Request) -> Any:
    """Return the body decoded from JSON.

    :raises RequestMalformedError: if it is not JSON.
    """
    try:
        return msgspec.json.decode(await req.read())
    except (msgspec.DecodeError, RecursionError) as exc:
        raise RequestMalformedError(f"the body is not JSON: {exc}") from exc


def json_response(data: Any, status: int = 200) -> web.Response:
    """Return data as a JSON answer."""
    return web.Response(
        status=status,
        body=msgspec.json.encode(data),
        content_type="application/json",
    )


class DrainingSite(web.SockSite):
    """A listening socket that closes without cutting who has connected.

    The kernel completes connections before the process accepts them.  Those
    that still wait when a listening socket is closed are reset, and their
    callers see a request cut that was sent to a live connection.  So everything
    that waits is accepted in the same step in which the socket is closed.

    :param runner: serves what is accepted.
    :param sock: the listening socket, not blocking.
    """

    def __init__(self, runner: web.BaseRunner, sock: socket.socket) -> None:
        super().__init__(runner, sock, backlog=BACKLOG)
        self._app_runner = runner
        self._listening = sock
        self._accepted: set[asyncio.Task[Any]] = set()

    async def stop(self) -> None:
        """Accept what waits, and close."""
        self._accept_waiting()
        await super().stop()
        if self._accepted:
            await asyncio.wait(self._accepted)

    def _accept_waiting(self) -> None:
        loop = asyncio.get_running_loop()
        assert self._app_runner.server is not None
        while True:
            try:
                conn, _ = self._listening.accept()
            except OSError:
                # Nothing waits any more, or the socket is closed already.
                return
            conn.setblocking(False)
            task = loop.create_task(
                loop.connect_accepted_socket(self._app_runner.server, conn)
            )
            self._accepted.add(task)
            task.add_done_callback(self._accepted.discard)
            task.add_done_callback(log_failure("caller.not_accepted", level="warning"))


async def wait_connections_closed(runner: web.BaseRunner, most_s: float) -> None:
    """Wait until no caller holds a connection any more.

    A caller that keeps its connection between two requests cannot know that
    the instance stops.  If the instance closes the connection in the moment in
    which the next request is on its way, the caller sees it cut and cannot tell
    whether it was run.  So connections stay open until their callers have used
    them once more, which tells them to close, or have let go of them.

    :param most_s: a caller that comes back later than this finds its connection
        closed, which it sees before it sends.
    """
    server = runner.server
    waited_s = 0.0
    while server is not None and server.connections and waited_s < most_s:
        await asyncio.sleep(_LET_GO_STEP_S)
        waited_s += _LET_GO_STEP_S


async def drain_and_close(runner: web.BaseRunner, most_s: float) -> None:
    """Close a runner without cutting callers who connected just before.

    A connection whose request has not come yet looks idle, and closing the
    runner would close it while its caller sends.

    :param most_s: callers that have sent nothing after this are cut.
    """
    for site in list(runner.sites):
        await site.stop()
    # The loop may have accepted connections that the server does not know yet.
    await asyncio.sleep(_LET_GO_STEP_S)
    await wait_connections_closed(runner, most_s)
    await runner.cleanup()


async def serve(routes: list[web.RouteDef], host: str, port: int, max_body: int) -> Any:
    """Start serving routes; return the runner and the port it got."""
    app = web.Application(middlewares=[problem_middleware], client_max_size=max_body)
    app.add_routes(routes)
    # A body is passed on with the headers that describe it, so it must stay as
    # it was sent: unpacked under "Content-Encoding: gzip" a runner would fail
    # on it, and a small packed body could fill the memory.
    runner = web.AppRunner(
        app, access_log=None, shutdown_timeout=1.0, auto_decompress=False
    )
    await runner.setup()
    sock = open_listening_socket(host, port)
    site = DrainingSite(runner, sock)
    await site.start()
    return runner, site
