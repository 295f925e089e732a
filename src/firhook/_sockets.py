"""Listening sockets, without what is needed to serve them."""

import socket

#: Connections that may wait to be accepted; a burst beyond it is retried by
#: the callers' kernels after a second.
BACKLOG = 512


def bound_socket(host: str, port: int) -> socket.socket:
    """Return a socket that is bound and ready to listen.

    :raises OSError: if somebody else has the port.
    """
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.setblocking(False)
    sock.bind((host, port))
    return sock
