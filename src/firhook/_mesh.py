"""Messages between instances over zmq with CURVE.

Each instance binds one ROUTER socket and connects one DEALER socket to each
peer.  All instances of a cell share one CURVE key pair.  A client with another
public key is rejected during the handshake, before it can send a message.
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

#: libzmq rejects larger frames, so that no peer can exhaust the memory.
MAX_FRAME_BYTES = 4 << 20
#: Messages queued for an unreachable peer; older gossip would be useless.
MAX_QUEUED_MESSAGES = 64
#: Messages handled at a time.  Further ones are refused, so that a peer that
#: sends without pause cannot exhaust the memory with unfinished handlers.
MAX_CONCURRENT_REQUESTS = 1000
#: A connection on which nothing arrives for the timeout is reopened.  Otherwise
#: the failure of one that ended without a reset, as in a network partition, would
#: stay undetected for many seconds.
_HEARTBEAT_INTERVAL_MS = 2000
_HEARTBEAT_TIMEOUT_MS = 2500
#: A host without power does not refuse connections.  The attempt is repeated soon,
#: because the host may be back within a second.
_CONNECT_TIMEOUT_MS = 500
ONE_WAY_TAG = b""
_TAG_BYTES = 8
_log_unanswered = log_failure("peer.unanswered")
#: Compression does not make shorter frames smaller.
COMPRESSION_THRESHOLD_BYTES = 300
#: The first byte of zlib output; no encoded message starts with it.
_ZLIB_FIRST_BYTE = 0x78


def pack_frame(msg: Any) -> bytes:
    """Encode a message, and compress it if that makes it shorter.

    Messages about many teams repeat field and team names.  Uncompressed, at the
    size expected in two years, they would use several times a node's bandwidth
    budget.

    :raises FrameMalformedError: if the message exceeds :data:`MAX_FRAME_BYTES`.
    """
    frame = encode_message(msg)
    if len(frame) > MAX_FRAME_BYTES:
        # The peer would close the connection, and other messages in transit would
        # be lost.
        raise FrameMalformedError(
            f"message of {len(frame)} bytes exceeds the limit of {MAX_FRAME_BYTES}"
        )
    if len(frame) < COMPRESSION_THRESHOLD_BYTES:
        return frame
    return min(zlib.compress(frame, 1), frame, key=len)


def unpack_frame(frame: bytes) -> Any:
    """Decode a frame encoded by :func:`pack_frame`.

    :raises FrameMalformedError: if the frame is not a known message, or would
        decompress to more than :data:`MAX_FRAME_BYTES`.  Without this limit, a
        frame of a few kilobytes could exhaust the memory.
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
            f"compressed frame: truncated, or larger than {MAX_FRAME_BYTES} bytes"
        )
    return decode_message(plain)


@attrs.define(slots=True)
class MeshCounts:
    """Counters of the mesh's traffic since the start.

    Bytes are those of the encoded messages, without transport overhead.

    :ivar malformed: messages that could not be decoded.
    :ivar refused: messages answered with a :class:`FirhookError`.
    :ivar failed: messages whose handler raised another exception.
    :ivar overloaded: messages refused because too many were being handled.
    :ivar sent_by_kind: messages sent, by class name.
    :ivar sent_bytes_by_kind: bytes sent, by class name of the message.
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
    """Credentials provider that accepts only the cell's own public key."""

    def __init__(self, public: str) -> None:
        self._public = public.encode()

    def callback(self, domain: str, key: bytes) -> bool:
        """Return whether a client with this public key may connect."""
        return key == self._public


def _to_peer_error(exc: FirhookError) -> PeerError:
    return PeerError(exc.code, exc.detail)


