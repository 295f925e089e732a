"""What the adviser said of each step, and when to ask it again."""

from firhook.decide._tickets import (
    MAX_ASKED,
    AdviceWish,
    StepAdvice,
    Ticket,
    TicketBook,
    wish_for,
    wish_for_others,
)

__all__ = [
    "MAX_ASKED",
    "AdviceWish",
    "StepAdvice",
    "Ticket",
    "TicketBook",
    "wish_for",
    "wish_for_others",
]
