"""Snapshots carried forward before their records expire."""

from firhook.decide._carry import START_AGE, carry_due, carry_rank

__all__ = ["START_AGE", "carry_due", "carry_rank"]
