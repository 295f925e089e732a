"""A zmq socket that the event loop reads in batches of messages."""

import asyncio
from collections.abc import Callable

import zmq

from firhook.logs import log

#: Messages read before the event loop runs other work.
_MAX_BATCH_MESSAGES = 100


class LoopSocket:
    """Calls a function for each message received on a zmq socket.

    The sockets of :mod:`zmq.asyncio` need several iterations of the event loop
    for each message, which is most of the cost of a small message.

    :param sock: a socket of a synchronous context; closed by :meth:`close`.
    :param on_message: called with the frames of each message.
    """

    def __init__(
        self, sock: zmq.Socket[bytes], on_message: Callable[[list[bytes]], None]
    ) -> None:
        self.sock = sock
        self._on_message = on_message
        self._loop = asyncio.get_running_loop()
        self._reading = self._read_scheduled = False

    def start(self) -> None:
        """Start reading."""
        self._reading = True
        self._loop.add_reader(self.sock.fileno(), self._read)
        # The descriptor is edge-triggered: messages that arrived earlier are not
        # signalled again.
        self._schedule_read()

    def send(self, frames: list[bytes]) -> bool:
        """Send a message without blocking; return whether it was queued.

        A message is not queued if the socket's send queue is full.  A DEALER socket
        also queues messages while its peer is unreachable.  A ROUTER socket drops a
        message to an unknown peer, which still counts as queued.
        """
        try:
            self.sock.send_multipart(frames, zmq.NOBLOCK)
            queued = True
        except zmq.ZMQError:
            queued = False
        # An attempt to send clears the notification of a received message, which
        # is not repeated.
        if self._reading and self.sock.getsockopt(zmq.EVENTS) & zmq.POLLIN:
            self._schedule_read()
        return queued

    def _schedule_read(self) -> None:
        if not self._read_scheduled:
            self._read_scheduled = True
            self._loop.call_soon(self._read)

    def _read(self) -> None:
        self._read_scheduled = False
        for _ in range(_MAX_BATCH_MESSAGES):
            if not self._reading:
                return
            try:
                frames = self.sock.recv_multipart(zmq.NOBLOCK)
            except zmq.Again:
                return
            try:
                self._on_message(frames)
            except Exception as exc:
                log("peer.failed", level="error", error=repr(exc))
        self._schedule_read()

    def close(self) -> None:
        """Stop reading and close the socket."""
        if self._reading:
            self._reading = False
            self._loop.remove_reader(self.sock.fileno())
        self.sock.close()
