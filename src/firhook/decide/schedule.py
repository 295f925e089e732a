"""Which waiting tasks start now, and where."""

from firhook.decide._schedule import (
    Placement,
    RoundResult,
    WorkerView,
    place_round,
    urgency,
)

__all__ = ["Placement", "RoundResult", "WorkerView", "place_round", "urgency"]
