"""Folds a wave of like calls into few records."""

import asyncio
from collections.abc import Awaitable, Callable

from firhook.tasks import log_failure

#: How long the first of a wave waits for others.
BATCH_WINDOW_S = 0.1
#: Names in one record, about 20 kB.
MAX_BATCH_SIZE = 500


class Batcher:
    """Collects names for a moment and hands them on together.

    Cancellations arrive in waves, when a team stops a season's planning with
    one script.  A record for each would use up the appends that starts need;
    one would notice urgent work that waits behind them.

    :param send: takes the names of one wave.
    """

    def __init__(self, send: Callable[[tuple[str, ...]], Awaitable[None]]) -> None:
        self._send = send
        self._names: list[str] = []
        self._batch: asyncio.Future[None] | None = None

    async def add(self, name: str) -> None:
        """Hand a name on with its wave; the wave's error reaches every caller."""
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
