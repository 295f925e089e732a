"""Chooses whether an instance appends records itself or through the lead."""

from firhook.decide._append_route import SLOW_APPEND_S, AppendRoute

__all__ = ["SLOW_APPEND_S", "AppendRoute"]
