"""Retries of failed requests."""

from firhook.decide._retry import IDEMPOTENT_METHODS, MAX_TRIES, RetryBudget, may_resend

__all__ = ["IDEMPOTENT_METHODS", "MAX_TRIES", "RetryBudget", "may_resend"]
