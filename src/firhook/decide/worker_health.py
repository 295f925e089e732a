"""Which workers are left alone because of what became of their runs."""

from firhook.decide._worker_health import (
    INITIAL_BACKOFF_S,
    MAX_CONSECUTIVE_FAILURES,
    WorkerHealth,
)

__all__ = ["INITIAL_BACKOFF_S", "MAX_CONSECUTIVE_FAILURES", "WorkerHealth"]
