"""Whether an instance appends callers' records itself or through the lead."""

#: An append that took longer waited behind those of other instances.
SLOW_APPEND_S = 0.1
#: A lead that did not take a record is left alone for so long, in seconds.
_LEAD_BACKOFF_S = 1.0


class AppendRoute:
    """Sends records through the lead while appends wait for each other.

    Load: a store that is 60 times slower than usual does 16 appends a second on a
    partition, and each of 39 instances makes its own.  Harm: each waits for two
    seconds behind the others or is turned away, and nine in ten callers get no
    answer in time.  The lead appends the records of all in one call.

    An instance that sees an append take long goes through the lead until the
    lead's own appends are quick again, which the lead tells with each answer.  How
    long the way to the lead takes is left out, as on a thin link that says nothing
    of the store.  A store that answers nothing at all is not crowded: a record that
    was not sent yet can be refused truly, and sent by the lead it could not.
    """

    def __init__(self) -> None:
        self._is_slow = False
        self._sent_at: float | None = None
        self._backoff_until = float("-inf")

    def note_append_sent(self, now: float) -> None:
        """Take note that this instance sent an append."""
        self._sent_at = now

    def note_append_ended(self, now: float, answered: bool) -> None:
        """Take note that its append was answered or refused, or else given up."""
        if self._sent_at is not None and answered:
            self._is_slow = now - self._sent_at > SLOW_APPEND_S
        self._sent_at = None

    def note_lead_append(self, seconds: float) -> None:
        """Take note of how long the lead needed to append."""
        self._is_slow = seconds > SLOW_APPEND_S

    def note_lead_failure(self, now: float) -> None:
        """Take note that the lead did not append, or did not say so."""
        self._backoff_until = now + _LEAD_BACKOFF_S

    def should_use_lead(self, now: float, store_answered_at: float) -> bool:
        """Return whether records should go through the lead now.

        :param store_answered_at: when the store last answered any call.
        """
        if now < self._backoff_until:
            return False
        sent_at = self._sent_at
        if sent_at is None or now - sent_at <= SLOW_APPEND_S:
            return self._is_slow
        return store_answered_at > sent_at
