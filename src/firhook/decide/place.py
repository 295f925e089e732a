"""Which worker gets a task."""

from firhook.decide._place import Need, Room, Rooms

__all__ = ["Need", "Room", "Rooms"]
