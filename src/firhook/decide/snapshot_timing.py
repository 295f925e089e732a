"""Snapshots carried forward before their records expire."""

from firhook.decide._snapshot_timing import (
    INITIAL_AGE_FRACTION,
    is_snapshot_due,
    snapshot_rank,
)

__all__ = ["INITIAL_AGE_FRACTION", "is_snapshot_due", "snapshot_rank"]
