"""What the adviser said of each step, and when to ask it again."""

from firhook.decide._tickets import (
    AdviceWish,
    AdviserSeat,
    StepAdvice,
    Ticket,
    TicketBook,
    choose_seat,
    reserve_seats,
    wish_for,
)

__all__ = [
    "AdviceWish",
    "AdviserSeat",
    "StepAdvice",
    "Ticket",
    "TicketBook",
    "choose_seat",
    "reserve_seats",
    "wish_for",
]
