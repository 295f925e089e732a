"""The count of what a team has running here, against the room it has."""

from collections.abc import Callable


def _no_time() -> float:
    return 0.0


class Account:
    """What each team has running here, against the room this holder has.

    Counted at dispatch and given back only on a known end: an attempt whose
    end is unknown may still be running, and counting it as ended would let
    the team exceed its limit just when things go wrong.

    Room ends by time, and the time is looked at whenever room is taken.  A
    process that was paused and goes on may run any coroutine first; were
    lapsed room only swept away by a task of its own, a request dispatched
    before the sweep would run on room that a peer has been lent meanwhile.

    :param clock: the holder's monotonic clock, in seconds.
    """

    def __init__(self, clock: Callable[[], float] = _no_time) -> None:
        self._clock = clock
        self.capacity: dict[str, int] = {}
        self.expires_at: dict[str, float] = {}
        self.running: dict[str, int] = {}

    def current_capacity(self, team: str) -> int:
        """Return the room of a team that has not lapsed."""
        if self._clock() >= self.expires_at.get(team, float("inf")):
            return 0
        return self.capacity.get(team, 0)

    def set_capacity(self, team: str, amount: int, expires_at: float) -> None:
        """Set the room of a team until a time on the clock."""
        if amount > 0:
            self.capacity[team] = amount
            self.expires_at[team] = expires_at
        else:
            self.capacity.pop(team, None)
            self.expires_at.pop(team, None)

    def max_in_use(self, team: str) -> int:
        """Return the most that may run here before room is next lent."""
        return max(self.current_capacity(team), self.running.get(team, 0))

    def acquire(self, team: str, amount: int = 1) -> bool:
        """Count ``amount`` more as running if there is room for all of it."""
        used = self.running.get(team, 0)
        if used + amount > self.current_capacity(team):
            return False
        self.running[team] = used + amount
        return True

    def release(self, team: str, amount: int = 1) -> None:
        """Count ``amount`` less as running."""
        left = self.running.get(team, 0) - amount
        if left > 0:
            self.running[team] = left
        else:
            self.running.pop(team, None)
