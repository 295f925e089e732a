"""Tasks that nobody waits for."""

from firhook._tasks import log_failure

__all__ = ["log_failure"]
