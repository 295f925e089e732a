"""Finds the steps that have waited longest, and why."""

from firhook.decide._waiting import WaitingStep, longest_waiting

__all__ = ["WaitingStep", "longest_waiting"]
