"""Counters and histograms of one instance that merge across the fleet."""

from firhook._stats import WINDOWS_S, ClassStats, FleetStats, MinuteCounts, Stats

__all__ = ["WINDOWS_S", "ClassStats", "FleetStats", "MinuteCounts", "Stats"]
