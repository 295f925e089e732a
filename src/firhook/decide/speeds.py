"""How fast workers are, learned from tasks of one step on several of them."""

from firhook.decide._speeds import SpeedBook

__all__ = ["SpeedBook"]
