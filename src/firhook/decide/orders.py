"""A zone lead's orders to its workers, and the detection of ended attempts."""

from firhook.decide._orders import (
    ORDER_TTL_S,
    LeadTerm,
    LeaseStatus,
    Timing,
    WorkerView,
)

__all__ = ["ORDER_TTL_S", "LeadTerm", "LeaseStatus", "Timing", "WorkerView"]
