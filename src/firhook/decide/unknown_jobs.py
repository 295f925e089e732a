"""Finds accepted jobs that the replica has and the lead's job table lacks."""

from firhook.decide._unknown_jobs import UnknownJob, UnknownJobs, UnknownReason

__all__ = ["UnknownJob", "UnknownJobs", "UnknownReason"]
