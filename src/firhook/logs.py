"""Structured logs: one JSON object per line, with a stable event name."""

import logging
import sys
import time
from typing import TextIO

from pythonjsonlogger.json import JsonFormatter

from firhook._log_stream import NonBlockingStream

#: The only logger set to the configured level.  The library ``mode`` logs the start
#: and stop of each service under the name of its module, which repeats the events.
_LOGGER = logging.getLogger("firhook.events")
_stream: NonBlockingStream | None = None


def setup_logs(
    zone: str, instance: str, level: str = "info", stream: TextIO | None = None
) -> None:
    """Write all logs as JSON lines to ``stream``, by default standard error.

    :param zone: availability zone, added to every line.
    :param instance: the instance's name, added to every line.
    :param level: the lowest level of events that are logged.
    """
    global _stream
    _stream = NonBlockingStream(stream or sys.stderr)
    handler = logging.StreamHandler(_stream)
    handler.setFormatter(
        JsonFormatter(
            "%(levelname)s %(message)s",
            timestamp=True,
            rename_fields={"levelname": "level", "message": "event"},
            static_fields={"zone": zone, "instance": instance},
        )
    )
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(logging.WARNING)
    logging.getLogger("firhook").setLevel(logging.WARNING)
    _LOGGER.setLevel(level.upper())


#: Limit per event.  A cell that starts and ends 100 tasks per second stays below
#: it; a failure that repeats at every call does not.
MAX_LINES_PER_SECOND = 400


class _EventRateLimiter:
    """Limits the lines per second of each event and counts the dropped ones.

    A failure at every call can occur thousands of times per second.  Each line
    takes tens of microseconds of the event loop, which would leave no time for
    requests, and the same line would fill the log collector's disks.
    """

    def __init__(self) -> None:
        self._second = 0
        self._line_counts: dict[str, int] = {}

    def allows(self, event: str, now: float) -> bool:
        """Return whether a line may be written.

        Logs the number of dropped lines of a past second first.
        """
        if int(now) != self._second:
            dropped = {
                name: count - MAX_LINES_PER_SECOND
                for name, count in self._line_counts.items()
                if count > MAX_LINES_PER_SECOND
            }
            self._second, self._line_counts = int(now), {}
            if dropped:
                _LOGGER.warning("log.left_out", extra={"lines": dropped})
        count = self._line_counts.get(event, 0) + 1
        self._line_counts[event] = count
        return count <= MAX_LINES_PER_SECOND


_rate_limiter = _EventRateLimiter()


def log(event: str, *, level: str = "info", **fields: object) -> None:
    """Log an event.

    :param event: stable dotted name such as ``config.applied``.
    :param level: name of a standard logging level.
    :param fields: additional fields; ``code`` and ``request_id`` where known.
    """
    number = logging.getLevelName(level.upper())
    if _LOGGER.isEnabledFor(number) and _rate_limiter.allows(event, time.monotonic()):
        _LOGGER.log(number, event, extra=fields)


def flush_logs() -> None:
    """Write buffered output and report the lines that were dropped.

    Must be called periodically, since otherwise only the next logged line writes
    what a stalled reader did not accept.
    """
    if _stream is None:
        return
    _stream.flush()
    unread = _stream.take_dropped_count()
    if unread:
        _LOGGER.warning("log.left_out", extra={"lines": {"unread": unread}})
