"""Tasks that nobody waits for."""

import asyncio
from collections.abc import Callable
from typing import Any

from firhook.logs import log


def log_failure(
    event: str, *, level: str = "error", **fields: object
) -> Callable[[asyncio.Future[Any]], None]:
    """Return a callback for a task's end that logs why it failed, if it did.

    The loop itself speaks of such a failure only once the task is forgotten, and
    not at all if whoever shielded or gathered it has left.

    :param event: stable dotted name.
    :param fields: further members of the line.
    """

    def log_if_failed(task: asyncio.Future[Any]) -> None:
        if not task.cancelled() and task.exception() is not None:
            log(event, level=level, error=repr(task.exception()), **fields)

    return log_if_failed
