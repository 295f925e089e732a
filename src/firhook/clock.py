"""The clocks that firhook uses."""

from firhook._clock import boot_time, set_clocks, unix_time

__all__ = ["boot_time", "set_clocks", "unix_time"]
