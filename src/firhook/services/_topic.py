"""Reading on in a keyed topic of the platform."""

from firhook.errors import LogTrimmedError
from firhook.platform.store import Store, StoredRecord


class TopicReader:
    """Reads the newest record of each key, and then what is added.

    :param wait_s: how long the store may wait with its answer for a record.
    """

    def __init__(self, store: Store, topic: str, wait_s: float) -> None:
        self._store = store
        self._topic = topic
        self._wait_s = wait_s
        self._next_offset: int | None = None

    async def read(self) -> tuple[tuple[StoredRecord, ...], bool]:
        """Return records, and whether they are all there are.

        Only the newest record of each key is kept for good; after a long cut,
        or when the store has forgotten its history, all are read anew.
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
