"""Reserves ports for processes that start listening later."""

import secrets
import socket

#: Below 32768, where Linux begins the range for outgoing connections.
_LISTENING_PORTS = range(12000, 32000)


class ReservedPorts:
    """Ports of this host that are exclusive to this reservation.

    Each port is bound by a socket that never listens, so that a process that sets
    ``SO_REUSEADDR``, as firhook does, can still listen there.
    """

    def __init__(self) -> None:
        self._socks: list[socket.socket] = []

    def take(self, count: int) -> tuple[int, ...]:
        """Reserve ports until :meth:`close` and return them."""
        return tuple(self._take() for _ in range(count))

    def _take(self) -> int:
        while True:
            sock = socket.socket()
            try:
                sock.bind(("127.0.0.1", secrets.choice(_LISTENING_PORTS)))
            except OSError:
                sock.close()
                continue
            # Set after the bind: two sockets with the option could share a port.
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            self._socks.append(sock)
            port: int = sock.getsockname()[1]
            return port

    def close(self) -> None:
        """Release all ports."""
        for sock in self._socks:
            sock.close()
