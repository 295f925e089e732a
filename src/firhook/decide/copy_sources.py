"""From whom a starting instance learns what it needs of the cell's records."""

from firhook.decide._copy_sources import choose_copy_sources

__all__ = ["choose_copy_sources"]
