"""Log output to a reader that stalls or is gone."""

import os

from firhook._log_stream import MAX_PENDING_BYTES, NonBlockingStream

LINE = "x" * 199 + "\n"


class Pipe:
    """A pipe and a stream that writes to it."""

    def __init__(self):
        self.read_fd, write_fd = os.pipe()
        self.file = os.fdopen(write_fd, "w")
        self.stream = NonBlockingStream(self.file)

    def read(self):
        os.set_blocking(self.read_fd, False)
        data = b""
        while True:
            try:
                data += os.read(self.read_fd, 1 << 20)
            except BlockingIOError:
                return data.decode()

    def close(self):
        os.close(self.read_fd)
        self.file.close()


def test_stalled_reader_loses_lines_without_blocking_writer():
    """The log collector stalls while an instance continues to log.

    The instance must not block.  Dropped lines are counted; all others arrive
    complete and in order.
    """
    pipe = Pipe()
    count = 10 * MAX_PENDING_BYTES // len(LINE)
    for _ in range(count):
        pipe.stream.write(LINE)
    assert pipe.stream.take_dropped_count() == 0
    received = pipe.read()
    pipe.stream.flush()
    while more := pipe.read():
        received += more
        pipe.stream.flush()
    dropped = pipe.stream.take_dropped_count()
    assert dropped > 0
    assert received == LINE * (count - dropped)
    assert pipe.stream.take_dropped_count() == 0
    pipe.close()


def test_closed_reader_does_not_stop_writer():
    pipe = Pipe()
    os.close(pipe.read_fd)
    pipe.stream.write(LINE)
    pipe.stream.flush()
    pipe.file.close()
