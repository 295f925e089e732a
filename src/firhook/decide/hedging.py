"""Decides when an order without an answer is sent a second time."""

from firhook.decide._hedging import HedgeTimer

__all__ = ["HedgeTimer"]
