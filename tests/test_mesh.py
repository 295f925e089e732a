"""Authentication, replies and malformed frames between instances."""

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


def generate_keys():
    public, secret = zmq.curve_keypair()
    return public.decode(), secret.decode()


class MeshPair:
    """Two meshes; the first sends requests to the second."""

    def __init__(self, handler):
        self.keys = generate_keys()
        self.a = Mesh(*self.keys, self.reject)
        self.b = Mesh(*self.keys, handler)

    async def reject(self, msg):
        raise AssertionError("the first mesh receives no request")

    async def __aenter__(self):
        self.a.bind(ANY)
        self.address = str(self.b.bind(ANY))
        self.serve_task = asyncio.create_task(self.b.run())
        self.a.connect(self.address)
        return self

    async def __aexit__(self, *exc):
        self.serve_task.cancel()
        self.a.close()
        self.b.close()

    async def request(self, msg=None, timeout_s=5.0):
        return await self.a.request(self.address, msg or Ack(), timeout_s)


async def echo(msg):
    return msg


def test_reply_reaches_its_request():
    async def scenario():
        async with MeshPair(echo) as pair:
            requests = [pair.request(SnapshotAsk(str(i))) for i in range(50)]
            answers = await asyncio.gather(*requests)
            assert [a.stream for a in answers] == [str(i) for i in range(50)]

    asyncio.run(scenario())


@pytest.mark.parametrize("shows_cell_key", [False, True])
def test_peer_with_another_key_is_refused(shows_cell_key):
    """A process outside the cell connects to an instance.

    It knows the cell's public key, and presents its own key or the cell's public
    key without the secret one.  None of its messages may be handled.
    """

    async def scenario():
        served = []

        async def handler(msg):
            served.append(msg)
            return Ack()

        async with MeshPair(handler) as pair:
            public, secret = zmq.curve_keypair()
            dealer = pair.a._ctx.socket(zmq.DEALER)
            dealer.linger = 0
            cell = pair.keys[0].encode()
            dealer.curve_publickey = cell if shows_cell_key else public
            dealer.curve_secretkey, dealer.curve_serverkey = secret, cell
            dealer.connect(f"tcp://{pair.address}")
            await dealer.send_multipart([b"12345678", pack_frame(Ack())])
            try:
                with pytest.raises(TimeoutError):
                    await asyncio.wait_for(dealer.recv_multipart(), 0.5)
            finally:
                dealer.close()
            assert served == []
            assert await pair.request() == Ack()

    asyncio.run(scenario())


def raw_dealer(pair):
    """Return a socket with the cell's keys that can send arbitrary frames."""
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
def test_malformed_frames_get_typed_error_and_serving_continues(frames):
    """A faulty peer, or one of another version, sends unknown frames."""

    async def scenario():
        async with MeshPair(echo) as pair:
            dealer = raw_dealer(pair)
            await dealer.send_multipart(frames)
            answer = await asyncio.wait_for(dealer.recv_multipart(), 5)
            error = decode_message(answer[-1])
            assert isinstance(error, PeerError)
            assert error.code == FrameMalformedError.code
            assert pair.b.counts.malformed == 1
            assert await pair.request() == Ack()
            dealer.close()

    asyncio.run(scenario())


def test_malformed_reply_counts_as_no_reply():
    """A malformed reply must not be reported as a malformed request.

    A peer of another version may have carried out the request, so the error must
    not say that nothing ran.
    """

    async def scenario():
        async with MeshPair(echo) as pair:

            def reply_malformed(identity, tag, answer):
                pair.b._router.send([identity, tag, b"rubbish"])

            pair.b._reply = reply_malformed
            with pytest.raises(PeerUnreachableError) as caught:
                await pair.request()
            assert caught.value.ran == "unknown"
            assert pair.a.counts.malformed == 1

    asyncio.run(scenario())


def test_frame_over_the_limit_is_refused_before_it_is_sent():
    async def scenario():
        async with MeshPair(echo) as pair:
            too_large = SnapshotAnswer("cell", 0, "x" * MAX_FRAME_BYTES)
            with pytest.raises(FrameMalformedError):
                await pair.request(too_large)
            assert await pair.request() == Ack()

    asyncio.run(scenario())


def test_failed_handler_gets_error_reply_and_serving_continues():
    async def scenario():
        async def handler(msg):
            if isinstance(msg, SnapshotAsk):
                raise RuntimeError("broken")
            raise NotLeadError("not here")

        async with MeshPair(handler) as pair:
            with pytest.raises(PeerUnreachableError, match="internal"):
                await pair.request(SnapshotAsk("cell"))
            with pytest.raises(PeerUnreachableError, match="lead"):
                await pair.request()
            assert (pair.b.counts.failed, pair.b.counts.refused) == (1, 1)

    asyncio.run(scenario())


def test_unreachable_peer_raises_and_leaves_no_pending_request():
    async def scenario():
        async with MeshPair(echo) as pair:
            with pytest.raises(PeerUnreachableError):
                await pair.a.request("127.0.0.1:1", Ack(), 0.1)
            pair.a.connect("127.0.0.1:1")
            with pytest.raises(PeerUnreachableError):
                await pair.a.request("127.0.0.1:1", Ack(), 0.1)
            assert not pair.a._pending_requests

    asyncio.run(scenario())


def test_frame_that_decompresses_over_the_limit_is_refused():
    """A few kilobytes from a faulty peer could decompress to gigabytes."""
    oversized = zlib.compress(b"\0" * (MAX_FRAME_BYTES + 1))
    with pytest.raises(FrameMalformedError):
        unpack_frame(oversized)
    with pytest.raises(FrameMalformedError):
        unpack_frame(oversized[:50])
    long = SnapshotAnswer("cell", 0, "x" * 5000)
    assert len(pack_frame(long)) < 500
    assert unpack_frame(pack_frame(long)) == long
