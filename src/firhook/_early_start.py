"""Startup steps that run before most of an instance's modules are imported."""

import os
import signal
import sys
from pathlib import Path
from socket import socket
from types import FrameType

from firhook._sockets import open_listening_socket
from firhook.errors import AddressUnusableError
from firhook.platform.early import callers_address


def skip_certificate_stores() -> None:
    """Keep OpenSSL from loading the system's CA certificates.

    aiohttp creates two TLS contexts when it is imported, each of which loads all
    certificates.  That takes a fifth of the time of all imports, in which a starting
    instance serves nobody, and no connection uses TLS.
    """
    os.environ["SSL_CERT_FILE"] = os.environ["SSL_CERT_DIR"] = os.devnull


class EarlyStart:
    """Opens the listening socket for callers and records a request to stop.

    After a power failure all callers reconnect at once, and the imports take most
    of a second on a machine with half a core.  Without a listening socket, callers
    would be refused during that time, and some would run out of retries; once
    connected, they wait and are served.  SIGTERM must not end the process during
    the imports, because this would reset the waiting connections.

    :ivar listener: the socket for callers; ``None`` if it could not be opened.
    :ivar stop_requested: whether the process has received SIGTERM.
    """

    def __init__(self, settings: Path) -> None:
        self.stop_requested = False
        signal.signal(signal.SIGTERM, self._on_signal)
        # SIGHUP announces changed settings, which have not been read yet.
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
        self.listener = self._listen(settings)

    def _on_signal(self, number: int, frame: FrameType | None) -> None:
        self.stop_requested = True

    @staticmethod
    def _listen(settings: Path) -> socket | None:
        address = callers_address(settings)
        if address is None:
            return None
        try:
            return open_listening_socket(*address)
        except AddressUnusableError as exc:
            # The callers service tries again and reports a failure to start.
            print(exc, file=sys.stderr)
            return None
