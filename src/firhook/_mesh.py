"""Messages between instances over zmq with CURVE.

Each instance binds one ROUTER socket and connects one DEALER socket to each
peer.  All instances of a cell share one CURVE key pair from their settings,
and a client that shows another public key is refused before it can send.
"""

import asyncio
import inspect
import zlib
from collections import Counter
from collections.abc import Awaitable, Callable, Iterable
from typing import Any

import attrs
import zmq
import zmq.asyncio
from zmq.auth.asyncio import AsyncioAuthenticator

from firhook._codec import decode_message, encode_message
from firhook._loop_socket import LoopSocket
from firhook._peer_messages import PeerError
from firhook.address import Address
from firhook.errors import (
    AddressUnusableError,
    FirhookError,
    FrameMalformedError,
    OverloadedError,
    PeerUnreachableError,
)
from firhook.logs import log
from firhook.tasks import log_failure

#: Larger frames are refused by libzmq, so that no peer can fill the memory.
MAX_FRAME_BYTES = 4 << 20
#: Messages that wait for a peer that is away; older gossip is of no use.
MAX_QUEUED_MESSAGES = 64
#: Messages that are being answered at once.  A peer that sends without end is
#: refused beyond them, or the answers in progress would fill the memory.
MAX_CONCURRENT_REQUESTS = 1000
#: A connection on which nothing came for so long is made anew.  One that went silent
#: without a reset, as after a cut, would otherwise be waited on for many seconds.
_HEARTBEAT_INTERVAL_MS = 2000
_HEARTBEAT_TIMEOUT_MS = 2500
#: A peer without power does not refuse a connection; it is tried again soon, as it
#: may be back within a second.
_CONNECT_TIMEOUT_MS = 500
ONE_WAY_TAG = b""
_TAG_BYTES = 8
#: For each message that is served.
_log_unanswered = log_failure("peer.unanswered")
#: Shorter frames gain nothing by compression.
COMPRESSION_THRESHOLD_BYTES = 300
#: First byte of what zlib writes; no encoded message begins with it.
_ZLIB_FIRST_BYTE = 0x78


def pack_frame(msg: Any) -> bytes:
    """Encode a message, compressed if that makes it shorter.

    Messages of many teams repeat the names of their fields and of the teams;
    at the two-year size they would cost a node several times its budget.

    :raises FrameMalformedError: if it is over :data:`MAX_FRAME_BYTES`.
    """
    frame = encode_message(msg)
    if len(frame) > MAX_FRAME_BYTES:
        # The peer would cut the connection, and what else is on its way there
        # would be lost with it.
        raise FrameMalformedError(
            f"a message of {len(frame)} bytes; {MAX_FRAME_BYTES} are allowed"
        )
    if len(frame) < COMPRESSION_THRESHOLD_BYTES:
        return frame
    return min(zlib.compress(frame, 1), frame, key=len)


def unpack_frame(frame: bytes) -> Any:
    """Decode what :func:`pack_frame` encoded.

    :raises FrameMalformedError: if it is no message, or would unpack to more
        than :data:`MAX_FRAME_BYTES`, which a few kilobytes could otherwise fill
        the memory with.
    """
    if not frame or frame[0] != _ZLIB_FIRST_BYTE:
        return decode_message(frame)
    unpacker = zlib.decompressobj()
    try:
        plain = unpacker.decompress(frame, MAX_FRAME_BYTES)
    except zlib.error as exc:
        raise FrameMalformedError(f"compressed frame: {exc}") from exc
    if not unpacker.eof:
        raise FrameMalformedError(
            f"compressed frame: cut short, or over {MAX_FRAME_BYTES} bytes"
        )
    return decode_message(plain)


@attrs.define(slots=True)
class MeshCounts:
    """What went through the mesh since the start.

    :ivar malformed: messages that could not be understood.
    :ivar refused: messages answered with an error of ours.
    :ivar failed: messages whose handler crashed.
    :ivar overloaded: messages refused because too many were being served.
    :ivar sent_by_kind: messages that were sent, by kind.
    :ivar sent_bytes_by_kind: their bytes, without what the transport adds.
    """

    sent: int = 0
    received: int = 0
    sent_bytes: int = 0
    received_bytes: int = 0
    malformed: int = 0
    refused: int = 0
    failed: int = 0
    overloaded: int = 0
    sent_by_kind: Counter[str] = attrs.field(factory=Counter)
    sent_bytes_by_kind: Counter[str] = attrs.field(factory=Counter)


class _CellKeyValidator:
    """Lets in the cell's own public key only."""

    def __init__(self, public: str) -> None:
        self._public = public.encode()

    def callback(self, domain: str, key: bytes) -> bool:
        """Return whether a client with this key may connect."""
        return key == self._public


