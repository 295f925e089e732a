"""The clock that leases are measured with."""

from firhook._clock import boot_time

__all__ = ["boot_time"]
