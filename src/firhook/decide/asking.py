"""Whom an instance asks for what its own replica cannot tell."""

from firhook.decide._asking import MOST_ASKED, whom_to_ask

__all__ = ["MOST_ASKED", "whom_to_ask"]
