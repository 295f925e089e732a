"""Decides until when a worker may run tasks without hearing from the lead."""

from firhook.decide._worker_lease import WorkerLease

__all__ = ["WorkerLease"]
