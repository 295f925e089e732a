"""One scheduling round of a zone's lead."""

from firhook.decide._endings import QUARANTINED
from firhook.decide._rounds import Scheduler

__all__ = ["QUARANTINED", "Scheduler"]
