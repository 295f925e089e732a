"""Group commit, and the settling of appends whose answer was lost."""

from firhook.decide._commit import MAX_BATCH, Outbox, Outgoing

__all__ = ["MAX_BATCH", "Outbox", "Outgoing"]
