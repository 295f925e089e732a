"""Batches calls that arrive together into a few records."""

import asyncio
from collections.abc import Awaitable, Callable

from firhook.tasks import log_failure

#: How long the first call of a batch waits for others.
BATCH_WINDOW_S = 0.1
#: Maximum number of names in one record, about 20 kB.
MAX_BATCH_SIZE = 500


class Batcher:
    """Collects names for ``BATCH_WINDOW_S`` and passes them on together.

    A script that stops all of a team's work cancels many jobs at once.  With a
    record for each, the cancellations would use up the append budget, and the
    start of urgent work would be delayed behind them.

    :param send: called with the distinct names of one batch.
    """

    def __init__(self, send: Callable[[tuple[str, ...]], Awaitable[None]]) -> None:
        self._send = send
        self._names: list[str] = []
        self._batch: asyncio.Future[None] | None = None

    async def add(self, name: str) -> None:
        """Add a name and wait until its batch is sent.

        If sending fails, every caller of the batch gets the error.
        """
        if self._batch is None or len(self._names) >= MAX_BATCH_SIZE:
            self._names = []
            self._batch = asyncio.ensure_future(self._flush(self._names))
            self._batch.add_done_callback(log_failure("wave.failed", level="warning"))
        self._names.append(name)
        await asyncio.shield(self._batch)

    async def _flush(self, names: list[str]) -> None:
        await asyncio.sleep(BATCH_WINDOW_S)
        if self._names is names:
            self._batch = None
        await self._send(tuple(dict.fromkeys(names)))
