"""Decides which workers get no new work because their runs or starts failed."""

from firhook.decide._worker_health import (
    FAILURE_WINDOW_S,
    INITIAL_BACKOFF_S,
    MAX_BACKOFF_S,
    MAX_CONSECUTIVE_FAILURES,
    WorkerHealth,
    may_back_off,
)

__all__ = [
    "FAILURE_WINDOW_S",
    "INITIAL_BACKOFF_S",
    "MAX_BACKOFF_S",
    "MAX_CONSECUTIVE_FAILURES",
    "WorkerHealth",
    "may_back_off",
]
