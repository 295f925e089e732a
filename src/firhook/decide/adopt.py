"""When a zone counts as lost, and which zone adopts its jobs."""

from firhook.decide._adopt import (
    MAX_LOG_AGE_S,
    LeadActivity,
    choose_adopter,
    tasks_to_carry,
)

__all__ = ["MAX_LOG_AGE_S", "LeadActivity", "choose_adopter", "tasks_to_carry"]
