"""The CPU need of recent urgent work, for which workers keep headroom."""

from firhook.decide._urgent_need import UrgentNeed

__all__ = ["UrgentNeed"]
