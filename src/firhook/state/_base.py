"""What the states of all streams have in common."""

from abc import ABC, abstractmethod
from typing import Any

import msgspec

from firhook.model import Envelope, Marker, SnapshotChunk, Verdict
from firhook.state._lanes import Lanes


class StreamState(ABC):
    """State of one stream: a function of its records and of nothing else.

    :ivar next_offset: the offset of the record to apply next.
    """

    def __init__(self) -> None:
        self.next_offset = 0
        self.lanes = Lanes()
        self._chunks: dict[int, str] = {}

    def apply(self, offset: int, envelope: Envelope) -> Verdict:
        """Apply a record and return the verdict that every reader reaches."""
        self.next_offset = offset + 1
        if not self.lanes.admit(envelope.lane, envelope.seq):
            return Verdict.REPEATED
        if isinstance(envelope.body, (Marker, SnapshotChunk)):
            return Verdict.IGNORED
        return self.apply_body(offset, envelope.lane, envelope.body)

    def skip(self, offset: int) -> None:
        """Pass over a record that cannot be understood."""
        self.next_offset = offset + 1

    @abstractmethod
    def apply_body(self, offset: int, lane: str, body: Any) -> Verdict:
        """Apply a record that is new."""

    @abstractmethod
    def dump(self) -> Any:
        """Return the state as plain data."""

    @abstractmethod
    def load(self, data: Any) -> None:
        """Replace the state by dumped plain data."""

    def to_text(self) -> str:
        """Return the whole state as JSON text, for a snapshot."""
        return msgspec.json.encode(
            {"lanes": self.lanes.dump(), "state": self.dump()}
        ).decode()

    def from_text(self, offset: int, text: str) -> None:
        """Replace the whole state by a snapshot as of an offset."""
        data = msgspec.json.decode(text)
        self.lanes.load([(lane, seq) for lane, seq in data["lanes"]])
        self.load(data["state"])
        self.next_offset = offset
