"""Chooses checkpointed runs to stop for work that is in time only if it starts now."""

from firhook.decide._eviction import (
    EVICTION_BURST,
    EVICTIONS_PER_S,
    MAX_EVICTED_RUN,
    MIN_GAIN_FACTOR,
    EvictionBudget,
    ShareView,
    Stop,
    choose_stops,
)
from firhook.decide._gang_reservations import EVICTED

__all__ = [
    "EVICTED",
    "EVICTIONS_PER_S",
    "EVICTION_BURST",
    "MAX_EVICTED_RUN",
    "MIN_GAIN_FACTOR",
    "EvictionBudget",
    "ShareView",
    "Stop",
    "choose_stops",
]
