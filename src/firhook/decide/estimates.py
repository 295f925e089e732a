"""What a lead learns from the runs that workers report."""

from firhook.decide._estimates import Estimates

__all__ = ["Estimates"]
