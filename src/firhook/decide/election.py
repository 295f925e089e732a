"""Decides which instance campaigns to lead a cell, and when."""

from firhook.decide._election import (
    LEAD_TIMEOUT_S,
    STRONGER_FACTOR,
    Candidate,
    Election,
    is_much_stronger,
    succession_order,
)

__all__ = [
    "LEAD_TIMEOUT_S",
    "STRONGER_FACTOR",
    "Candidate",
    "Election",
    "is_much_stronger",
    "succession_order",
]
