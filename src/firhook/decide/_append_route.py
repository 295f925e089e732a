"""Chooses whether an instance appends records itself or through the lead."""

#: The lead is not used for this long after it did not answer.
_SILENT_BACKOFF_S = 1.0
#: The lead is not used for this long after it refused a record.  It does so while the
#: store does not answer it, which also happens for a moment when the store turns slow.
_REFUSED_BACKOFF_S = 0.25


class AppendRoute:
    """Sends records through the lead as long as it appends them.

    The load is that of all instances of a cell, some 50 records a second.  The lead
    combines them in one call at a time.  Calls to the store are charged for, and a
    store that is a hundred times slower than usual completes ten of them a second on
    a partition.  If each of 33 instances makes its own, their queue reaches two
    seconds before the first slow answer arrives; callers then get no answer in time,
    and most of them cannot safely submit again.

    Without a lead that appends, an instance makes its own calls.
    """

    def __init__(self) -> None:
        self._backoff_until = float("-inf")

    def note_lead_silent(self, now: float) -> None:
        """Record that the lead did not answer, or that its heartbeat is missing."""
        self._backoff_until = now + _SILENT_BACKOFF_S

    def note_lead_refusal(self, now: float) -> None:
        """Record that the lead certainly did not append a record."""
        self._backoff_until = max(self._backoff_until, now + _REFUSED_BACKOFF_S)

    def should_use_lead(self, now: float) -> bool:
        """Return whether records should go through the lead now."""
        return now >= self._backoff_until
