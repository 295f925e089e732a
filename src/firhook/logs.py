"""Structured logs: one JSON object a line, each with a stable event name."""

import logging
import sys
from typing import TextIO

from pythonjsonlogger.json import JsonFormatter

#: Events alone.  mode logs under the names of its services' modules, that each
#: starts and stops, which says nothing that the events do not say.
_LOGGER = logging.getLogger("firhook.events")


def setup_logs(
    zone: str, instance: str, level: str = "info", stream: TextIO | None = None
) -> None:
    """Send all logs to standard error, or to a stream, as JSON lines.

    :param zone: availability zone, put on every line.
    :param instance: the instance's name, put on every line.
    """
    handler = logging.StreamHandler(stream or sys.stderr)
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


def log(event: str, *, level: str = "info", **fields: object) -> None:
    """Log an event.

    :param event: stable dotted name such as ``config.applied``.
    :param fields: further members; ``code`` and ``request_id`` where known.
    """
    _LOGGER.log(logging.getLevelName(level.upper()), event, extra=fields)
