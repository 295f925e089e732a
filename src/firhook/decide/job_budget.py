"""What the cell's jobs may take, and whether another job fits."""

from firhook.decide._job_budget import has_room, job_limits, smallest_memory_mb

__all__ = ["has_room", "job_limits", "smallest_memory_mb"]
