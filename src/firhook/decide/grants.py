"""How a zone's lead lends parts of a team's limit to the zone's instances."""

from firhook.decide._grants import (
    CapacityDemand,
    GrantTable,
    guest_holder_of,
    holder_cap,
)

__all__ = ["CapacityDemand", "GrantTable", "guest_holder_of", "holder_cap"]
