"""Admission and dispatch of requests."""

from firhook.decide._admit import (
    REBALANCE_S,
    Dispatcher,
    GivenUp,
    Placed,
    QueueLimits,
    expected_item,
)

__all__ = [
    "REBALANCE_S",
    "Dispatcher",
    "GivenUp",
    "Placed",
    "QueueLimits",
    "expected_item",
]
