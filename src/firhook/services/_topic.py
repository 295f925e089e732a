"""Reads a keyed topic of the platform."""

from firhook.clock import boot_time
from firhook.errors import LogTrimmedError
from firhook.platform.store import Store, StoredRecord


class TopicReader:
    """Reads the newest record of each key first, and then the records that follow.

    :param wait_s: time for which the store may hold a read until a record arrives.
    :ivar as_of: boot-clock time of which every record was read.  The store limits the
        size of an answer, so that one that ends before the end of the topic tells
        nothing of what follows it.
    """

    def __init__(self, store: Store, topic: str, wait_s: float) -> None:
        self._store = store
        self._topic = topic
        self._wait_s = wait_s
        self._next_offset: int | None = None
        self.as_of = float("-inf")
        # The end of the topic that reads have to reach, and when it was asked for.
        self._unreached: tuple[int, float] | None = None

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
        sent_at = boot_time()
        if self._next_offset is not None:
            try:
                part = await self._store.read(
                    self._topic, 0, self._next_offset, self._wait_s
                )
            except LogTrimmedError:
                self._next_offset = None
            else:
                self._next_offset = part.next_offset
                self._note_read(part.next_offset, part.end, sent_at)
                return part.records, False
        sent_at = boot_time()
        newest = await self._store.read_newest(self._topic)
        self._next_offset = newest.end
        self._note_read(newest.end, newest.end, sent_at)
        return newest.records, True

    def _note_read(self, next_offset: int, end: int, sent_at: float) -> None:
        if self._unreached is not None and next_offset >= self._unreached[0]:
            self.as_of, self._unreached = self._unreached[1], None
        if next_offset >= end:
            self.as_of, self._unreached = sent_at, None
        elif self._unreached is None:
            self._unreached = end, sent_at
