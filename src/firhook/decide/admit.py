"""Admission and dispatch of requests."""

from firhook.decide._admit import (
    REBALANCE_S,
    DispatchedRequest,
    Dispatcher,
    QueueLimits,
    RefusedRequest,
    make_queued_request,
)

__all__ = [
    "REBALANCE_S",
    "DispatchedRequest",
    "Dispatcher",
    "QueueLimits",
    "RefusedRequest",
    "make_queued_request",
]
