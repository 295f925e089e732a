"""Admission and dispatch of requests."""

from firhook.decide._admit import (
    LONG_S,
    Dispatcher,
    GivenUp,
    Placed,
    QueueLimits,
    expected_item,
)

__all__ = [
    "LONG_S",
    "Dispatcher",
    "GivenUp",
    "Placed",
    "QueueLimits",
    "expected_item",
]
