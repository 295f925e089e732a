"""Which workers may be gone, before it is certain."""

from firhook.decide._suspicion import LATE_S, AnswerWatch, dark_zones

__all__ = ["LATE_S", "AnswerWatch", "dark_zones"]
