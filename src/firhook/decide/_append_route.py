"""Chooses whether an instance appends records itself or through the lead."""

#: A slower append has queued behind those of other instances.
SLOW_APPEND_S = 0.1
#: The lead is not used for this long after it failed to append a record.
_LEAD_BACKOFF_S = 1.0


class AppendRoute:
    """Sends records through the lead while appends to the store contend.

    A store that is 60 times slower than usual completes 16 appends a second on a
    partition.  If each of 39 instances makes its own, every append waits two
    seconds behind the others or is rejected, and nine in ten callers get no answer
    in time.  The lead combines the records of all instances in one call.

    An instance whose append was slow uses the lead until the lead's own appends are
    fast again; the lead reports their duration with each reply.  The round trip to
    the lead does not count: on a slow link it says nothing about the store.

    A store that answers nothing at all does not count as slow.  An instance can
    refuse a record that it has not sent, but once the record went to the lead its
    outcome is unknown.
    """

    def __init__(self) -> None:
        self._is_slow = False
        self._sent_at: float | None = None
        self._backoff_until = float("-inf")

    def note_append_sent(self, now: float) -> None:
        """Record that this instance sent an append to the store."""
        self._sent_at = now

    def note_append_ended(self, now: float, answered: bool) -> None:
        """Record the end of this instance's append.

        :param answered: whether the store accepted or refused it; ``False`` if it
            was given up.
        """
        if self._sent_at is not None and answered:
            self._is_slow = now - self._sent_at > SLOW_APPEND_S
        self._sent_at = None

    def note_lead_append(self, seconds: float) -> None:
        """Record how long the lead's append took."""
        self._is_slow = seconds > SLOW_APPEND_S

    def note_lead_failure(self, now: float) -> None:
        """Record that the lead did not append, or did not confirm it."""
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
