"""When snapshots are made, before the records that they cover expire."""

from firhook.decide._snapshot_timing import (
    INITIAL_AGE_FRACTION,
    is_snapshot_due,
    snapshot_rank,
)

__all__ = ["INITIAL_AGE_FRACTION", "is_snapshot_due", "snapshot_rank"]
