"""Ports for processes that will listen a while later."""

import secrets
import socket

#: Below 32768, from where Linux takes ports for outgoing connections.
_LISTENING_PORTS = range(12000, 32000)


class ReservedPorts:
    """Ports of this host that no other reservation gets.

    Each is bound by a socket that never listens, so that a process that sets
    ``SO_REUSEADDR``, as firhook does, can still listen there.
    """

    def __init__(self) -> None:
        self._socks: list[socket.socket] = []

    def take(self, count: int) -> tuple[int, ...]:
        """Return ports that are reserved until :meth:`close`."""
        return tuple(self._take() for _ in range(count))

    def _take(self) -> int:
        while True:
            sock = socket.socket()
            try:
                sock.bind(("127.0.0.1", secrets.choice(_LISTENING_PORTS)))
            except OSError:
                sock.close()
                continue
            # Set only now: two sockets that both had it could bind one port.
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            self._socks.append(sock)
            port: int = sock.getsockname()[1]
            return port

    def close(self) -> None:
        """Let go of all ports."""
        for sock in self._socks:
            sock.close()
