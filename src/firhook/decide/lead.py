"""When to claim a zone's lead, and when its holder may lend room."""

from firhook.decide._lead import (
    LeadTimes,
    Sight,
    TakeOver,
    may_claim,
    may_lend,
    silent_until,
)

__all__ = [
    "LeadTimes",
    "Sight",
    "TakeOver",
    "may_claim",
    "may_lend",
    "silent_until",
]
