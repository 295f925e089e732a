"""Decides when refused callers should retry."""

from firhook.decide._return_order import (
    HEADER_STEP_S,
    MAX_RETRIES,
    RefusedCaller,
    ReturnOrder,
    outage_retry_s,
)

__all__ = [
    "HEADER_STEP_S",
    "MAX_RETRIES",
    "RefusedCaller",
    "ReturnOrder",
    "outage_retry_s",
]
