"""Decides which start a lead sends next, and when it plans no more of them."""

import heapq
import math

import attrs

from firhook.cell.job_table import Run

#: Urgent starts precede others that were queued up to this much earlier.
URGENT_HEAD_START_S = 0.4
#: No more starts are planned while one has waited for this time.
_MAX_WAIT_S = 0.5
#: The most starts that are under way at once.
MAX_WINDOW = 24
#: Answers that take longer show that starts wait on their way.
MAX_ANSWER_S = 0.25
#: The factor by which the window shrinks then, as for the congestion window of TCP.
_SHRINK_FACTOR = 0.7


@attrs.frozen(slots=True, order=True)
class _QueuedStart:
    due: float
    number: int
    run: Run = attrs.field(order=False)


class StartQueue:
    """The planned starts that are not sent yet.

    The load is a burst, or the first seconds of a lead: more starts are planned than
    can be sent.  Sent in turn, each start arrives with a ticket that has expired
    meanwhile, is refused and is planned again behind the others, so that nothing
    starts any more, also long after the burst.  So a start is dropped once its ticket
    has expired, which costs no order, and none is planned while another one has waited
    long.  Then the starts with tickets leave the queue within the validity of these,
    however slowly they are sent.
    """

    def __init__(self) -> None:
        self._heap: list[_QueuedStart] = []
        self._count = 0
        # When each start was queued, the oldest first.
        self._queued_at: dict[int, float] = {}

    def __len__(self) -> int:
        """Return the number of starts that wait."""
        return len(self._heap)

    def add(self, run: Run, now: float) -> None:
        """Queue the start of a run."""
        is_urgent = run.task.step.job.queue.priority == 0
        due = now if is_urgent else now + URGENT_HEAD_START_S
        self._count += 1
        heapq.heappush(self._heap, _QueuedStart(due, self._count, run))
        self._queued_at[self._count] = now

    def take(self) -> Run:
        """Remove and return the start that goes next."""
        start = heapq.heappop(self._heap)
        del self._queued_at[start.number]
        return start.run

    def may_plan(self, now: float) -> bool:
        """Return whether further starts would be sent soon."""
        oldest_at = next(iter(self._queued_at.values()), math.inf)
        return now - oldest_at < _MAX_WAIT_S


class StartWindow:
    """Decides how many starts may be under way at once.

    Over a link that carries 15 starts a second, 24 at once take longer than tickets
    hold, so that all of them are refused.  So the window shrinks while answers are
    slow, and grows by one for each window of fast ones.

    :ivar in_flight: how many starts are under way.
    """

    def __init__(self) -> None:
        self.in_flight = 0
        self._size = float(MAX_WINDOW)
        self._shrunk_at = -math.inf

    @property
    def size(self) -> int:
        """How many starts may be under way."""
        return int(self._size)

    @property
    def is_open(self) -> bool:
        """Whether another start may be sent."""
        return self.in_flight < self.size

    def record_answer(self, sent_at: float, now: float) -> None:
        """Record the answer to a start.

        Starts that were sent before the window shrank say nothing of its size.
        """
        if now - sent_at <= MAX_ANSWER_S:
            self._size = min(self._size + 1 / self._size, MAX_WINDOW)
        elif sent_at >= self._shrunk_at:
            self._size = max(self._size * _SHRINK_FACTOR, 1.0)
            self._shrunk_at = now


def has_valid_ticket(run: Run, now: float) -> bool:
    """Return whether a worker still accepts the start of a run by its ticket."""
    return now < run.ticket_until
