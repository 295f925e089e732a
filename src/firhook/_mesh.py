"""Messages between instances over zmq with CURVE.

Each instance binds one ROUTER socket and connects one DEALER socket to each
peer.  All instances of a cell share one CURVE key pair from their settings,
and a client that shows another public key is refused before it can send.
"""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from typing import Any

import zmq
import zmq.asyncio
from zmq.auth.asyncio import AsyncioAuthenticator

from firhook._settings import Address
from firhook.errors import FirhookError, FrameMalformedError, PeerUnreachableError
from firhook.logs import log
from firhook.model import PeerError, decode_message, encode_message

#: Larger frames are refused by libzmq, so that no peer can fill the memory.
MAX_FRAME_BYTES = 4 << 20
#: Messages that wait for a peer that is away; older gossip is of no use.
QUEUED_MESSAGES = 64
ONE_WAY = b""


class _Allowed:
    """Lets in the cell's own public key only."""

    def __init__(self, public: str) -> None:
        self._public = public.encode()

    def callback(self, domain: str, key: bytes) -> bool:
        """Return whether a client with this key may connect."""
        return key == self._public


class Mesh:
    """Sockets to and from all peers.

    :param public: the cell's CURVE public key, in Z85.
    :param secret: its secret key.
    :param serve: handles a message and returns the answer to it, if any.
    """

    def __init__(
        self, public: str, secret: str, serve: Callable[[Any], Awaitable[Any]]
    ) -> None:
        self._public = public.encode()
        self._secret = secret.encode()
        self._serve = serve
        self._ctx = zmq.asyncio.Context()
        self._auth = AsyncioAuthenticator(self._ctx)
        self._router: zmq.asyncio.Socket | None = None
        self._dealers: dict[str, zmq.asyncio.Socket] = {}
        self._readers: dict[str, asyncio.Task[None]] = {}
        self._asked: dict[bytes, asyncio.Future[Any]] = {}
        self._serving: set[asyncio.Task[None]] = set()
        self._count = 0
        self.sent_bytes = 0
        self.received_bytes = 0

    def bind(self, address: Address) -> Address:
        """Bind the server socket and return the address it got."""
        self._auth.start()
        self._auth.configure_curve_callback(
            domain="*", credentials_provider=_Allowed(self._public.decode())
        )
        router = self._ctx.socket(zmq.ROUTER)
        self._configure(router)
        router.curve_server = True
        router.bind(f"tcp://{address.host}:{address.port or '*'}")
        endpoint = router.getsockopt_string(zmq.LAST_ENDPOINT)
        self._router = router
        return Address(address.host, int(endpoint.rpartition(":")[2]))

    def _configure(self, sock: zmq.asyncio.Socket) -> None:
        sock.linger = 0
        sock.maxmsgsize = MAX_FRAME_BYTES
        sock.sndhwm = QUEUED_MESSAGES
        sock.curve_publickey = self._public
        sock.curve_secretkey = self._secret

    def connect(self, address: str) -> None:
        """Connect to a peer, unless connected already."""
        if address in self._dealers:
            return
        dealer = self._ctx.socket(zmq.DEALER)
        self._configure(dealer)
        dealer.curve_serverkey = self._public
        dealer.reconnect_ivl = 100
        dealer.reconnect_ivl_max = 2000
        dealer.connect(f"tcp://{address}")
        self._dealers[address] = dealer
        self._readers[address] = asyncio.create_task(self._read_answers(dealer))

    def disconnect(self, address: str) -> None:
        """Forget a peer that the platform no longer lists."""
        dealer = self._dealers.pop(address, None)
        if dealer is not None:
            self._readers.pop(address).cancel()
            dealer.close()

    @property
    def addresses(self) -> set[str]:
        """The peers connected to."""
        return set(self._dealers)

    async def tell(self, address: str, msg: Any) -> None:
        """Send a one-way message; it is dropped if the peer is away."""
        await self._send(address, ONE_WAY, encode_message(msg))

    async def ask(self, address: str, msg: Any, timeout_s: float) -> Any:
        """Send a message and return the answer.

        :raises PeerUnreachableError: if none came in time, or it was an error.
        """
        self._count += 1
        tag = self._count.to_bytes(8, "big")
        fut = asyncio.get_running_loop().create_future()
        self._asked[tag] = fut
        try:
            if not await self._send(address, tag, encode_message(msg)):
                raise PeerUnreachableError(f"{address}: not connected", ran="no")
            answer = await asyncio.wait_for(fut, timeout_s)
        except TimeoutError as exc:
            raise PeerUnreachableError(
                f"{address}: no answer in {timeout_s:g} s"
            ) from exc
        finally:
            self._asked.pop(tag, None)
        if isinstance(answer, PeerError):
            raise PeerUnreachableError(f"{address}: {answer.code}: {answer.detail}")
        return answer

    async def _send(self, address: str, tag: bytes, frame: bytes) -> bool:
        dealer = self._dealers.get(address)
        if dealer is None:
            return False
        try:
            await dealer.send_multipart([tag, frame], flags=zmq.NOBLOCK)
        except zmq.ZMQError:
            return False
        self.sent_bytes += len(frame)
        return True

    async def _read_answers(self, dealer: zmq.asyncio.Socket) -> None:
        while True:
            frames = await dealer.recv_multipart()
            if len(frames) != 2:
                continue
            self.received_bytes += len(frames[1])
            fut = self._asked.get(frames[0])
            if fut is None or fut.done():
                # The asker gave up; the tag keeps this late answer from
                # reaching whoever asks next.
                continue
            try:
                fut.set_result(decode_message(frames[1]))
            except FrameMalformedError as exc:
                fut.set_exception(exc)

    async def run(self) -> None:
        """Serve messages until cancelled."""
        assert self._router is not None
        while True:
            frames = await self._router.recv_multipart()
            if len(frames) != 3:
                log("peer.malformed", level="warning", frames=len(frames))
                continue
            self.received_bytes += len(frames[2])
            task = asyncio.create_task(self._serve_one(*frames))
            self._serving.add(task)
            task.add_done_callback(self._serving.discard)

    async def _serve_one(self, identity: bytes, tag: bytes, frame: bytes) -> None:
        try:
            answer = await self._serve(decode_message(frame))
        except FirhookError as exc:
            log("peer.refused", level="warning", code=exc.code, detail=exc.detail)
            answer = PeerError(exc.code, exc.detail)
        except Exception as exc:
            log("peer.failed", level="error", error=repr(exc))
            answer = PeerError("internal", repr(exc))
        if tag == ONE_WAY or answer is None or self._router is None:
            return
        reply = encode_message(answer)
        self.sent_bytes += len(reply)
        with contextlib.suppress(zmq.ZMQError):
            await self._router.send_multipart([identity, tag, reply])

    def close(self) -> None:
        """Close all sockets."""
        for address in list(self._dealers):
            self.disconnect(address)
        for task in self._serving:
            task.cancel()
        if self._router is not None:
            self._router.close()
            self._router = None
        self._auth.stop()
        self._ctx.term()
