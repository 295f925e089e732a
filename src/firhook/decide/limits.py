"""Upper limits over the whole fleet, kept without asking anyone."""

from firhook.decide._limits import Account, split, zone_parts

__all__ = ["Account", "split", "zone_parts"]
