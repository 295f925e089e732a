"""Detection of records that are repeated or out of their sender's order."""


class LaneSequences:
    """The highest sequence number applied for each lane of one stream.

    An append whose answer was lost is sent again with the same number and may then
    be in the log twice.  One that was given up may land after its sender has sent
    later records.  In both cases the sequence number is not above the last one of
    the lane, and every reader skips the record.
    """

    #: A lane is one incarnation of one instance.  330 restarts a day fill this many
    #: in three days, far longer than a record can be in transit.  Every snapshot
    #: contains them, so more would make every snapshot larger.
    MAX_LANES = 1024

    def __init__(self) -> None:
        self._last: dict[str, int] = {}

    def admit(self, lane: str, seq: int) -> bool:
        """Return whether a record is new, and store its number if so."""
        if seq <= self._last.get(lane, 0):
            return False
        # Removing the lane first keeps the map ordered by last use, so every
        # reader drops the least recently used lane.
        self._last.pop(lane, None)
        self._last[lane] = seq
        if len(self._last) > self.MAX_LANES:
            del self._last[next(iter(self._last))]
        return True

    def last(self, lane: str) -> int:
        """Return the highest number applied for a lane; 0 if none was."""
        return self._last.get(lane, 0)

    def dump(self) -> list[tuple[str, int]]:
        """Return the lanes in order of last use."""
        return list(self._last.items())

    def load(self, rows: list[tuple[str, int]]) -> None:
        """Replace the lanes by dumped ones."""
        self._last = dict(rows)
