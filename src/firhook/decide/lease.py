"""Leases on monotonic clocks that may drift."""

from firhook.decide._lease import (
    MAX_CLOCK_DRIFT,
    HeldLease,
    ObservedLease,
    latest_end,
    to_worker_clock,
)

__all__ = [
    "MAX_CLOCK_DRIFT",
    "HeldLease",
    "ObservedLease",
    "latest_end",
    "to_worker_clock",
]
