"""Decides which start a lead sends next, and when it plans no more of them."""

from firhook.decide._start_queue import (
    MAX_ANSWER_S,
    MAX_WINDOW,
    StartQueue,
    StartWindow,
    has_valid_ticket,
)

__all__ = [
    "MAX_ANSWER_S",
    "MAX_WINDOW",
    "StartQueue",
    "StartWindow",
    "has_valid_ticket",
]
