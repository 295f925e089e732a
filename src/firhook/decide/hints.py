"""Bounds and checks of the learned values that a lead sends to its successors."""

from firhook.decide._hints import (
    MAX_AGE_S,
    MAX_BYTES,
    MAX_ROWS,
    MAX_SOURCES,
    HintSource,
    KeptHints,
    build_hints,
    message_fault,
    rows_fault,
)

__all__ = [
    "MAX_AGE_S",
    "MAX_BYTES",
    "MAX_ROWS",
    "MAX_SOURCES",
    "HintSource",
    "KeptHints",
    "build_hints",
    "message_fault",
    "rows_fault",
]
