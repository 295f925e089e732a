"""Whether an instance stands for the lead of a cell."""

from firhook.decide._candidacy import PATIENCE_S, STRONGER_FACTOR, Candidacy

__all__ = ["PATIENCE_S", "STRONGER_FACTOR", "Candidacy"]
