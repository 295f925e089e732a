"""Estimates the speed of workers from tasks of one step on several of them."""

from firhook.decide._speeds import SpeedEstimator, has_known_start, is_comparable

__all__ = ["SpeedEstimator", "has_known_start", "is_comparable"]
