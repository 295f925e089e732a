"""Fair queue of requests."""

from firhook.decide._queue import CLASSES, FairQueue, QueuedRequest

__all__ = ["CLASSES", "FairQueue", "QueuedRequest"]
