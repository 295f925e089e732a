"""What an instance does before most of it is imported."""

import signal
import sys
from pathlib import Path
from socket import socket
from types import FrameType

from firhook._sockets import open_listening_socket
from firhook.errors import AddressUnusableError
from firhook.platform.early import callers_address


class EarlyStart:
    """Lets callers connect, and takes note of a request to stop.

    After a loss of power all callers come at once, and on a machine with half a
    core the imports take most of a second.  Each would be turned away meanwhile,
    and some would have no try left; connected, they wait and are served.  A process
    that is told to stop in that time must not end by the signal, or it would cut
    those who wait.

    :ivar listener: the socket for callers; ``None`` if it could not be bound.
    :ivar stop_requested: whether the process was told to stop.
    """

    def __init__(self, settings: Path) -> None:
        self.stop_requested = False
        signal.signal(signal.SIGTERM, self._on_signal)
        # It tells that the settings changed, and they are not read yet.
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
            # Tried again, and told as the reason of a failed start, by who serves.
            print(exc, file=sys.stderr)
            return None
