"""Structured logs: one JSON object a line, each with a stable event name."""

import logging
import sys
import time
from typing import TextIO

from pythonjsonlogger.json import JsonFormatter

from firhook._log_stream import NonBlockingStream

#: Events alone.  mode logs under the names of its services' modules, that each
#: starts and stops, which says nothing that the events do not say.
_LOGGER = logging.getLogger("firhook.events")
_stream: NonBlockingStream | None = None


def setup_logs(
    zone: str, instance: str, level: str = "info", stream: TextIO | None = None
) -> None:
    """Send all logs to standard error, or to a stream, as JSON lines.

    :param zone: availability zone, put on every line.
    :param instance: the instance's name, put on every line.
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


#: Lines of one event in a second.  A cell that starts and ends 100 tasks a second
#: stays below it; a loop of failures at one per call does not.
MAX_LINES_PER_SECOND = 400


class _EventRateLimiter:
    """Bounds the lines of each event, and counts what was left out.

    Load: something fails at every call, thousands of times a second.  Harm: each
    line costs tens of microseconds of the one loop, which then serves nobody, and
    fills the collector's disks with the same line.
    """

    def __init__(self) -> None:
        self._second = 0
        self._line_counts: dict[str, int] = {}

    def allows(self, event: str, now: float) -> bool:
        """Return whether a line may be written; say first what was left out."""
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
    :param fields: further members; ``code`` and ``request_id`` where known.
    """
    number = logging.getLevelName(level.upper())
    if _LOGGER.isEnabledFor(number) and _rate_limiter.allows(event, time.monotonic()):
        _LOGGER.log(number, event, extra=fields)


def flush_logs() -> None:
    """Hand on what a reader that stalled did not take, and say what it missed.

    To be called now and then: with nothing to log, nothing else would do it.
    """
    if _stream is None:
        return
    _stream.flush()
    unread = _stream.take_dropped_count()
    if unread:
        _LOGGER.warning("log.left_out", extra={"lines": {"unread": unread}})
