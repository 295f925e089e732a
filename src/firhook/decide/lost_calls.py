"""Decides how long to wait for the answer to a poll while calls get lost."""

from firhook.decide._lost_calls import MAX_TIMEOUT_S, AnswerTimer, LostCalls

__all__ = ["MAX_TIMEOUT_S", "AnswerTimer", "LostCalls"]
