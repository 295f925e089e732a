"""Retries of requests to runners."""

from firhook.decide._retry import IDEMPOTENT, MAX_TRIES, RetryBudget, may_resend

__all__ = ["IDEMPOTENT", "MAX_TRIES", "RetryBudget", "may_resend"]
