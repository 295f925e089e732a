"""Which worker gets a task."""

from firhook.decide._place import CapacityIndex, ResourceNeed, WorkerCapacity

__all__ = ["CapacityIndex", "ResourceNeed", "WorkerCapacity"]
