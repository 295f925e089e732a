"""Which workers may be gone, before it is certain."""

from firhook.decide._suspicion import OVERDUE_S, ReplyTracker, suspected_zones

__all__ = ["OVERDUE_S", "ReplyTracker", "suspected_zones"]
