"""Counters and latency histograms of one instance."""

from firhook._meters import Meters

__all__ = ["Meters"]
