"""Decides which waiting tasks start now, and on which workers."""

from firhook.decide._round_memory import RoundMemory
from firhook.decide._schedule import (
    LATE_FACTOR,
    Placement,
    Round,
    RoundResult,
    place_round,
    urgency,
)
from firhook.decide._urgent_headroom import UrgentHeadroom
from firhook.decide._wait_reasons import WaitReason
from firhook.decide._worker_views import WorkerView, urgent_headroom_m

__all__ = [
    "LATE_FACTOR",
    "Placement",
    "Round",
    "RoundMemory",
    "RoundResult",
    "UrgentHeadroom",
    "WaitReason",
    "WorkerView",
    "place_round",
    "urgency",
    "urgent_headroom_m",
]
