"""Decides which waiting tasks start now, and on which workers."""

from firhook.decide._schedule import (
    Placement,
    Round,
    RoundResult,
    WaitReason,
    WorkerView,
    place_round,
    urgency,
    urgent_headroom_m,
)

__all__ = [
    "Placement",
    "Round",
    "RoundResult",
    "WaitReason",
    "WorkerView",
    "place_round",
    "urgency",
    "urgent_headroom_m",
]
