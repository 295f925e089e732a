"""The copies of one run's start that are on their way to a worker."""

import math

#: A worker may still carry out an unanswered order up to 12 s after it was sent.
MAX_ORDER_DELAY_S = 12.5


class StartCopies:
    """Knows which copies of a run's start may still be carried out.

    A start that is not answered soon is sent again, so that several copies may be on
    their way at once.  Each is carried out or not on its own, and their answers come
    in any order.  So each is open until its own answer came: the answer to another one
    says nothing about it, unless it says that the worker has the run.

    :ivar count: number of copies that were sent.
    :ivar sent_at: when the last copy was sent, in seconds; minus infinity if none was.
    """

    __slots__ = ("_is_taken", "_last", "_open", "count", "sent_at")

    def __init__(self) -> None:
        self.count = 0
        self.sent_at = -math.inf
        self._last = 0
        self._open: dict[int, float] = {}
        self._is_taken = False

    def send(self, now: float) -> int:
        """Record that a copy is sent; return its number."""
        self.count += 1
        self._last += 1
        self.sent_at = now
        self._open[self._last] = now
        self._is_taken = False
        return self._last

    def settle(self, copy: int) -> None:
        """Record that a copy was answered."""
        self._open.pop(copy, None)

    def withdraw(self, copy: int) -> None:
        """Record that a copy was not sent after all."""
        if self._open.pop(copy, None) is not None:
            self.count -= 1

    def take(self) -> None:
        """Record that the worker has the run, or refuses to start it from now on.

        It carries out no open copy as long as it does not restart.
        """
        self._is_taken = True

    @property
    def may_arrive(self) -> bool:
        """Whether the worker may carry out a copy unless it restarts."""
        return bool(self._open) and not self._is_taken

    @property
    def open_count(self) -> int:
        """The number of copies without an answer."""
        return len(self._open)

    @property
    def latest_arrival(self) -> float:
        """When the last open copy is carried out at the latest, by any incarnation.

        It is minus infinity if none is open.
        """
        return max(self._open.values(), default=-math.inf) + MAX_ORDER_DELAY_S
