"""Which waiting request goes next, and which is refused."""

from firhook.decide._queue import FairQueue, Waiting

__all__ = ["FairQueue", "Waiting"]
