"""Estimates the speed of workers from tasks of one step on several of them."""

from firhook.decide._speeds import SpeedEstimator

__all__ = ["SpeedEstimator"]
