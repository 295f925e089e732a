"""Sets the retry delay of callers that the store's outage keeps from being served."""

import random

from firhook.clock import boot_time
from firhook.decide.return_order import outage_retry_s
from firhook.errors import (
    FirhookError,
    LogOutcomeUnknownError,
    LogUnavailableError,
    NotReadyError,
    SubmissionUnknownError,
    ZoneStaleError,
)

#: The errors that callers get while the store does not serve this instance.
_OUTAGE_ERRORS = (
    LogOutcomeUnknownError,
    LogUnavailableError,
    NotReadyError,
    SubmissionUnknownError,
    ZoneStaleError,
)
#: Longer than the longest delay that callers are given.
_FORGET_S = 8.0


class OutageClock:
    """Measures for how long requests have failed because of the store.

    Queries that the replica answers do not end an outage.  One in which no request
    fails for :data:`_FORGET_S` has ended, although nothing was appended since.

    :param seed: seed of the spread of the delays, such as the instance's name.
    """

    def __init__(self, seed: str) -> None:
        self._random = random.Random(seed)
        self._since = self._failed_at = float("-inf")

    def note_stored(self) -> None:
        """Record that the store accepted a record of a caller."""
        self._failed_at = float("-inf")

    def set_retry(self, exc: FirhookError, began: float) -> None:
        """Set the retry delay of an error that an outage explains.

        :param began: when the request arrived.
        """
        if not isinstance(exc, _OUTAGE_ERRORS):
            return
        now = boot_time()
        if now - self._failed_at > _FORGET_S:
            self._since = began
        self._failed_at = now
        unavailable_for_s = now - self._since
        exc.retry_after_s = outage_retry_s(unavailable_for_s, self._random.random())
