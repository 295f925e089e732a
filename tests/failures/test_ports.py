"""Processes that want a port which another process has."""

import socket

from standins.model import ReservedPorts, _ports


def test_port_reserved_for_a_process_not_yet_listening_is_not_given_again(monkeypatch):
    """Two instances were given one port while the first was still starting."""
    monkeypatch.setattr(_ports, "_LISTENING_PORTS", range(31000, 31004))
    first, second = ReservedPorts(), ReservedPorts()
    try:
        taken = [*first.take(1), *second.take(1), *first.take(1)]
        assert len(set(taken)) == 3
        with socket.socket() as sock:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            sock.bind(("127.0.0.1", taken[0]))
            sock.listen()
    finally:
        first.close()
        second.close()
