"""Decides which start a lead sends next, and when it plans no more of them."""

import heapq
import math

import attrs

from firhook.cell.job_table import Run

#: Urgent starts precede others that were queued up to this much earlier.
URGENT_HEAD_START_S = 0.4
#: No more starts are planned while one has waited for this time.
_MAX_WAIT_S = 0.5


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
    has expired, which costs no order, and none is planned while others have to wait
    long.  Then the queue is empty within the validity of a ticket, however slowly
    starts are sent.
    """

    def __init__(self) -> None:
        self._heap: list[_QueuedStart] = []
        self._queued_at: dict[int, float] = {}
        self._count = 0

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


def has_valid_ticket(run: Run, now: float) -> bool:
    """Return whether a worker still accepts the start of a run by its ticket."""
    return now < run.ticket_until
