"""When to claim a zone's lead, and when a lead may lend capacity."""

from firhook.decide._lead import (
    LeadObservation,
    LeadTimes,
    PreviousLead,
    holdings_end_at,
    may_claim,
    may_lend,
)

__all__ = [
    "LeadObservation",
    "LeadTimes",
    "PreviousLead",
    "holdings_end_at",
    "may_claim",
    "may_lend",
]
