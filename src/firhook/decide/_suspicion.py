"""Suspects workers of having failed before a timeout proves it."""

import math
from collections import Counter
from collections.abc import Iterable

#: A reply is overdue after this.  Workers usually answer within about 10 ms.
OVERDUE_S = 0.2
#: Number of a zone's workers that do not answer from which on its other workers are
#: suspected as well.
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
        self._silent_since: float | None = None

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

    def note_unanswered(self, call: int, now: float) -> None:
        """Record that a call was given up without a reply."""
        due = self._due.pop(call, now)
        if self._silent_since is None and now - due > OVERDUE_S:
            self._silent_since = due

    def note_reply(self) -> None:
        """Record that the worker answered a call."""
        self._silent_since = None

    def overdue_since(self, now: float) -> float | None:
        """Return when the oldest overdue reply was due; ``None`` if none is overdue."""
        if not self._due:
            return None
        oldest = min(self._due.values())
        return oldest if now - oldest > OVERDUE_S else None

    def silent_since(self, now: float) -> float | None:
        """Return since when the worker does not answer; ``None`` if it does.

        Further calls without an answer do not change the time.
        """
        if self._silent_since is not None:
            return self._silent_since
        return self.overdue_since(now)


def suspected_zones(
    silent: Iterable[tuple[str, float | None]],
    replies: Iterable[tuple[str, float]] = (),
) -> dict[str, float]:
    """Return the zones whose workers are suspected, each with a time.

    A network partition isolates all workers of a zone together.  A worker that has
    not answered since that time should not be used; one that has answered since is
    reachable and may be used.

    The time is the latest one since which at least :data:`_MIN_OVERDUE` workers have
    not answered.  Workers that are gone for good thus count until all others have
    answered once.  If each further call to them counted, the idle workers of their
    zone, which answer once a second, would be suspected half of the time.

    :param silent: for each worker its zone, and since when it has not answered;
        ``None`` if it answers.
    :param replies: for each worker its zone, and when it last answered.  They are given
        while workers leave single calls unanswered, which two or more of a zone do at
        any time.  A zone in which as many have answered since is not isolated then.
    """
    times: dict[str, list[float]] = {}
    for zone, since in silent:
        if since is not None:
            times.setdefault(zone, []).append(since)
    cutoffs = {
        zone: sorted(found)[-_MIN_OVERDUE]
        for zone, found in times.items()
        if len(found) >= _MIN_OVERDUE
    }
    answered = Counter(zone for zone, at in replies if at > cutoffs.get(zone, math.inf))
    return {z: at for z, at in cutoffs.items() if answered[z] < _MIN_OVERDUE}
