"""Retries, poison jobs and sick workers."""

from firhook.decide._repair import Ledger, outcome_of, pending, retry_delay_s

__all__ = ["Ledger", "outcome_of", "pending", "retry_delay_s"]
