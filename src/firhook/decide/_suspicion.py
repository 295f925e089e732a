"""Which workers may be gone, before it is certain."""

from collections.abc import Iterable

#: Workers answer within some 10 ms; what is not answered after this is late.
OVERDUE_S = 0.2
#: So many workers of a zone that answer late make the others of it doubtful.
_MIN_OVERDUE = 2


class ReplyTracker:
    """The calls to one worker that are not answered yet.

    Load: workers crash, or their zone is cut off, while a hundred tasks start each
    second.  Harm: known only from a time-out, a worker that is gone looks as free as
    can be for a second or two, and what is started there stays bound to it until its
    lease has lapsed: tickets with a second to spare came nine seconds late.  A late
    answer alone proves nothing; the worker only gets no new work until it answers.
    """

    def __init__(self) -> None:
        self._due: dict[int, float] = {}
        self._count = 0

    def note_sent(self, due: float) -> int:
        """Take note of a call; return its number.

        :param due: when its answer is expected, on the boot clock.
        """
        self._count += 1
        self._due[self._count] = due
        return self._count

    def note_finished(self, call: int) -> None:
        """Take note that a call was answered, or given up."""
        self._due.pop(call, None)

    def overdue_since(self, now: float) -> float | None:
        """Return when the oldest answer that is late was due; ``None`` if none is."""
        if not self._due:
            return None
        oldest = min(self._due.values())
        return oldest if now - oldest > OVERDUE_S else None


def suspected_zones(late: Iterable[tuple[str, float | None]]) -> dict[str, float]:
    """Return the zones whose workers may all be gone, each with a moment.

    Workers of one zone are cut off together.  One of them that has not answered
    since that moment is not to be used; one that has is heard in spite of it.

    :param late: for each worker its zone, and when an answer was due that is late.
    """
    moments: dict[str, list[float]] = {}
    for zone, due in late:
        if due is not None:
            moments.setdefault(zone, []).append(due)
    return {
        zone: min(dues) for zone, dues in moments.items() if len(dues) >= _MIN_OVERDUE
    }
