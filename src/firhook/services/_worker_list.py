"""Reads the list of workers that are registered in the platform's store."""

import asyncio
from collections.abc import Callable

from firhook.cell import WorkerEntry
from firhook.errors import FirhookError
from firhook.logs import log
from firhook.platform.bodies import decode_worker
from firhook.platform.store import WORKER_TOPIC, Store
from firhook.services._topic import TopicReader

_LONG_POLL_S = 1.0
#: The delay after each read.  Each worker writes about every 1.5 s, mostly without a
#: change.  A worker that leaves must be noticed within two seconds.
_BATCH_DELAY_S = 0.25
_RETRY_S = 0.2


class WorkerList:
    """Follows the worker list.

    :param on_change: called with a worker's name and its entry, which is ``None``
        if the worker is no longer registered.
    """

    def __init__(
        self, store: Store, on_change: Callable[[str, WorkerEntry | None], None]
    ) -> None:
        self._topic = TopicReader(store, WORKER_TOPIC, _LONG_POLL_S)
        self._on_change = on_change
        self._names: set[str] = set()

    async def run(self) -> None:
        """Follow the list until cancelled."""
        while True:
            try:
                await self._read()
            except FirhookError as exc:
                log("worker_list.retry", level="debug", error=repr(exc))
                await asyncio.sleep(_RETRY_S)
            except Exception as exc:
                # If the reading ended here, the lead would place work on workers that
                # left, and none on new ones.
                log("worker_list.failed", level="error", error=repr(exc)[:200])
                await asyncio.sleep(_RETRY_S)

    async def _read(self) -> None:
        records, is_complete = await self._topic.read()
        values: dict[str, list[bytes | None]] = {}
        for record in records:
            values.setdefault(record.key, []).append(record.value)
        if is_complete:
            for name in self._names - values.keys():
                self._apply(name, None)
        for name, written in values.items():
            self._apply_newest(name, written)
        await asyncio.sleep(_BATCH_DELAY_S)

    def _apply_newest(self, name: str, values: list[bytes | None]) -> None:
        """Apply the newest of a worker's entries that can be read.

        Another writer may have written under the worker's name.

        :param values: the entries in the order of writing.
        """
        for value in reversed(values):
            entry = None if value is None else decode_worker(name, value)
            if value is None or entry is not None:
                self._apply(name, entry)
                return

    def _apply(self, name: str, entry: WorkerEntry | None) -> None:
        if entry is None:
            self._names.discard(name)
        else:
            self._names.add(name)
        self._on_change(name, entry)
