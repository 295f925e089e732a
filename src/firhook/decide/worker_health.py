"""Which workers are left alone because of what became of their runs."""

from firhook.decide._worker_health import WorkerHealth

__all__ = ["WorkerHealth"]