def _to_peer_error(exc: FirhookError) -> PeerError:
    return PeerError(exc.code, exc.detail)


class Mesh:
    """Sockets to and from all peers.

    :param public: the cell's CURVE public key, in Z85.
    :param secret: its secret key.
    :param handler: handles a message and returns the answer to it, if any; or an
        awaitable of it, if the answer takes a while.
    """

    def __init__(
        self, public: str, secret: str, handler: Callable[[Any], Awaitable[Any] | Any]
    ) -> None:
        self._public = public.encode()
        self._secret = secret.encode()
        self._handler = handler
        self._ctx = zmq.asyncio.Context()
        self._auth = AsyncioAuthenticator(self._ctx)
        self._sync_ctx: zmq.Context[Any] = zmq.Context.shadow(self._ctx)
        self._router: LoopSocket | None = None
        self._dealers: dict[str, LoopSocket] = {}
        self._pending_requests: dict[bytes, asyncio.Future[Any]] = {}
        self._handler_tasks: set[asyncio.Task[None]] = set()
        self._request_count = 0
        self.counts = MeshCounts()

    def bind(self, address: Address) -> Address:
        """Bind the server socket and return the address it got.

        :raises AddressUnusableError: if it cannot be bound there.
        """
        self._auth.start()
        self._auth.configure_curve_callback(
            domain="*", credentials_provider=_CellKeyValidator(self._public.decode())
        )
        router = self._sync_ctx.socket(zmq.ROUTER)
        self._configure(router)
        router.curve_server = True
        try:
            router.bind(f"tcp://{address.host}:{address.port or '*'}")
        except zmq.ZMQError as exc:
            router.close()
            detail = f"{address.host}:{address.port}: {exc.strerror}"
            raise AddressUnusableError(detail) from exc
        endpoint = router.getsockopt_string(zmq.LAST_ENDPOINT)
        self._router = LoopSocket(router, self._on_request)
        return Address(address.host, int(endpoint.rpartition(":")[2]))

    def _configure(self, sock: zmq.Socket[Any]) -> None:
        sock.linger = 0
        sock.heartbeat_ivl = _HEARTBEAT_INTERVAL_MS
        sock.heartbeat_timeout = _HEARTBEAT_TIMEOUT_MS
        sock.handshake_ivl = _HEARTBEAT_TIMEOUT_MS
        sock.maxmsgsize = MAX_FRAME_BYTES
        sock.sndhwm = MAX_QUEUED_MESSAGES
        sock.curve_publickey = self._public
        sock.curve_secretkey = self._secret

    def connect(self, address: str) -> None:
        """Connect to a peer, unless connected already."""
        if address in self._dealers:
            return
        dealer = self._sync_ctx.socket(zmq.DEALER)
        self._configure(dealer)
        dealer.curve_serverkey = self._public
        dealer.reconnect_ivl = 100
        dealer.reconnect_ivl_max = 400
        dealer.connect_timeout = _CONNECT_TIMEOUT_MS
        dealer.connect(f"tcp://{address}")
        self._dealers[address] = LoopSocket(dealer, self._on_reply)
        self._dealers[address].start()

    def disconnect(self, address: str) -> None:
        """Forget a peer that the platform no longer lists."""
        dealer = self._dealers.pop(address, None)
        if dealer is not None:
            dealer.close()

    @property
    def sent_bytes(self) -> int:
        """Bytes of the messages sent, without what the transport adds."""
        return self.counts.sent_bytes

    @property
    def received_bytes(self) -> int:
        """Bytes of the messages received, without what the transport adds."""
        return self.counts.received_bytes

    @property
    def addresses(self) -> set[str]:
        """The peers connected to."""
        return set(self._dealers)

    def send(self, address: str, msg: Any) -> None:
        """Send a one-way message; it is dropped if the peer is away."""
        self._send(address, ONE_WAY_TAG, msg, pack_frame(msg))

    def broadcast(self, msg: Any, addresses: Iterable[str] | None = None) -> int:
        """Send a one-way message to peers and return its size in bytes.

        :param addresses: of the peers; all that are connected to if ``None``.
        """
        frame = pack_frame(msg)
        for address in self._dealers if addresses is None else addresses:
            self._send(address, ONE_WAY_TAG, msg, frame)
        return len(frame)

    async def request(self, address: str, msg: Any, timeout_s: float) -> Any:
        """Send a message and return the answer.

        :raises PeerUnreachableError: if none came in time, or it was an error.
        """
        self._request_count += 1
        tag = self._request_count.to_bytes(8, "big")
        fut = asyncio.get_running_loop().create_future()
        self._pending_requests[tag] = fut
        try:
            if not self._send(address, tag, msg, pack_frame(msg)):
                raise PeerUnreachableError(f"{address}: not connected", ran="no")
            async with asyncio.timeout(timeout_s):
                answer = await fut
        except TimeoutError as exc:
            raise PeerUnreachableError(
                f"{address}: no answer in {timeout_s:g} s"
            ) from exc
        finally:
            self._pending_requests.pop(tag, None)
        if isinstance(answer, PeerError):
            raise PeerUnreachableError(f"{address}: {answer.code}: {answer.detail}")
        return answer

    def _send(self, address: str, tag: bytes, msg: Any, frame: bytes) -> bool:
        dealer = self._dealers.get(address)
        if dealer is None or not dealer.send([tag, frame]):
            return False
        self._record_sent(msg, frame)
        return True

    def _record_sent(self, msg: Any, frame: bytes) -> None:
        """Take note of a message that a socket took."""
        kind = type(msg).__name__
        self.counts.sent_bytes += len(frame)
        self.counts.sent += 1
        self.counts.sent_by_kind[kind] += 1
        self.counts.sent_bytes_by_kind[kind] += len(frame)

    def _on_reply(self, frames: list[bytes]) -> None:
        if len(frames) != 2:
            self.counts.malformed += 1
            return
        self.counts.received_bytes += len(frames[1])
        self.counts.received += 1
        fut = self._pending_requests.get(frames[0])
        if fut is None or fut.done():
            # The asker gave up; the tag keeps this late answer from
            # reaching whoever asks next.
            return
        try:
            fut.set_result(unpack_frame(frames[1]))
        except FrameMalformedError as exc:
            self.counts.malformed += 1
            # Not the asker's own message is at fault, and the peer may have
            # done what it was asked.
            fut.set_exception(PeerUnreachableError(exc.detail))

    async def run(self) -> None:
        """Serve messages until cancelled."""
        assert self._router is not None
        self._router.start()
        await asyncio.get_running_loop().create_future()

    def _on_request(self, frames: list[bytes]) -> None:
        if len(frames) != 3 or len(frames[1]) not in (0, _TAG_BYTES):
            self._reject_frames(frames)
            return
        identity, tag, frame = frames
        self.counts.received_bytes += len(frame)
        self.counts.received += 1
        if len(self._handler_tasks) >= MAX_CONCURRENT_REQUESTS:
            self.counts.overloaded += 1
            exc = OverloadedError("too many messages are being served")
            self._reply(identity, tag, _to_peer_error(exc))
            return
        try:
            answer = self._handler(unpack_frame(frame))
        except Exception as exc:
            answer = self._record_failure(exc)
        if not inspect.isawaitable(answer):
            self._reply(identity, tag, answer)
            return
        task = asyncio.ensure_future(self._reply_when_done(identity, tag, answer))
        self._handler_tasks.add(task)
        task.add_done_callback(self._handler_tasks.discard)
        task.add_done_callback(_log_unanswered)

    def _reject_frames(self, frames: list[bytes]) -> None:
        self.counts.malformed += 1
        log("peer.malformed", level="warning", frames=len(frames))
        if len(frames) >= 2 and 0 < len(frames[1]) <= _TAG_BYTES:
            exc = FrameMalformedError(f"{len(frames) - 1} frames; give a tag and one")
            self._reply(frames[0], frames[1], _to_peer_error(exc))

    async def _reply_when_done(
        self, identity: bytes, tag: bytes, answer: Awaitable[Any]
    ) -> None:
        try:
            self._reply(identity, tag, await answer)
        except Exception as exc:
            self._reply(identity, tag, self._record_failure(exc))

    def _record_failure(self, exc: Exception) -> PeerError:
        """Count and log why a message was not served; return what to answer."""
        if isinstance(exc, FrameMalformedError):
            self.counts.malformed += 1
            log("peer.malformed", level="warning", code=exc.code, detail=exc.detail)
            return _to_peer_error(exc)
        if isinstance(exc, FirhookError):
            self.counts.refused += 1
            log("peer.refused", level="debug", code=exc.code, detail=exc.detail)
            return _to_peer_error(exc)
        self.counts.failed += 1
        log("peer.failed", level="error", error=repr(exc))
        return PeerError("internal", repr(exc))

    def _reply(self, identity: bytes, tag: bytes, answer: Any) -> None:
        if tag == ONE_WAY_TAG or answer is None or self._router is None:
            return
        try:
            reply = pack_frame(answer)
        except FrameMalformedError as exc:
            reply = pack_frame(_to_peer_error(exc))
        if self._router.send([identity, tag, reply]):
            self._record_sent(answer, reply)

    def close(self) -> None:
        """Close all sockets."""
        for address in list(self._dealers):
            self.disconnect(address)
        for task in self._handler_tasks:
            task.cancel()
        if self._router is not None:
            self._router.close()
            self._router = None
        self._auth.stop()
        self._ctx.term()
