"""One round of a zone's lead."""

from firhook.decide._rounds import QUARANTINED, Scheduler

__all__ = ["QUARANTINED", "Scheduler"]
