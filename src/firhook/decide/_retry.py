"""Retries of failed requests: which are safe, and how many are allowed."""

#: Maximum number of times that a request is sent.
MAX_TRIES = 3
#: Methods whose requests may safely run twice.
IDEMPOTENT_METHODS = frozenset(("GET", "HEAD", "OPTIONS", "PUT", "DELETE"))


class RetryBudget:
    """Token bucket that answers fill and retries drain.

    If a fleet fails under overload, retrying every failure would multiply the load
    just when it is too high.  With a tenth of a token per answer, retries add at
    most a tenth to the load that the runners can serve, and nothing once there are
    no more answers.

    :param retries_per_answer: number of retries allowed per answer.
    :param burst: number of retries allowed at once, enough for the requests that
        fail when one runner dies.
    """

    def __init__(self, retries_per_answer: float = 0.1, burst: float = 10.0) -> None:
        self._retries_per_answer = retries_per_answer
        self._burst = burst
        self._tokens = burst

    def note_answer(self) -> None:
        """Record a complete answer."""
        self._tokens = min(self._tokens + self._retries_per_answer, self._burst)

    def try_spend(self) -> bool:
        """Spend one retry and return whether the budget allowed it."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


def may_resend(idempotent: bool, ran: str, tries: int) -> bool:
    """Return whether a failed request may be sent again.

    A non-idempotent request is only sent again if certainly no byte of it was
    sent.  Otherwise the runner may have run it, and it would run twice.

    :param idempotent: whether the request may safely run twice.
    :param ran: whether the failed attempt ran: ``no``, ``unknown`` or ``yes``.
    :param tries: how many times the request was sent.
    """
    if ran == "yes" or tries >= MAX_TRIES:
        return False
    return idempotent or ran == "no"
