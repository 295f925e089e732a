"""Listening sockets, without the imports needed to serve them."""

import socket

from firhook.errors import AddressUnusableError

#: Maximum number of connections waiting to be accepted.  Beyond it, the callers'
#: kernels retry after a second.
BACKLOG = 512


def open_listening_socket(host: str, port: int) -> socket.socket:
    """Open a non-blocking listening socket.

    Two processes that start at the same time can both bind a port while neither
    listens on it; the second call to ``listen`` then fails.

    :raises AddressUnusableError: if another process uses the port, or this host
        does not have the address.
    """
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.setblocking(False)
    try:
        sock.bind((host, port))
        sock.listen(BACKLOG)
    except OSError as exc:
        sock.close()
        raise AddressUnusableError(f"{host}:{port}: {exc.strerror}") from exc
    return sock
