"""Snapshots in chunks: splitting, reassembly and the search for a rebuild."""

import attrs

from firhook.model import SnapshotChunk

#: Characters of a state's text per chunk, well below the log's record limit.
CHUNK_CHARS = 60_000
#: Maximum number of incomplete sets.  Instances that die while they write leave
#: incomplete sets behind, and the oldest are dropped.
MAX_INCOMPLETE_SETS = 4


@attrs.frozen(slots=True)
class Snapshot:
    """The full text of a state as of an offset."""

    upto: int
    parts: int
    text: str


def split_snapshot(upto: int, text: str) -> tuple[SnapshotChunk, ...]:
    """Split a state's text into chunks for the log."""
    pieces = [text[i : i + CHUNK_CHARS] for i in range(0, len(text), CHUNK_CHARS)]
    return tuple(
        SnapshotChunk(upto, part, len(pieces), piece)
        for part, piece in enumerate(pieces)
    )


class ChunkAssembler:
    """Assembles complete sets of chunks.

    A set is complete only if every part of the same sender and offset is present.
    Parts of different senders are never combined, since the order within a map may
    differ between them.

    :param keep: whether to keep the text; a follower that is up to date only needs
        to know that a set is complete.
    """

    def __init__(self, keep: bool) -> None:
        self._keep = keep
        self._incomplete: dict[tuple[str, int, int], dict[int, str]] = {}

    def add(self, lane: str, chunk: SnapshotChunk) -> Snapshot | None:
        """Add a chunk and return the snapshot that it completes, if any."""
        if not 0 <= chunk.part < chunk.parts or chunk.upto < 0:
            return None
        key = (lane, chunk.upto, chunk.parts)
        found = self._incomplete.setdefault(key, {})
        found[chunk.part] = chunk.data if self._keep else ""
        if len(found) == chunk.parts:
            del self._incomplete[key]
            text = "".join(found[part] for part in range(chunk.parts))
            return Snapshot(chunk.upto, chunk.parts, text)
        if len(self._incomplete) > MAX_INCOMPLETE_SETS:
            del self._incomplete[next(iter(self._incomplete))]
        return None


class SnapshotFinder:
    """Searches the retained part of the log for a snapshot to start from.

    The head of a trimmed log may hold the last parts of a set whose first parts
    have expired, and complete sets whose following records have expired.  Neither
    is usable.

    :param first: earliest offset that the log retains.
    :ivar next_offset: offset of the record to read next.
    """

    def __init__(self, first: int) -> None:
        self.next_offset = first
        self._first_offset = first
        self._assembler = ChunkAssembler(keep=True)

    def add(self, lane: str, chunk: SnapshotChunk) -> Snapshot | None:
        """Add a chunk and return a usable snapshot if it completes one."""
        snapshot = self._assembler.add(lane, chunk)
        usable = snapshot is not None and snapshot.upto >= self._first_offset
        return snapshot if usable else None
