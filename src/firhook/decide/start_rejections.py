"""Decides where a task may start after workers rejected its start as malformed."""

from firhook.decide._start_rejections import (
    INITIAL_HOLD_S,
    MAX_HOLD_S,
    StartRejections,
)

__all__ = [
    "INITIAL_HOLD_S",
    "MAX_HOLD_S",
    "StartRejections",
]
