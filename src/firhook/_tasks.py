"""Helpers for tasks that are not awaited."""

import asyncio
from collections.abc import Callable
from typing import Any

from firhook.logs import log


def log_failure(
    event: str, *, level: str = "error", **fields: object
) -> Callable[[asyncio.Future[Any]], None]:
    """Return a done callback that logs the exception of a failed task.

    The event loop reports such an exception only when the task is garbage
    collected, and not at all if the task was shielded or gathered by one that was
    cancelled.

    :param event: stable dotted name of the log event.
    :param level: name of a standard logging level.
    :param fields: additional fields of the log line.
    """

    def log_if_failed(task: asyncio.Future[Any]) -> None:
        if not task.cancelled() and task.exception() is not None:
            log(event, level=level, error=repr(task.exception()), **fields)

    return log_if_failed
