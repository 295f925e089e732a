"""Folds a wave of like calls into few records."""

import asyncio
from collections.abc import Awaitable, Callable

from firhook.tasks import log_failure

#: How long the first of a wave waits for others.
WINDOW_S = 0.1
#: Names in one record, about 20 kB.
MAX_FOLDED = 500


class Folder:
    """Collects names for a moment and hands them on together.

    Cancellations arrive in waves, when a team stops a season's planning with
    one script.  A record for each would use up the appends that starts need;
    one would notice urgent work that waits behind them.

    :param send: takes the names of one wave.
    """

    def __init__(self, send: Callable[[tuple[str, ...]], Awaitable[None]]) -> None:
        self._send = send
        self._names: list[str] = []
        self._wave: asyncio.Future[None] | None = None

    async def add(self, name: str) -> None:
        """Hand a name on with its wave; the wave's error reaches every caller."""
        if self._wave is None or len(self._names) >= MAX_FOLDED:
            self._names = []
            self._wave = asyncio.ensure_future(self._carry(self._names))
            self._wave.add_done_callback(log_failure("wave.failed", level="warning"))
        self._names.append(name)
        await asyncio.shield(self._wave)

    async def _carry(self, names: list[str]) -> None:
        await asyncio.sleep(WINDOW_S)
        if self._names is names:
            self._wave = None
        await self._send(tuple(dict.fromkeys(names)))
