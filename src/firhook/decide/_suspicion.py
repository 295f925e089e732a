"""Suspects workers of having failed before a timeout proves it."""

from collections.abc import Iterable

#: A reply is overdue after this.  Workers usually answer within about 10 ms.
OVERDUE_S = 0.2
#: Number of a zone's workers with overdue replies from which on its other workers
#: are suspected as well.
_MIN_OVERDUE = 2


class ReplyTracker:
    """Tracks the calls to one worker that have not been answered yet.

    Workers crash, or a network partition isolates their zone, while a hundred tasks
    start each second.  Detected only by a timeout, a failed worker would look idle
    for a second or two.  Tasks assigned to it stay bound to it until its lease
    expires, so that short tasks with a second of slack ended nine seconds late.

    An overdue reply alone proves nothing.  The worker only receives no new work
    until it answers.
    """

    def __init__(self) -> None:
        self._due: dict[int, float] = {}
        self._count = 0

    def note_sent(self, due: float) -> int:
        """Record that a call was sent, and return its number.

        :param due: when the reply is expected, on the boot clock.
        """
        self._count += 1
        self._due[self._count] = due
        return self._count

    def note_finished(self, call: int) -> None:
        """Record that a call was answered or given up."""
        self._due.pop(call, None)

    def overdue_since(self, now: float) -> float | None:
        """Return when the oldest overdue reply was due; ``None`` if none is overdue."""
        if not self._due:
            return None
        oldest = min(self._due.values())
        return oldest if now - oldest > OVERDUE_S else None


def suspected_zones(overdue: Iterable[tuple[str, float | None]]) -> dict[str, float]:
    """Return the zones whose workers are suspected, each with a time.

    A network partition isolates all workers of a zone together.  A worker that has
    not answered since that time should not be used; one that has answered since is
    reachable and may be used.

    :param overdue: for each worker its zone, and when its overdue reply was due;
        ``None`` if none is overdue.
    """
    due_times: dict[str, list[float]] = {}
    for zone, due in overdue:
        if due is not None:
            due_times.setdefault(zone, []).append(due)
    return {
        zone: min(dues) for zone, dues in due_times.items() if len(dues) >= _MIN_OVERDUE
    }
