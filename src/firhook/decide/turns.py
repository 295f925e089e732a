"""Whose task is placed next."""

from firhook.decide._turns import (
    DISTRUST,
    GANG_AGE_S,
    Placement,
    Plan,
    Reservation,
    Want,
    dominant_share,
    plan_turns,
)

__all__ = [
    "DISTRUST",
    "GANG_AGE_S",
    "Placement",
    "Plan",
    "Reservation",
    "Want",
    "dominant_share",
    "plan_turns",
]
