"""Retries: what may be sent again, and how much of it."""

#: Tries of one request in all.
MAX_TRIES = 3
#: Methods whose requests may run twice without harm.
IDEMPOTENT_METHODS = frozenset(("GET", "HEAD", "OPTIONS", "PUT", "DELETE"))


class RetryBudget:
    """A token bucket that answers fill and retries empty.

    Made for a fleet that fails under overload: retries that follow every
    failure would multiply the load just when it is too high.  With a tenth of
    a token for each answer, retries add at most a tenth to the load that the
    runners bear, and none once nothing is answered any more.

    :param part: retries allowed for each answer.
    :param burst: retries allowed at once, enough for the requests that one
        runner's death cuts.
    """

    def __init__(self, part: float = 0.1, burst: float = 10.0) -> None:
        self._part = part
        self._burst = burst
        self._tokens = burst

    def note_answer(self) -> None:
        """Count a whole answer."""
        self._tokens = min(self._tokens + self._part, self._burst)

    def try_spend(self) -> bool:
        """Spend one retry if the budget has it."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


def may_resend(idempotent: bool, ran: str, tries: int) -> bool:
    """Return whether a failed request may be sent again.

    A non-idempotent request, such as a renewal charge, is only sent again if
    certainly no byte of it left: the runner may else have run it, and the
    customer would be charged twice.

    :param ran: whether the failed try was run: ``no``, ``unknown`` or ``yes``.
    """
    if ran == "yes" or tries >= MAX_TRIES:
        return False
    return idempotent or ran == "no"
