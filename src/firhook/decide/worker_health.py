"""Which workers are left alone because of what became of their runs."""

from firhook.decide._worker_health import (
    FAILURES_IN_A_ROW,
    FIRST_REST_S,
    WorkerHealth,
)

__all__ = ["FAILURES_IN_A_ROW", "FIRST_REST_S", "WorkerHealth"]
