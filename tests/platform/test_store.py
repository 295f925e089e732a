"""The HTTP client of the platform's store over real sockets."""

import asyncio

import msgspec
import pytest

from firhook.address import Address
from firhook.errors import LogOutcomeUnknownError, LogRecordRefusedError
from firhook.platform._client import new_session
from firhook.platform.store import HttpStore

TIMEOUT_S = 0.2
PAGE = {"items": [{"key": "job/1", "value": "eA==", "offset": 4}], "end": 5}


def read_newest_from_server(pieces, pause_s):
    """Read the newest records from a server that sends the page in pieces."""

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        body = msgspec.json.encode(PAGE)
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body))
        size = len(body) // pieces + 1
        for at in range(0, len(body), size):
            writer.write(body[at : at + size])
            await writer.drain()
            await asyncio.sleep(pause_s)
        writer.close()

    async def scenario():
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        async with server, new_session() as session:
            store = HttpStore(session, Address("127.0.0.1", port), TIMEOUT_S)
            return await store.read_newest("keyed.firhook")

    return asyncio.run(scenario())


def test_page_that_arrives_slowly_is_read_completely():
    """After a power failure all instances read the cell over links of 5 Mbit/s.

    A page of 1 MB then takes longer than the timeout of a short response.  If the
    client gave up in the middle, it would request the page again forever and the
    instance would never serve.
    """
    newest = read_newest_from_server(pieces=40, pause_s=TIMEOUT_S / 8)
    assert [r.key for r in newest.records] == ["job/1"]
    assert newest.end == 5


def test_read_of_a_stalled_page_times_out():
    """The store stalls in the middle of a response.

    A long wait for the rest would delay the reader, while a retry may succeed at
    once.
    """
    with pytest.raises(LogOutcomeUnknownError):
        read_newest_from_server(pieces=2, pause_s=TIMEOUT_S * 4)


def test_key_range_stops_paging_at_its_upper_bound():
    """The store pages through all keys after the lower bound.

    The client must stop at the upper bound and drop the keys beyond it.
    """
    pages = {
        "lead": ["mesh", "peer/a"],
        "peer/a": ["peer/b", "state/1"],
    }
    asked = []

    async def serve(reader, writer):
        head = (await reader.readuntil(b"\r\n\r\n")).decode()
        after = head.split("after=")[1].split()[0].split("&")[0]
        asked.append(after)
        items = [{"key": k, "value": "eA==", "offset": 1} for k in pages[after]]
        body = msgspec.json.encode({"items": items, "has_more": True, "end": 9})
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body))
        writer.write(body)
        writer.close()

    async def scenario():
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        async with server, new_session() as session:
            store = HttpStore(session, Address("127.0.0.1", port), TIMEOUT_S)
            return await store.read_newest("keyed.firhook", 1, "lead", "state/")

    newest = asyncio.run(scenario())
    assert [r.key for r in newest.records] == ["mesh", "peer/a", "peer/b"]
    assert newest.end == 9
    assert asked == ["lead", "peer/a"]


@pytest.mark.parametrize(
    ("status", "error"),
    [
        (400, LogRecordRefusedError),
        (413, LogRecordRefusedError),
        (500, LogOutcomeUnknownError),
    ],
)
def test_append_that_is_refused_each_time_is_told_from_one_without_an_answer(
    status, error
):
    """The lead repeated the append of a record that was too large for ever."""

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 %d X\r\nContent-Length: 2\r\n\r\n{}" % status)
        await writer.drain()
        writer.close()

    async def scenario():
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        async with server, new_session() as session:
            store = HttpStore(session, Address("127.0.0.1", port), TIMEOUT_S)
            with pytest.raises(error):
                await store.append("keyed.firhook", 0, [b"\x01kv"])

    asyncio.run(scenario())
