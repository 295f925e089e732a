"""Listening sockets, without what is needed to serve them."""

import socket

from firhook.errors import AddressUnusableError

#: Connections that may wait to be accepted; a burst beyond it is retried by
#: the callers' kernels after a second.
BACKLOG = 512


def open_listening_socket(host: str, port: int) -> socket.socket:
    """Return a socket that listens, not blocking.

    Two processes that start together can both bind a port on which nobody
    listens yet; the second one's listening fails then.

    :raises AddressUnusableError: if another process has the port, or this host
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
