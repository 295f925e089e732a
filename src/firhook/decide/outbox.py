"""Group commit, and the settling of appends whose answer was lost."""

from firhook.decide._outbox import MAX_BATCH, Outbox, OutgoingRecord

__all__ = ["MAX_BATCH", "Outbox", "OutgoingRecord"]
