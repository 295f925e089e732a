"""Leases and clocks."""

from firhook.decide._lease import DRIFT, HeldLease, SeenLease, latest, not_after

__all__ = ["DRIFT", "HeldLease", "SeenLease", "latest", "not_after"]
