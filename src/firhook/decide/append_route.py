"""Chooses whether an instance appends records itself or through the lead."""

from firhook.decide._append_route import AppendRoute

__all__ = ["AppendRoute"]
