"""Keeps the adviser's answers for each step and decides when to ask again."""

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
