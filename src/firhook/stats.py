"""Counters and histograms of one instance, mergeable over the fleet."""

from firhook._stats import Stats

__all__ = ["Stats"]
