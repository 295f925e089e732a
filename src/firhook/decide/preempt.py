"""Which running tasks give way."""

from firhook.decide._preempt import (
    PreemptBudget,
    broken_gangs,
    choose_victims,
    leaving,
    over_limit,
)

__all__ = [
    "PreemptBudget",
    "broken_gangs",
    "choose_victims",
    "leaving",
    "over_limit",
]
