"""Snapshots in chunks: split, found complete again, and used for a rebuild."""

import attrs

from firhook.model import SnapshotChunk

#: Characters of a state's text in one chunk, well under what a log takes.
CHUNK_CHARS = 60_000
#: Sets that may be partly there at once; more are left behind by instances
#: that died in the middle, and the oldest go.
MAX_OPEN_SETS = 4


@attrs.frozen(slots=True)
class Snapshot:
    """The whole text of a state as of an offset."""

    upto: int
    parts: int
    text: str


def split_snapshot(upto: int, text: str) -> tuple[SnapshotChunk, ...]:
    """Return a state's text as chunks for the log."""
    pieces = [text[i : i + CHUNK_CHARS] for i in range(0, len(text), CHUNK_CHARS)]
    return tuple(
        SnapshotChunk(upto, part, len(pieces), piece)
        for part, piece in enumerate(pieces)
    )


class ChunkAssembler:
    """Finds the sets of chunks that are complete.

    A set is complete only if every part of the same sender and the same
    offset is there.  Parts of two senders are never put together, since the
    order within a map may differ between them.

    :param keep: whether to keep the text; a follower that is up to date only
        wants to know that a set is complete.
    """

    def __init__(self, keep: bool) -> None:
        self._keep = keep
        self._open: dict[tuple[str, int, int], dict[int, str]] = {}

    def add(self, lane: str, chunk: SnapshotChunk) -> Snapshot | None:
        """Take in a chunk, and return the snapshot that it completes."""
        if not 0 <= chunk.part < chunk.parts or chunk.upto < 0:
            return None
        key = (lane, chunk.upto, chunk.parts)
        found = self._open.setdefault(key, {})
        found[chunk.part] = chunk.data if self._keep else ""
        if len(found) == chunk.parts:
            del self._open[key]
            text = "".join(found[part] for part in range(chunk.parts))
            return Snapshot(chunk.upto, chunk.parts, text)
        if len(self._open) > MAX_OPEN_SETS:
            del self._open[next(iter(self._open))]
        return None


class SnapshotFinder:
    """Looks through what the log kept for a snapshot to start from.

    The head of a trimmed log may hold the last parts of a set whose first
    have expired, and whole sets whose following records have; neither is of
    use.

    :param first: the earliest offset that the log keeps.
    """

    def __init__(self, first: int) -> None:
        self.next_offset = first
        self._first = first
        self._sets = ChunkAssembler(keep=True)

    def add(self, lane: str, chunk: SnapshotChunk) -> Snapshot | None:
        """Take in a chunk, and return a snapshot that can be started from."""
        snapshot = self._sets.add(lane, chunk)
        usable = snapshot is not None and snapshot.upto >= self._first
        return snapshot if usable else None
