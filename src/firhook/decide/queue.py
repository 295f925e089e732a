"""Fair queueing of requests."""

from firhook.decide._queue import CLASSES, FairQueue, Waiting

__all__ = ["CLASSES", "FairQueue", "Waiting"]
