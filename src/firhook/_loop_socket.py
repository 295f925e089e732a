"""A zmq socket that the event loop reads, several messages at a time."""

import asyncio
from collections.abc import Callable

import zmq

from firhook.logs import log

#: Messages taken before other work of the loop has its turn.
_MAX_BATCH_MESSAGES = 100


class LoopSocket:
    """Hands the messages of a zmq socket to a function as they come.

    The sockets of :mod:`zmq.asyncio` take several turns of the loop for each
    message, which is most of what a small message costs.

    :param sock: a socket of a plain context; it is closed with this one.
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
        """Begin to read."""
        self._reading = True
        self._loop.add_reader(self.sock.fileno(), self._read)
        # What came before is not signalled any more.
        self._schedule_read()

    def send(self, frames: list[bytes]) -> bool:
        """Send a message; return whether it was taken.

        It is not taken if as many as the socket may hold wait for the peer, or
        if the peer is not connected.
        """
        try:
            self.sock.send_multipart(frames, zmq.NOBLOCK)
            taken = True
        except zmq.ZMQError:
            taken = False
        # Trying to send takes the signal that a message came, which is given only
        # once.
        if self._reading and self.sock.getsockopt(zmq.EVENTS) & zmq.POLLIN:
            self._schedule_read()
        return taken

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
