"""Suspects workers of having failed before a timeout proves it."""

from firhook.decide._suspicion import OVERDUE_S, ReplyTracker, suspected_zones

__all__ = ["OVERDUE_S", "ReplyTracker", "suspected_zones"]
