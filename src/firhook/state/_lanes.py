"""Recognises records that the log holds twice or out of their sender's order."""


class LaneSequences:
    """The highest sequence number applied for each lane of one stream.

    An append whose answer was lost is sent again with the same id, and may
    then be in the log twice.  One that was given up may arrive after its
    sender went on.  Both show a sequence number that is not above the last
    one of their lane, and are passed over by every reader alike.
    """

    #: A lane is one run of one instance; 330 restarts a day use up this many
    #: in three days, far longer than a record can be on its way to the log.
    #: Every snapshot carries them, so that more would cost bytes each time.
    MAX_LANES = 1024

    def __init__(self) -> None:
        self._last: dict[str, int] = {}

    def admit(self, lane: str, seq: int) -> bool:
        """Return whether the record is new, and remember it if so."""
        if seq <= self._last.get(lane, 0):
            return False
        # Taking the lane out first keeps the map ordered by last use, so that
        # the lane dropped is the one silent longest, at every reader alike.
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
        """Take over dumped lanes."""
        self._last = dict(rows)
