"""Listening and shutdown of the HTTP servers."""

import asyncio
import socket

from aiohttp import web

from firhook._web import serve


def test_pending_connection_is_served_when_the_site_stops():
    """A caller connects at the moment in which an instance stops.

    Its connection is established and its request sent, but not yet accepted.
    Closing the socket would reset the connection, and the caller could not tell
    whether its request was executed.
    """

    async def hello(req: web.Request) -> web.Response:
        return web.Response(text="whole")

    async def scenario() -> bytes:
        runner, site = await serve([web.get("/", hello)], "127.0.0.1", 0, 1000)
        caller = socket.create_connection(runner.addresses[0])
        caller.sendall(b"GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
        await site.stop()
        caller.setblocking(False)
        answer = b""
        while part := await asyncio.get_running_loop().sock_recv(caller, 1000):
            answer += part
        caller.close()
        await runner.cleanup()
        return answer

    assert asyncio.run(scenario()).endswith(b"whole")
