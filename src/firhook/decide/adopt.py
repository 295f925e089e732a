"""When a zone counts as lost, and which other zone adopts its jobs."""

from firhook.decide._adopt import SIGHT_S, Sight, adopter, carried

__all__ = ["SIGHT_S", "Sight", "adopter", "carried"]
