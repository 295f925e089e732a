"""Which runner gets a request."""

from firhook.decide._route import Router, RunnerView

__all__ = ["Router", "RunnerView"]
