"""Group commit of records to the log, with outcomes of unanswered appends."""

from collections import deque
from collections.abc import Iterator
from typing import Any

import attrs

from firhook.model import Envelope, Marker

#: Maximum number of records in one append.  Larger batches make a lost answer
#: more expensive.
MAX_BATCH = 256
#: Maximum size of one append; snapshot chunks are the largest records.
MAX_BATCH_BYTES = 512_000


@attrs.define(slots=True, eq=False)
class OutgoingRecord:
    """A record between its submission and its read-back from the log.

    :ivar size: encoded size, in bytes.
    :ivar seq: sequence number in the lane; 0 until it is first sent.
    :ivar given_up: whether the submitter has stopped waiting.
    :ivar token: opaque value with which the owner answers the submitter.
    """

    body: Any
    urgent: bool = False
    token: Any = None
    size: int = 0
    seq: int = 0
    given_up: bool = False


class Outbox:
    """Records of one lane and stream, with one append in flight at a time.

    Every placement and every claim of a non-idempotent request passes through here,
    so all waiting records go into one append (group commit).

    When an append times out, its records may already be in the log, may land
    minutes later, or never.  A caller that receives "not recorded" for such a
    record would repeat its request, which would then run twice.  Therefore:

    * A record gets its sequence number when it is first *sent*, not when it is
      queued.  Readers skip sequence numbers that do not increase, so a number
      assigned early would be void once a later one had landed.
    * While the outcome of an append is unknown, only the same records are sent
      again under the same numbers, so no later record can overtake and void them.
    * A record that is given up while the outcome is unknown is omitted from the
      next append, which ends with a :class:`~firhook.model.Marker` of a higher
      number.  Once the marker has landed, a late copy of the record is void at
      every reader.  The submitter receives "unknown", since the late copy may
      also land first.
    * A record that is given up while no append can contain it is removed.  Only
      then may its submitter receive "not recorded".

    :param lane: the lane of the records.
    """

    def __init__(self, lane: str) -> None:
        self.lane = lane
        self._seq = 0
        self._urgent: deque[OutgoingRecord] = deque()
        self._queue: deque[OutgoingRecord] = deque()
        self._batch: list[OutgoingRecord] = []
        self._marker = 0
        self._last_in_batch = 0
        self._outcome_unknown = False
        self._in_flight = False
        self._awaiting_read: dict[int, OutgoingRecord] = {}

    def __len__(self) -> int:
        """Return how many records have not been sent yet."""
        return len(self._urgent) + len(self._queue)

    @property
    def urgent(self) -> bool:
        """Whether a record is waiting that takes precedence over other streams."""
        return bool(self._urgent) or any(
            item.urgent and not item.given_up for item in self._batch
        )

    @property
    def busy(self) -> bool:
        """Whether there are records to send or outcomes to settle."""
        return bool(self._batch) or len(self) > 0

    def add(
        self, body: Any, urgent: bool = False, token: Any = None, size: int = 0
    ) -> OutgoingRecord:
        """Queue a record."""
        item = OutgoingRecord(body, urgent, token, size)
        (self._urgent if urgent else self._queue).append(item)
        return item

    def give_up(self, item: OutgoingRecord) -> bool:
        """Stop waiting for a record.

        :returns: whether the record may be in the log, now or later.  ``False``
            means that it certainly never will be.
        """
        item.given_up = True
        if item.seq:
            self._awaiting_read.pop(item.seq, None)
            return True
        (self._urgent if item.urgent else self._queue).remove(item)
        return False

    def next_append(self) -> tuple[Envelope, ...]:
        """Return the records to append now; empty if there are none.

        The outcome of that append must be reported before the next call.
        """
        if not self._batch:
            self._form_batch()
        if not self._batch:
            return ()
        self._in_flight = True
        return tuple(self._envelopes())

    def _form_batch(self) -> None:
        size = 0
        for queue in (self._urgent, self._queue):
            while queue and len(self._batch) < MAX_BATCH and size < MAX_BATCH_BYTES:
                item = queue.popleft()
                size += item.size
                self._seq += 1
                item.seq = self._seq
                self._awaiting_read[item.seq] = item
                self._batch.append(item)
        self._last_in_batch, self._marker = self._seq, 0

    def _envelopes(self) -> Iterator[Envelope]:
        remaining = [item for item in self._batch if not item.given_up]
        for item in remaining:
            yield Envelope(self.lane, item.seq, item.body)
        if len(remaining) < len(self._batch):
            if not self._marker:
                self._seq += 1
                self._marker = self._seq
            yield Envelope(self.lane, self._marker, Marker())

    def note_appended(self) -> None:
        """Record that the log accepted the append in flight."""
        self._in_flight = False
        self._settle()

    def note_unknown(self) -> None:
        """Record that the log may have accepted or may yet accept the append."""
        self._in_flight = False
        self._outcome_unknown = bool(self._batch)

    def note_rejected(self) -> None:
        """Record that the log certainly did not accept the append in flight.

        Unless the outcome of an earlier append is unknown, the records count as
        never sent and are queued again.  A submitter that then gives up receives
        "not recorded".
        """
        self._in_flight = False
        if self._outcome_unknown or not self._batch:
            return
        for item in reversed(self._batch):
            self._awaiting_read.pop(item.seq, None)
            item.seq = 0
            if not item.given_up:
                (self._urgent if item.urgent else self._queue).appendleft(item)
        self._settle()

    def note_last_read(self, last: int) -> None:
        """Record the highest sequence number of the lane that was read back.

        The batch is settled once that number reaches the end of the batch, since
        none of its records can be applied afterwards.
        """
        if self._batch and last >= self._last_in_batch:
            self._settle()

    def _settle(self) -> None:
        self._batch = []
        self._outcome_unknown = False

    def read_back(self, seq: int) -> OutgoingRecord | None:
        """Return the record with this number if its submitter still waits."""
        return self._awaiting_read.pop(seq, None)

    def take_landed(self, last: int) -> list[OutgoingRecord]:
        """Return the awaited records with numbers up to ``last``.

        After a rebuild from a snapshot the records themselves are never read.
        Since the lane has passed their numbers, they have landed.
        """
        return [
            self._awaiting_read.pop(seq)
            for seq in sorted(self._awaiting_read)
            if seq <= last
        ]
