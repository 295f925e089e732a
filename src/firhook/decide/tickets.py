"""What the adviser said of each step, and when to ask it again."""

from firhook.decide._tickets import (
    MAX_WORKERS_PER_REQUEST,
    AdviceRequest,
    StepAdvice,
    Ticket,
    TicketTable,
    more_workers_request,
    next_advice_request,
)

__all__ = [
    "MAX_WORKERS_PER_REQUEST",
    "AdviceRequest",
    "StepAdvice",
    "Ticket",
    "TicketTable",
    "more_workers_request",
    "next_advice_request",
]
