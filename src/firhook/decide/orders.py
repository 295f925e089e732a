"""What a zone's lead orders of its workers, and which attempts have ended."""

from firhook.decide._orders import (
    ORDER_TTL_S,
    LeadTerm,
    LeaseStatus,
    Timing,
    WorkerView,
)

__all__ = ["ORDER_TTL_S", "LeadTerm", "LeaseStatus", "Timing", "WorkerView"]
