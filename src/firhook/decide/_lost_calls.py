"""Decides how long to wait for the answer to a poll while calls get lost."""

from collections import deque

#: Calls count as getting lost once this many were within the window.
_MIN_LOST = 4
_WINDOW_S = 5.0
#: The weights of the newest answer in the moving averages of the latency and of its
#: deviation, as for the retransmission timeout of TCP (RFC 6298).
_MEAN_WEIGHT, _DEVIATION_WEIGHT = 0.125, 0.25
_DEVIATIONS = 4
#: The shortest and the longest time to wait for an answer.  Earlier, a pause of the
#: lead itself would look like a lost call.
_MIN_TIMEOUT_S = 0.1
_MAX_TIMEOUT_S = 1.0
#: The time to wait while none has come.
FIRST_TIMEOUT_S = 0.5


class LostCalls:
    """Knows whether workers that answer at once leave single calls unanswered.

    A worker that is down, slow or isolated leaves the next call unanswered too, and
    does not count.
    """

    def __init__(self) -> None:
        self._lost_at: deque[float] = deque(maxlen=_MIN_LOST)

    def record(self, now: float) -> None:
        """Record that a worker answered right after a call that it did not answer."""
        self._lost_at.append(now)

    def are_frequent(self, now: float) -> bool:
        """Return whether calls get lost now."""
        lost_at = self._lost_at
        return len(lost_at) == _MIN_LOST and now - lost_at[0] < _WINDOW_S


class AnswerTimer:
    """Decides after how long the answer of one worker is late."""

    def __init__(self) -> None:
        self._mean_s = 0.0
        self._deviation_s = FIRST_TIMEOUT_S / _DEVIATIONS

    def record(self, took_s: float) -> None:
        """Record how long an answer took, in seconds."""
        offset_s = abs(took_s - self._mean_s)
        self._deviation_s += _DEVIATION_WEIGHT * (offset_s - self._deviation_s)
        self._mean_s += _MEAN_WEIGHT * (took_s - self._mean_s)

    def timeout_s(self) -> float:
        """Return how long to wait for an answer, in seconds."""
        expected_s = self._mean_s + _DEVIATIONS * self._deviation_s
        return min(max(expected_s, _MIN_TIMEOUT_S), _MAX_TIMEOUT_S)
