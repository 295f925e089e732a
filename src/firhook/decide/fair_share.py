"""Order of task placement by fair shares."""

from firhook.decide._fair_share import (
    GANG_RESERVE_AFTER_S,
    RUN_TIME_MARGIN,
    Placement,
    PlacementPlan,
    Reservation,
    TaskRequest,
    dominant_share,
    plan_placements,
)

__all__ = [
    "GANG_RESERVE_AFTER_S",
    "RUN_TIME_MARGIN",
    "Placement",
    "PlacementPlan",
    "Reservation",
    "TaskRequest",
    "dominant_share",
    "plan_placements",
]
