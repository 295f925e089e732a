"""Reads a keyed topic of the platform."""

from firhook.errors import LogTrimmedError
from firhook.platform.store import Store, StoredRecord


class TopicReader:
    """Reads the newest record of each key first, and then the records that follow.

    :param wait_s: time for which the store may hold a read until a record arrives.
    """

    def __init__(self, store: Store, topic: str, wait_s: float) -> None:
        self._store = store
        self._topic = topic
        self._wait_s = wait_s
        self._next_offset: int | None = None

    @property
    def next_offset(self) -> int:
        """Offset before which every record was read; 0 before the first read."""
        return self._next_offset or 0

    async def read(self) -> tuple[tuple[StoredRecord, ...], bool]:
        """Return records, and whether these are the newest records of all keys.

        The store keeps only the newest record of each key for ever.  After a long
        disconnection, or when the store has dropped its history, all keys are read
        again.
        """
        if self._next_offset is not None:
            try:
                part = await self._store.read(
                    self._topic, 0, self._next_offset, self._wait_s
                )
            except LogTrimmedError:
                self._next_offset = None
            else:
                self._next_offset = part.next_offset
                return part.records, False
        newest = await self._store.read_newest(self._topic)
        self._next_offset = newest.end
        return newest.records, True
