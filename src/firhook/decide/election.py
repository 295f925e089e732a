"""Which instance stands for the lead of a cell, and when."""

from firhook.decide._election import (
    SILENT_S,
    STRONGER_FACTOR,
    Candidate,
    Election,
    line_of_succession,
    much_stronger,
)

__all__ = [
    "SILENT_S",
    "STRONGER_FACTOR",
    "Candidate",
    "Election",
    "line_of_succession",
    "much_stronger",
]
