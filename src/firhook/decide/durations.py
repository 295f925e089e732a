"""Learns how long the tasks of each queue and team take."""

from firhook.decide._durations import DurationEstimator

__all__ = ["DurationEstimator"]
