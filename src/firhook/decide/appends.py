"""Whether an instance appends callers' records itself or through the lead."""

from firhook.decide._appends import CROWDED_S, AppendRoute

__all__ = ["CROWDED_S", "AppendRoute"]
