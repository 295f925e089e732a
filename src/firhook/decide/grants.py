"""How a zone's lead lends parts of a team's limit to the zone's instances."""

from firhook.decide._grants import GrantBook

__all__ = ["GrantBook"]
