"""Expected service times."""

from firhook.decide._times import ServiceTimes

__all__ = ["ServiceTimes"]
