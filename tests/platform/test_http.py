"""The HTTP clients of runners and of the instance list over real sockets."""

import asyncio

import aiohttp
import pytest
from aiohttp.test_utils import TestServer
from multidict import CIMultiDict

from firhook.errors import (
    EndpointFailedError,
    EndpointTimeoutError,
    FirhookError,
    NoEndpointError,
)
from firhook.model import Endpoint
from firhook.platform._http import HttpEndpoints, HttpInstanceList
from standins.platform import Platform


class RawRunner:
    """Server that answers each request with the next of the given byte strings.

    :param answers: bytes to send for each request; ``None`` closes the
        connection without a response.
    :param close: whether to close the connection after each response.
    """

    def __init__(self, *answers: bytes | None, close: bool = False) -> None:
        self.answers = list(answers)
        self.close = close
        self.got: list[bytes] = []
        self.conns = 0

    async def _serve(self, reader, writer):
        self.conns += 1
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                self.got.append(head)
                lower = head.lower()
                if b"content-length: " in lower:
                    size = lower.split(b"content-length: ")[1].split(b"\r\n")[0]
                    self.got[-1] += await reader.readexactly(int(size))
                answer = self.answers.pop(0) if self.answers else None
                if answer is not None:
                    writer.write(answer)
                    await writer.drain()
                if answer is None or self.close:
                    return
        except asyncio.IncompleteReadError:
            pass
        finally:
            writer.close()

    async def __aenter__(self):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self.server.sockets[0].getsockname()[1]
        self.endpoint = Endpoint("r", "runner", "z", f"127.0.0.1:{port}")
        self.client = HttpEndpoints()
        return self

    async def __aexit__(self, *exc):
        await self.client.close()
        self.server.close()

    async def send(self, method="GET", path="/", headers=None, body=b"", timeout_s=5.0):
        return await self.client.send(
            self.endpoint, method, path, headers or {}, body, timeout_s
        )


def ok(body: bytes = b"fine", *headers: bytes) -> bytes:
    lines = [b"HTTP/1.1 200 OK", b"Content-Length: %d" % len(body), *headers]
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


def run(runner: RawRunner, *sends) -> list:
    """Send requests in turn; return a response or an error for each."""

    async def scenario():
        results = []
        async with runner:
            for kw in sends:
                try:
                    results.append(await runner.send(**kw))
                except FirhookError as exc:
                    results.append(exc)
        return results

    return asyncio.run(scenario())


@pytest.mark.parametrize(
    "cut",
    [
        b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
        b"HTTP/1.1 200 OK\r\n\r\nhalf",
        b"HTTP/1.1 200 OK\r\nContent-Le",
    ],
)
def test_truncated_response_is_an_error(cut):
    """A runner dies in the middle of a response.

    If the part were forwarded as a complete response, the caller would get
    truncated data without noticing.
    """
    (exc,) = run(RawRunner(cut, close=True), {})
    assert isinstance(exc, EndpointFailedError)
    assert exc.ran == "unknown"


@pytest.mark.parametrize("method", ["GET", "PUT", "POST"])
def test_request_that_fails_on_a_reused_connection_is_not_resent(method):
    """The runner closes an idle connection just as a request is sent on it.

    The runner may have run the request, so the client must neither resend it nor
    report that it was not run.
    """
    runner = RawRunner(ok(), None, ok())
    first, second = run(runner, {}, {"method": method, "body": b"x"})
    assert first.body == b"fine"
    assert isinstance(second, EndpointFailedError)
    assert second.ran == "unknown"
    assert len(runner.got) == 2


def test_refused_connection_is_reported_as_not_sent():
    """A runner is gone and its port closed: its requests may go to another runner."""

    async def scenario():
        async with RawRunner() as runner:
            runner.server.close()
            await runner.server.wait_closed()
            with pytest.raises(NoEndpointError) as caught:
                await runner.send("POST", body=b"charge")
            assert caught.value.ran == "no"

    asyncio.run(scenario())


