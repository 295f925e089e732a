"""Decides which start a lead sends next, and when it plans no more of them."""

import heapq
import math
from collections import deque

import attrs

from firhook.cell.job_table import Run

#: Urgent starts precede others that were queued up to this much earlier.
URGENT_HEAD_START_S = 0.4
#: Starts are planned for this time ahead, at the rate at which they are sent.
_AHEAD_S = 0.4
#: The span over which that rate is measured.
_RATE_SPAN_S = 1.0
#: The most starts that are under way at once.
MAX_WINDOW = 24
#: Answers that take longer show that starts wait on their way.
MAX_ANSWER_S = 0.25
#: The factor by which the window shrinks then, as for the congestion window of TCP.
_SHRINK_FACTOR = 0.7
#: Time within which a start is usually answered.
_USUAL_ANSWER_S = 0.1


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
    has expired, which costs no order, and no more are planned than can be sent soon.
    Then the queue is empty within the validity of a ticket, however slowly starts are
    sent.
    """

    def __init__(self) -> None:
        self._heap: list[_QueuedStart] = []
        self._count = 0
        self._sent_at: deque[float] = deque()

    def __len__(self) -> int:
        """Return the number of starts that wait."""
        return len(self._heap)

    def add(self, run: Run, now: float) -> None:
        """Queue the start of a run."""
        is_urgent = run.task.step.job.queue.priority == 0
        due = now if is_urgent else now + URGENT_HEAD_START_S
        self._count += 1
        heapq.heappush(self._heap, _QueuedStart(due, self._count, run))

    def take(self) -> Run:
        """Remove and return the start that goes next."""
        return heapq.heappop(self._heap).run

    def note_sent(self, now: float) -> None:
        """Record that a start is sent."""
        self._sent_at.append(now)
        self._forget_old(now)

    def free_places(self, window: int, now: float) -> int:
        """Return how many starts may be planned now.

        :param window: how many may be under way at once.
        """
        self._forget_old(now)
        rate = max(len(self._sent_at) / _RATE_SPAN_S, window / _USUAL_ANSWER_S)
        return max(int(rate * _AHEAD_S) - len(self._heap), 0)

    def _forget_old(self, now: float) -> None:
        while self._sent_at and now - self._sent_at[0] > _RATE_SPAN_S:
            self._sent_at.popleft()


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
