"""Group commit of records to the log."""

from firhook.decide._outbox import MAX_BATCH, Outbox, OutgoingRecord

__all__ = ["MAX_BATCH", "Outbox", "OutgoingRecord"]
