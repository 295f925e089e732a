"""Running requests and available capacity of each team at one instance."""

from collections.abc import Callable


def _no_time() -> float:
    return 0.0


class Account:
    """Counts what each team runs here against the capacity lent to this instance.

    A request counts from its dispatch until it has certainly ended.  A request
    with an unknown end may still be running, and not counting it would let the
    team exceed its limit during faults.

    Capacity expires, and every acquisition checks the expiry.  A paused process
    may resume with any coroutine.  If a background task alone removed expired
    capacity, a request dispatched before that task ran would use capacity that
    has been lent to a peer in the meantime.

    :param clock: this instance's monotonic clock, in seconds.
    :ivar capacity: lent capacity by team, expired or not.
    :ivar expires_at: expiry of the capacity by team, on the clock.
    :ivar running: running requests by team.
    """

    def __init__(self, clock: Callable[[], float] = _no_time) -> None:
        self._clock = clock
        self.capacity: dict[str, int] = {}
        self.expires_at: dict[str, float] = {}
        self.running: dict[str, int] = {}

    def current_capacity(self, team: str) -> int:
        """Return the unexpired capacity of a team."""
        if self._clock() >= self.expires_at.get(team, float("inf")):
            return 0
        return self.capacity.get(team, 0)

    def set_capacity(self, team: str, amount: int, expires_at: float) -> None:
        """Set a team's capacity and its expiry on the clock."""
        if amount > 0:
            self.capacity[team] = amount
            self.expires_at[team] = expires_at
        else:
            self.capacity.pop(team, None)
            self.expires_at.pop(team, None)

    def max_in_use(self, team: str) -> int:
        """Return how much may run here at most until capacity is lent again."""
        return max(self.current_capacity(team), self.running.get(team, 0))

    def acquire(self, team: str, amount: int = 1) -> bool:
        """Count ``amount`` more as running if the capacity allows all of it."""
        used = self.running.get(team, 0)
        if used + amount > self.current_capacity(team):
            return False
        self.running[team] = used + amount
        return True

    def release(self, team: str, amount: int = 1) -> None:
        """Count ``amount`` less as running."""
        remaining = self.running.get(team, 0) - amount
        if remaining > 0:
            self.running[team] = remaining
        else:
            self.running.pop(team, None)
