"""Logs whose reader stalls."""

import os

from firhook._log_stream import MAX_PENDING_BYTES, NonBlockingStream

LINE = "x" * 199 + "\n"


class Pipe:
    """A pipe, and the stream that writes to it."""

    def __init__(self):
        self.reading, writing = os.pipe()
        self.file = os.fdopen(writing, "w")
        self.stream = NonBlockingStream(self.file)

    def read(self):
        os.set_blocking(self.reading, False)
        found = b""
        while True:
            try:
                found += os.read(self.reading, 1 << 20)
            except BlockingIOError:
                return found.decode()

    def close(self):
        os.close(self.reading)
        self.file.close()


def test_reader_that_stalls_costs_lines_and_not_the_writer():
    """The collector of the logs hangs while an instance goes on logging.

    The instance must not hang with it; what was left out is counted, and what
    was kept arrives whole and in order.
    """
    pipe = Pipe()
    count = 10 * MAX_PENDING_BYTES // len(LINE)
    for _ in range(count):
        pipe.stream.write(LINE)
    assert pipe.stream.take_dropped_count() == 0
    arrived = pipe.read()
    pipe.stream.flush()
    while more := pipe.read():
        arrived += more
        pipe.stream.flush()
    dropped = pipe.stream.take_dropped_count()
    assert dropped > 0
    assert arrived == LINE * (count - dropped)
    assert pipe.stream.take_dropped_count() == 0
    pipe.close()


def test_reader_that_is_gone_does_not_end_the_writer():
    pipe = Pipe()
    os.close(pipe.reading)
    pipe.stream.write(LINE)
    pipe.stream.flush()
    pipe.file.close()
