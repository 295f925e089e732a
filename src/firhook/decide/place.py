"""Which worker gets a task."""

from firhook.decide._place import Need, Room, place, place_gang

__all__ = ["Need", "Room", "place", "place_gang"]
