"""Transfers of room under a team's limit between zones."""

from firhook.decide._moves import TeamView, choose_move

__all__ = ["TeamView", "choose_move"]