def test_late_response_is_not_mistaken_for_the_next_one():
    """A runner answers after the request has timed out.

    The next request to the runner must not get that response.
    """

    async def scenario():
        async with RawRunner(b"", ok(b"second")) as runner:
            with pytest.raises(EndpointTimeoutError):
                await runner.send(path="/first", timeout_s=0.1)
            answer = await runner.send(path="/second")
            assert answer.body == b"second"
            assert runner.conns == 2

    asyncio.run(scenario())


def test_path_and_query_are_forwarded_unchanged():
    path = "/a%2Fb/%7Ec/../d//e;f=1?q=a%20b&q=&x=%C3%A9+"
    runner = RawRunner(ok())
    run(runner, {"path": path})
    assert runner.got[0].startswith(b"GET " + path.encode() + b" HTTP/1.1\r\n")


def test_hop_by_hop_headers_are_dropped_and_repeated_ones_are_forwarded():
    """If two ends disagree on where a message ends, one caller's bytes may be read
    as another's request.
    """
    headers = CIMultiDict(
        [
            ("Transfer-Encoding", "chunked"),
            ("Content-Length", "999"),
            ("Connection", "close, X-Hop"),
            ("X-Hop", "1"),
            ("Expect", "100-continue"),
            ("X-Many", "1"),
            ("X-Many", "2"),
        ]
    )
    runner = RawRunner(ok())
    run(runner, {"method": "POST", "headers": headers, "body": b"four"})
    head = runner.got[0].lower()
    assert head.count(b"content-length: 4\r\n") == 1
    assert b"transfer-encoding" not in head
    assert b"x-hop" not in head
    assert b"expect" not in head
    assert b"x-many: 1\r\nx-many: 2\r\n" in head
    assert head.endswith(b"four")


def test_redirect_and_repeated_cookies_reach_the_caller():
    moved = b"HTTP/1.1 302 Found\r\nLocation: /x\r\nContent-Length: 0\r\n"
    runner = RawRunner(moved + b"Set-Cookie: a=1\r\nSet-Cookie: b=2\r\n\r\n", ok())
    first, _ = run(runner, {}, {})
    assert first.status == 302
    cookies = [v for k, v in first.headers if k == "Set-Cookie"]
    assert cookies == ["a=1", "b=2"]
    assert b"a=1" not in runner.got[1]


def test_response_to_head_keeps_its_content_length():
    runner = RawRunner(b"HTTP/1.1 200 OK\r\nContent-Length: 42\r\n\r\n", ok())
    head, after = run(runner, {"method": "HEAD"}, {})
    assert ("Content-Length", "42") in head.headers
    assert head.body == b""
    assert after.body == b"fine"


def test_response_over_the_size_limit_is_an_error():
    async def scenario():
        async with RawRunner(ok(b"x" * 2000)) as runner:
            runner.client._max_answer_bytes = 1000
            with pytest.raises(EndpointFailedError) as caught:
                await runner.send()
            assert caught.value.ran == "yes"

    asyncio.run(scenario())


def test_unchanged_instance_list_is_not_sent_again():
    """Every instance polls the instance list each second.

    Sent in full each time, the list would use most of the bandwidth of control
    traffic.  If a change were not sent, a leaving runner would get work.
    """

    async def scenario():
        stand_in = Platform(0.0)
        entry = {"name": "r1", "kind": "runner", "zone": "z", "address": "127.0.0.1:1"}
        stand_in.visible_entries["r1"] = entry
        async with (
            TestServer(stand_in.app()) as server,
            aiohttp.ClientSession() as http,
        ):
            listed = HttpInstanceList(http, str(server.make_url("")).rstrip("/"), 5.0)
            first = await listed.list()
            assert await listed.list() is first
            entry["leaving"] = True
            assert [e.leaving for e in await listed.list()] == [True]

    asyncio.run(scenario())
