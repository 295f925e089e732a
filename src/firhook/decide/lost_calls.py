"""Decides how long to wait for the answer to a poll while calls get lost."""

from firhook.decide._lost_calls import FIRST_TIMEOUT_S, AnswerTimer, LostCalls

__all__ = ["FIRST_TIMEOUT_S", "AnswerTimer", "LostCalls"]
