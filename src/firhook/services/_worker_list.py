"""The workers that are registered in the platform's store."""

import asyncio
from collections.abc import Callable

from firhook.cell import WorkerEntry
from firhook.errors import FirhookError, LogTrimmedError
from firhook.logs import log
from firhook.platform.bodies import decode_worker
from firhook.platform.store import WORKER_TOPIC, Store

_WAIT_S = 1.0
#: Workers write about once in 1.5 s each, mostly nothing new.  News of a worker
#: that leaves is acted on within the two seconds that are allowed for it.
_GATHER_S = 0.25
_RETRY_S = 0.2


class WorkerList:
    """Follows the list.

    :param changed: called with a worker's name and its entry, ``None`` if it
        is no longer registered.
    """

    def __init__(
        self, store: Store, changed: Callable[[str, WorkerEntry | None], None]
    ) -> None:
        self._store = store
        self._changed = changed
        self._next_offset: int | None = None
        self._names: set[str] = set()

    async def run(self) -> None:
        """Follow until cancelled."""
        while True:
            try:
                await self._read()
            except LogTrimmedError:
                self._next_offset = None
            except FirhookError as exc:
                log("worker_list.retry", level="debug", error=repr(exc))
                await asyncio.sleep(_RETRY_S)

    async def _read(self) -> None:
        if self._next_offset is None:
            newest = await self._store.newest(WORKER_TOPIC)
            self._next_offset = newest.end
            for name in self._names - {r.key for r in newest.records}:
                self._take(name, None)
            records = newest.records
        else:
            part = await self._store.read(WORKER_TOPIC, 0, self._next_offset, _WAIT_S)
            records, self._next_offset = part.records, part.next_offset
        latest = {record.key: record.value for record in records}
        for name, value in latest.items():
            self._take(name, value)
        await asyncio.sleep(_GATHER_S)

    def _take(self, name: str, value: bytes | None) -> None:
        if value is None:
            self._names.discard(name)
            self._changed(name, None)
            return
        entry = decode_worker(name, value)
        if entry is not None:
            self._names.add(name)
            self._changed(name, entry)