class Mesh:
    """Exchanges messages with peers.

    :param public: the cell's CURVE public key, in Z85.
    :param secret: the matching secret key, in Z85.
    :param handler: called with each received message; returns the reply, an
        awaitable of the reply, or ``None`` for no reply.
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
        """Bind the server socket and return the bound address.

        :raises AddressUnusableError: if the address cannot be bound.
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
        """Connect to a peer unless already connected."""
        if address in self._dealers:
            return
        dealer = self._sync_ctx.socket(zmq.DEALER)
        self._configure(dealer)
        dealer.curve_serverkey = self._public
        dealer.reconnect_ivl = 100
        dealer.reconnect_ivl_max = 400
        dealer.connect_timeout = _CONNECT_TIMEOUT_MS
        try:
            dealer.connect(f"tcp://{address}")
        except zmq.ZMQError as exc:
            dealer.close()
            log("peer.address_unusable", level="warning", error=exc.strerror)
            return
        self._dealers[address] = LoopSocket(dealer, self._on_reply)
        self._dealers[address].start()

    def disconnect(self, address: str) -> None:
        """Close the connection to a peer, if any."""
        dealer = self._dealers.pop(address, None)
        if dealer is not None:
            dealer.close()

    @property
    def sent_bytes(self) -> int:
        """Bytes of the messages sent, without transport overhead."""
        return self.counts.sent_bytes

    @property
    def received_bytes(self) -> int:
        """Bytes of the messages received, without transport overhead."""
        return self.counts.received_bytes

    @property
    def addresses(self) -> set[str]:
        """The addresses of the connected peers."""
        return set(self._dealers)

    def send(self, address: str, msg: Any) -> None:
        """Send a one-way message; it may be lost if the peer is unreachable."""
        self._send(address, ONE_WAY_TAG, msg, pack_frame(msg))

    def broadcast(self, msg: Any, addresses: Iterable[str] | None = None) -> int:
        """Send a one-way message to several peers and return its size in bytes.

        :param addresses: the peers' addresses; ``None`` for all connected peers.
        """
        frame = pack_frame(msg)
        for address in self._dealers if addresses is None else addresses:
            self._send(address, ONE_WAY_TAG, msg, frame)
        return len(frame)

    async def request(self, address: str, msg: Any, timeout_s: float) -> Any:
        """Send a message and return the reply.

        :raises PeerUnreachableError: if there is no reply within ``timeout_s``
            seconds, or if the reply is an error.
        """
        self._request_count += 1
        tag = self._request_count.to_bytes(8, "big")
        fut = asyncio.get_running_loop().create_future()
        self._pending_requests[tag] = fut
        try:
            if not self._send(address, tag, msg, pack_frame(msg)):
                raise PeerUnreachableError(f"{address}: not connected", ran="no")
            async with asyncio.timeout(timeout_s):
                reply = await fut
        except TimeoutError as exc:
            raise PeerUnreachableError(
                f"{address}: no reply within {timeout_s:g} s"
            ) from exc
        finally:
            self._pending_requests.pop(tag, None)
        if isinstance(reply, PeerError):
            raise PeerUnreachableError(f"{address}: {reply.code}: {reply.detail}")
        return reply

    def _send(self, address: str, tag: bytes, msg: Any, frame: bytes) -> bool:
        dealer = self._dealers.get(address)
        if dealer is None or not dealer.send([tag, frame]):
            return False
        self._record_sent(msg, frame)
        return True

    def _record_sent(self, msg: Any, frame: bytes) -> None:
        """Count a message that a socket accepted."""
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
            # The request has timed out.  Tags are unique, so this late reply
            # cannot reach a later request.
            return
        try:
            fut.set_result(unpack_frame(frames[1]))
        except FrameMalformedError as exc:
            self.counts.malformed += 1
            # The request itself is not at fault, and the peer may have carried
            # it out.
            fut.set_exception(PeerUnreachableError(exc.detail))

    async def run(self) -> None:
        """Receive and handle messages until cancelled."""
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
            exc = OverloadedError("too many messages are being handled")
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
            exc = FrameMalformedError(
                f"{len(frames) - 1} frames instead of a tag and a message"
            )
            self._reply(frames[0], frames[1], _to_peer_error(exc))

    async def _reply_when_done(
        self, identity: bytes, tag: bytes, answer: Awaitable[Any]
    ) -> None:
        try:
            self._reply(identity, tag, await answer)
        except Exception as exc:
            self._reply(identity, tag, self._record_failure(exc))

    def _record_failure(self, exc: Exception) -> PeerError:
        """Count and log a failure to handle a message; return the error reply."""
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
