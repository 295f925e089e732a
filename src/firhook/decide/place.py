"""Placement of tasks on workers."""

from firhook.decide._place import CapacityIndex, ResourceNeed, WorkerCapacity

__all__ = ["CapacityIndex", "ResourceNeed", "WorkerCapacity"]
