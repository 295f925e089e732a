"""Clients of the workers and of the adviser."""

from firhook.platform._workers import (
    ORDER_TIMEOUT_S,
    Adviser,
    HttpAdviser,
    HttpWorkers,
    Workers,
)

__all__ = ["ORDER_TIMEOUT_S", "Adviser", "HttpAdviser", "HttpWorkers", "Workers"]
