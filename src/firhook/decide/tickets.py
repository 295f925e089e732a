"""What the adviser said of each step, and when to ask it again."""

from firhook.decide._tickets import (
    AdviceWish,
    StepAdvice,
    Ticket,
    TicketBook,
    wish_for,
)

__all__ = [
    "AdviceWish",
    "StepAdvice",
    "Ticket",
    "TicketBook",
    "wish_for",
]
