"""What leases mean to their holders and to others."""

from firhook.decide._lease import DRIFT, HeldLease, SeenLease, not_after

__all__ = ["DRIFT", "HeldLease", "SeenLease", "not_after"]
