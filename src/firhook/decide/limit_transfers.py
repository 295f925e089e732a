"""Transfers of capacity under a team's limit between zones."""

from firhook.decide._limit_transfers import TeamCapacity, choose_transfer

__all__ = ["TeamCapacity", "choose_transfer"]
