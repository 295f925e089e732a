"""Runs that make no progress."""

from firhook.decide._stalls import STALL_S, stalled, standing_still

__all__ = ["STALL_S", "stalled", "standing_still"]
