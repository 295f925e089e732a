"""What to append next, and what became of records whose answer was lost."""

from collections import deque
from collections.abc import Iterator
from typing import Any

import attrs

from firhook.model import Envelope, Marker

#: Records that go into one append; more would make one lost answer cost much.
MAX_BATCH = 256
#: Size of what goes into one append; chunks of snapshots are the large ones.
MAX_BATCH_BYTES = 512_000


@attrs.define(slots=True, eq=False)
class OutgoingRecord:
    """A record on its way to the log and back.

    :ivar size: its length as it is sent, in bytes.
    :ivar seq: its place in the lane; 0 until it is first sent.
    :ivar given_up: whether whoever asked for it has stopped waiting.
    :ivar token: whatever the owner needs to answer whoever asked.
    """

    body: Any
    urgent: bool = False
    token: Any = None
    size: int = 0
    seq: int = 0
    given_up: bool = False


class Outbox:
    """Records of one lane and stream, with one append in flight at a time.

    Load: every placement, claim and charge passes here, so all that wait go
    into one append (group commit).

    What goes wrong: an append times out, and its records may be in the log
    already, may get there minutes later, or never.  A caller told "not
    recorded" of such a record would run its charge again.  Hence:

    * A number in the lane is given when a record is first *sent*, never when
      it starts to wait.  Readers pass over numbers that do not rise, so a
      number given early would be void once a later one had landed.
    * While a copy is in doubt nothing else is sent but the same records under
      the same numbers, so no later record can overtake and void them.
    * A record given up while a copy is in doubt is left out of the next copy,
      and a :class:`~firhook.model.Marker` with a higher number goes at its
      end.  Once that has landed, a late copy of the record is void at every
      reader.  The giver-up is told "unknown", since the late copy may also
      come first.
    * A record given up while no copy can have been taken is taken out, and
      only then may its giver-up be told "not recorded".

    :param lane: the lane that the records go into.
    """

    def __init__(self, lane: str) -> None:
        self.lane = lane
        self._seq = 0
        self._urgent: deque[OutgoingRecord] = deque()
        self._queue: deque[OutgoingRecord] = deque()
        self._batch: list[OutgoingRecord] = []
        self._marker = 0
        self._high = 0
        self._doubt = False
        self._in_flight = False
        self._unread: dict[int, OutgoingRecord] = {}

    def __len__(self) -> int:
        """Return how many records wait to be sent for the first time."""
        return len(self._urgent) + len(self._queue)

    @property
    def urgent(self) -> bool:
        """Whether something that should go before other streams waits."""
        return bool(self._urgent) or any(
            item.urgent and not item.given_up for item in self._batch
        )

    @property
    def busy(self) -> bool:
        """Whether there is something to send or to settle."""
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

        :returns: whether the record may be in the log, now or later.  If not,
            it is certain that it was never recorded and never will be.
        """
        item.given_up = True
        if item.seq:
            self._unread.pop(item.seq, None)
            return True
        (self._urgent if item.urgent else self._queue).remove(item)
        return False

    def next_append(self) -> tuple[Envelope, ...]:
        """Return what to append now; empty if there is nothing.

        The outcome of that append must be noted before the next call.
        """
        if not self._batch:
            self._form_batch()
        if not self._batch:
            return ()
        self._in_flight = True
        return tuple(self._copy())

    def _form_batch(self) -> None:
        size = 0
        for queue in (self._urgent, self._queue):
            while queue and len(self._batch) < MAX_BATCH and size < MAX_BATCH_BYTES:
                item = queue.popleft()
                size += item.size
                self._seq += 1
                item.seq = self._seq
                self._unread[item.seq] = item
                self._batch.append(item)
        self._high, self._marker = self._seq, 0

    def _copy(self) -> Iterator[Envelope]:
        wanted = [item for item in self._batch if not item.given_up]
        for item in wanted:
            yield Envelope(self.lane, item.seq, item.body)
        if len(wanted) < len(self._batch):
            if not self._marker:
                self._seq += 1
                self._marker = self._seq
            yield Envelope(self.lane, self._marker, Marker())

    def note_appended(self) -> None:
        """Note that the log took the copy in flight."""
        self._in_flight = False
        self._settle()

    def note_unknown(self) -> None:
        """Note that the copy in flight may have been or may yet be taken."""
        self._in_flight = False
        self._doubt = bool(self._batch)

    def note_rejected(self) -> None:
        """Note that the log certainly did not take the copy in flight.

        If no earlier copy is in doubt either, the records are as good as
        never sent and wait again, so that a caller who now gives up may be
        told so.
        """
        self._in_flight = False
        if self._doubt or not self._batch:
            return
        for item in reversed(self._batch):
            self._unread.pop(item.seq, None)
            item.seq = 0
            if not item.given_up:
                (self._urgent if item.urgent else self._queue).appendleft(item)
        self._settle()

    def note_last_read(self, last: int) -> None:
        """Note the highest number of the lane that was read back.

        Every record of the batch has a number up to it, so that none can be
        applied from now on that has not been.
        """
        if self._batch and last >= self._high:
            self._settle()

    def _settle(self) -> None:
        self._batch = []
        self._doubt = False

    def read_back(self, seq: int) -> OutgoingRecord | None:
        """Return the record with this number if it is still waited for."""
        return self._unread.pop(seq, None)

    def take_landed(self, last: int) -> list[OutgoingRecord]:
        """Return the records waited for that landed at or before a number.

        After a rebuild from a snapshot the records themselves are never read;
        that the lane went past their numbers says that they landed.
        """
        return [self._unread.pop(seq) for seq in sorted(self._unread) if seq <= last]
