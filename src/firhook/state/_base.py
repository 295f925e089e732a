"""Base class of the states of all streams."""

from abc import ABC, abstractmethod
from typing import Any

import msgspec

from firhook.errors import RecordMalformedError
from firhook.model import Envelope, Marker, SnapshotChunk, Verdict
from firhook.state._lanes import LaneSequences
from firhook.state._snapshots import ChunkAssembler


class StreamState(ABC):
    """State of one stream: a function of its records alone.

    :ivar next_offset: offset of the record to apply next.
    :ivar lanes: last applied sequence number of each lane.
    :ivar snapshot_offset: offset of the last complete snapshot in the log.
    :ivar snapshot_parts: number of chunks of that snapshot.
    :ivar fault: error of the last record that was ignored because applying it
        failed; empty if there is none.
    """

    def __init__(self) -> None:
        self.next_offset = 0
        self.lanes = LaneSequences()
        self.snapshot_offset = 0
        self.snapshot_parts = 0
        self.fault = ""
        self._chunks = ChunkAssembler(keep=False)

    def apply(self, offset: int, envelope: Envelope) -> Verdict:
        """Apply a record and return the verdict, which is the same at every reader."""
        self.next_offset = offset + 1
        if not self.lanes.admit(envelope.lane, envelope.seq):
            return Verdict.REPEATED
        if isinstance(envelope.body, Marker):
            return Verdict.IGNORED
        if isinstance(envelope.body, SnapshotChunk):
            self._record_chunk(envelope.lane, envelope.body)
            return Verdict.IGNORED
        try:
            return self.apply_body(offset, envelope.lane, envelope.body)
        except Exception as exc:
            # Otherwise one bad record would stop the follower of every instance
            # at the same offset, again after each restart.  It fails the same way
            # at every reader, so ignoring it keeps their states equal.
            self.fault = f"offset {offset}: {exc!r}"
            return Verdict.IGNORED

    def _record_chunk(self, lane: str, chunk: SnapshotChunk) -> None:
        snapshot = self._chunks.add(lane, chunk)
        if snapshot is not None and snapshot.upto >= self.snapshot_offset:
            self.snapshot_offset = snapshot.upto
            self.snapshot_parts = snapshot.parts

    def skip(self, offset: int) -> None:
        """Skip a record that cannot be decoded."""
        self.next_offset = offset + 1

    @abstractmethod
    def apply_body(self, offset: int, lane: str, body: Any) -> Verdict:
        """Apply a new record."""

    def has_applied(self, lane: str, body: Any) -> bool:
        """Return whether the state proves that a record of a lane was applied.

        Used for a record that expired before its sender read it.  If the result is
        ``False``, the sender receives an unknown outcome.
        """
        return False

    @abstractmethod
    def dump(self) -> Any:
        """Return the state as plain data."""

    @abstractmethod
    def load(self, data: Any) -> None:
        """Replace the state by dumped plain data."""

    def to_text(self) -> str:
        """Return the full state as JSON text, for a snapshot."""
        data = {
            "lanes": self.lanes.dump(),
            "carried": [self.snapshot_offset, self.snapshot_parts],
            "state": self.dump(),
        }
        return msgspec.json.encode(data).decode()

    def from_text(self, offset: int, text: str) -> None:
        """Replace the full state by a snapshot as of an offset.

        :raises RecordMalformedError: if the text is not a dumped state, or if the
            snapshot is older than this state, which must never go back.
        """
        if offset < self.next_offset:
            raise RecordMalformedError(
                f"snapshot as of {offset} is older than the state at {self.next_offset}"
            )
        try:
            data = msgspec.json.decode(text)
            lanes = msgspec.convert(data["lanes"], list[tuple[str, int]])
            upto, parts = msgspec.convert(data["carried"], tuple[int, int])
            self.load(data["state"])
        except Exception as exc:
            raise RecordMalformedError(f"snapshot as of {offset}: {exc!r}") from exc
        self.lanes.load(lanes)
        self.snapshot_offset, self.snapshot_parts = upto, parts
        self.next_offset = offset
