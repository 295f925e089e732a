"""Helpers for tasks that are not awaited."""

from firhook._tasks import log_failure

__all__ = ["log_failure"]
