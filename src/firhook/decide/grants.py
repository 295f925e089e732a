"""How a zone's lead lends parts of a team's limit to the zone's instances."""

from firhook.decide._grants import Demand, GrantBook, guests_of, holder_cap

__all__ = ["Demand", "GrantBook", "guests_of", "holder_cap"]
