"""Peers talk over CURVE; rubbish gets a typed error and ends no loop."""

import asyncio
import zlib

import pytest
import zmq

from firhook._mesh import MAX_FRAME_BYTES, Mesh, pack_frame, unpack_frame
from firhook.address import Address
from firhook.errors import (
    FrameMalformedError,
    NotLeadError,
    PeerUnreachableError,
)
from firhook.model import Ack, PeerError, SnapshotAnswer, SnapshotAsk, decode_message

ANY = Address("127.0.0.1", 0)


def keys():
    public, secret = zmq.curve_keypair()
    return public.decode(), secret.decode()


class Pair:
    """Two meshes, of which the second serves."""

    def __init__(self, serve):
        self.keys = keys()
        self.a = Mesh(*self.keys, self.nobody)
        self.b = Mesh(*self.keys, serve)

    async def nobody(self, msg):
        raise AssertionError("nobody asks the first mesh")

    async def __aenter__(self):
        self.a.bind(ANY)
        self.address = str(self.b.bind(ANY))
        self.serving = asyncio.create_task(self.b.run())
        self.a.connect(self.address)
        return self

    async def __aexit__(self, *exc):
        self.serving.cancel()
        self.a.close()
        self.b.close()

    async def ask(self, msg=None, timeout_s=5.0):
        return await self.a.request(self.address, msg or Ack(), timeout_s)


async def echo(msg):
    return msg


def test_answer_reaches_its_asker():
    async def scenario():
        async with Pair(echo) as pair:
            asks = [pair.ask(SnapshotAsk(str(i))) for i in range(50)]
            answers = await asyncio.gather(*asks)
            assert [a.stream for a in answers] == [str(i) for i in range(50)]

    asyncio.run(scenario())


@pytest.mark.parametrize("claims_the_cells_key", [False, True])
def test_peer_with_another_key_is_refused(claims_the_cells_key):
    """A process that does not belong to the cell connects to an instance.

    It knows the instance's public key and shows its own, or the cell's without
    having the secret one.  Nothing that it sends may be served.
    """

    async def scenario():
        served = []

        async def serve(msg):
            served.append(msg)
            return Ack()

        async with Pair(serve) as pair:
            public, secret = zmq.curve_keypair()
            dealer = pair.a._ctx.socket(zmq.DEALER)
            dealer.linger = 0
            cell = pair.keys[0].encode()
            dealer.curve_publickey = cell if claims_the_cells_key else public
            dealer.curve_secretkey, dealer.curve_serverkey = secret, cell
            dealer.connect(f"tcp://{pair.address}")
            await dealer.send_multipart([b"12345678", pack_frame(Ack())])
            try:
                with pytest.raises(TimeoutError):
                    await asyncio.wait_for(dealer.recv_multipart(), 0.5)
            finally:
                dealer.close()
            assert served == []
            assert await pair.ask() == Ack()

    asyncio.run(scenario())


def raw_dealer(pair):
    """Return a socket that holds the key but sends what it likes."""
    dealer = pair.a._ctx.socket(zmq.DEALER)
    pair.a._configure(dealer)
    dealer.curve_serverkey = pair.a._public
    dealer.connect(f"tcp://{pair.address}")
    return dealer


@pytest.mark.parametrize(
    "frames",
    [
        [b"12345678", b"rubbish"],
        [b"12345678", b"\x92\xa4Nope\x90"],
        [b"12345678"],
        [b"12345678", b"one", b"two"],
        [b"tag", b"of another length"],
    ],
)
def test_rubbish_is_answered_with_a_typed_error_and_served_no_less(frames):
    """A peer of another version, or a broken one, sends frames of its own."""

    async def scenario():
        async with Pair(echo) as pair:
            dealer = raw_dealer(pair)
            await dealer.send_multipart(frames)
            answer = await asyncio.wait_for(dealer.recv_multipart(), 5)
            error = decode_message(answer[-1])
            assert isinstance(error, PeerError)
            assert error.code == FrameMalformedError.code
            assert pair.b.counts.malformed == 1
            assert await pair.ask() == Ack()
            dealer.close()

    asyncio.run(scenario())


def test_answer_that_cannot_be_understood_is_no_answer():
    """A peer of another version answers, and may have done what it was asked.

    The asker was told that its own message was malformed, and that nothing ran.
    """

    async def scenario():
        async with Pair(echo) as pair:

            def rubbish(identity, tag, answer):
                pair.b._router.send([identity, tag, b"rubbish"])

            pair.b._reply = rubbish
            with pytest.raises(PeerUnreachableError) as caught:
                await pair.ask()
            assert caught.value.ran == "unknown"
            assert pair.a.counts.malformed == 1

    asyncio.run(scenario())


def test_frame_over_the_limit_is_refused_before_it_is_sent():
    async def scenario():
        async with Pair(echo) as pair:
            huge = SnapshotAnswer("cell", 0, "x" * MAX_FRAME_BYTES)
            with pytest.raises(FrameMalformedError):
                await pair.ask(huge)
            assert await pair.ask() == Ack()

    asyncio.run(scenario())


def test_handler_that_fails_answers_and_goes_on():
    async def scenario():
        async def serve(msg):
            if isinstance(msg, SnapshotAsk):
                raise RuntimeError("broken")
            raise NotLeadError("not here")

        async with Pair(serve) as pair:
            with pytest.raises(PeerUnreachableError, match="internal"):
                await pair.ask(SnapshotAsk("cell"))
            with pytest.raises(PeerUnreachableError, match="lead"):
                await pair.ask()
            assert (pair.b.counts.failed, pair.b.counts.refused) == (1, 1)

    asyncio.run(scenario())


def test_peer_that_is_away_is_reported_and_nothing_is_kept():
    async def scenario():
        async with Pair(echo) as pair:
            with pytest.raises(PeerUnreachableError):
                await pair.a.request("127.0.0.1:1", Ack(), 0.1)
            pair.a.connect("127.0.0.1:1")
            with pytest.raises(PeerUnreachableError):
                await pair.a.request("127.0.0.1:1", Ack(), 0.1)
            assert not pair.a._pending_requests

    asyncio.run(scenario())


def test_compressed_frame_that_would_fill_the_memory_is_refused():
    """A few kilobytes from a broken peer unpack to gigabytes."""
    bomb = zlib.compress(b"\0" * (MAX_FRAME_BYTES + 1))
    with pytest.raises(FrameMalformedError):
        unpack_frame(bomb)
    with pytest.raises(FrameMalformedError):
        unpack_frame(bomb[:50])
    long = SnapshotAnswer("cell", 0, "x" * 5000)
    assert len(pack_frame(long)) < 500
    assert unpack_frame(pack_frame(long)) == long
