"""Which waiting tasks start now, and where."""

from firhook.decide._schedule import (
    Placement,
    Round,
    RoundResult,
    Wait,
    WorkerView,
    place_round,
    urgency,
    urgent_room_m,
)

__all__ = [
    "Placement",
    "Round",
    "RoundResult",
    "Wait",
    "WorkerView",
    "place_round",
    "urgency",
    "urgent_room_m",
]
