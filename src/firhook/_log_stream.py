"""A stream for logs that never blocks its writer."""

import os
import stat
from collections import deque
from typing import TextIO

#: What waits for a reader that stalls.  A pipe holds 64 KiB more; at the usual
#: 100 lines of 200 bytes a second this is some 13 seconds.
MAX_PENDING_BYTES = 256 * 1024


class NonBlockingStream:
    """Writes lines to a pipe as far as its reader takes them.

    Load: whoever collects the logs stalls, and the pipe fills up.  Harm: the next
    line blocks the one loop in the middle of whatever it does.  The instance
    answers nobody any more, and nothing tells why, since its lines are what is
    stuck.  So what the pipe does not take waits here, up to a bound; lines beyond
    it are left out and counted.

    :param stream: where lines go; a file or a terminal is written to as it is.
    """

    def __init__(self, stream: TextIO) -> None:
        self._stream = stream
        self._fd = _pipe_descriptor(stream)
        self._pending: deque[bytes] = deque()
        self._pending_bytes = 0
        self._dropped_count = 0
        if self._fd is not None:
            os.set_blocking(self._fd, False)

    def take_dropped_count(self) -> int:
        """Return how many lines were left out, once there is room to say so."""
        if self._pending:
            return 0
        count, self._dropped_count = self._dropped_count, 0
        return count

    def write(self, text: str) -> None:
        """Write a line, or keep it for later, or leave it out."""
        if self._fd is None:
            self._stream.write(text)
            return
        self._flush_pending(self._fd)
        line = text.encode("utf-8", "backslashreplace")
        if self._pending_bytes + len(line) > MAX_PENDING_BYTES:
            self._dropped_count += 1
            return
        self._pending.append(line)
        self._pending_bytes += len(line)
        self._flush_pending(self._fd)

    def flush(self) -> None:
        """Hand on what the reader takes now."""
        if self._fd is None:
            self._stream.flush()
        else:
            self._flush_pending(self._fd)

    def _flush_pending(self, fd: int) -> None:
        while self._pending:
            line = self._pending[0]
            try:
                written = os.write(fd, line)
            except BlockingIOError:
                return
            except OSError:
                # Nobody will ever read; there is nowhere to say so.
                written = len(line)
            self._pending_bytes -= written
            if written == len(line):
                self._pending.popleft()
            else:
                self._pending[0] = line[written:]


def _pipe_descriptor(stream: TextIO) -> int | None:
    """Return the descriptor of a stream that is a pipe or a socket."""
    try:
        fd = stream.fileno()
        mode = os.fstat(fd).st_mode
    except (OSError, ValueError, AttributeError):
        return None
    return fd if stat.S_ISFIFO(mode) or stat.S_ISSOCK(mode) else None
