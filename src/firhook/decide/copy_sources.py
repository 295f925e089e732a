"""Chooses the peers from which a starting instance copies the cell's records."""

from firhook.decide._copy_sources import choose_copy_sources

__all__ = ["choose_copy_sources"]
