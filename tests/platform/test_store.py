"""The client of the platform's store over real sockets."""

import asyncio

import msgspec
import pytest

from firhook.address import Address
from firhook.errors import LogOutcomeUnknownError
from firhook.platform._client import new_session
from firhook.platform.store import HttpStore

TIMEOUT_S = 0.2
PAGE = {"items": [{"key": "job/1", "value": "eA==", "offset": 4}], "end": 5}


def newest_from(pieces, pause_s):
    """Return the newest records, told in pieces with a pause between them."""

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


def test_page_that_a_thin_link_takes_long_for_is_read_whole():
    """All instances were without power, and read the cell anew over links of
    5 Mbit/s: a page of 1 MB takes longer than any short answer may.

    Given up in the middle, each page would be asked for again and never be
    there; the instance would serve nobody for as long as it lives.
    """
    newest = newest_from(pieces=10, pause_s=TIMEOUT_S / 2)
    assert [r.key for r in newest.records] == ["job/1"]
    assert newest.end == 5


def test_page_whose_rest_does_not_come_is_given_up():
    """The store goes silent in the middle of an answer.

    Waiting for the rest for long would hold up whoever asked, while another try
    may be answered at once.
    """
    with pytest.raises(LogOutcomeUnknownError):
        newest_from(pieces=2, pause_s=TIMEOUT_S * 4)


def test_records_of_other_keys_are_neither_returned_nor_waited_for():
    """A range of keys is read although the store pages through all that follow."""
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
