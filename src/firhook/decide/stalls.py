"""Detects runs that make no progress."""

from firhook.decide._stalls import STALL_TIMEOUT_S, is_stalled, stalled_runs

__all__ = ["STALL_TIMEOUT_S", "is_stalled", "stalled_runs"]
