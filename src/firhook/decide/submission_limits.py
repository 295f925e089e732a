"""Decides whether an instance refuses a submission that would end too late."""

from firhook.decide._submission_limits import (
    MAX_TABLE_AGE_S,
    Refusal,
    SubmissionLimits,
)

__all__ = ["MAX_TABLE_AGE_S", "Refusal", "SubmissionLimits"]
