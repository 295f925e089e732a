"""A log stream that never blocks its writer."""

import os
import stat
from collections import deque
from typing import TextIO

#: Buffer for a reader that stalls.  A pipe holds another 64 KiB; at the usual 100
#: lines of 200 bytes per second the buffer lasts some 13 seconds.
MAX_PENDING_BYTES = 256 * 1024


class NonBlockingStream:
    """Writes lines to a pipe or socket without blocking.

    If the log collector stalls, the pipe fills up.  A blocking write would then
    stop the event loop: the instance would answer no request, and the log could
    not show why.  Output that the pipe does not accept is buffered here, up to
    :data:`MAX_PENDING_BYTES`; further lines are dropped and counted.

    :param stream: the output; a file or a terminal is written to directly.
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
        """Return the number of dropped lines and reset it.

        Returns 0 while lines are pending, as a line that reports the number might
        be dropped too.
        """
        if self._pending:
            return 0
        count, self._dropped_count = self._dropped_count, 0
        return count

    def write(self, text: str) -> None:
        """Write a line, buffer it, or drop it if the buffer is full."""
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
        """Write as much buffered output as the reader accepts now."""
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
                # The reader is gone, so the error cannot be reported.
                written = len(line)
            self._pending_bytes -= written
            if written == len(line):
                self._pending.popleft()
            else:
                self._pending[0] = line[written:]


def _pipe_descriptor(stream: TextIO) -> int | None:
    """Return the descriptor of a pipe or socket; ``None`` for other streams."""
    try:
        fd = stream.fileno()
        mode = os.fstat(fd).st_mode
    except (OSError, ValueError, AttributeError):
        return None
    return fd if stat.S_ISFIFO(mode) or stat.S_ISSOCK(mode) else None
