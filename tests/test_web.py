"""The listening side of HTTP."""

import asyncio
import socket

from aiohttp import web

from firhook._web import serve


def test_connection_that_waits_to_be_accepted_is_served_at_a_stop():
    """A caller connects in the very moment in which an instance stops.

    Its connection is made and its request sent, but not accepted yet.  Closing
    the socket then would reset it, and the caller could not tell whether its
    declaration was run.
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
