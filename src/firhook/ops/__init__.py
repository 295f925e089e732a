"""Operators' HTTP handlers, grouped by subject."""

from firhook.ops._config import ConfigRoutes
from firhook.ops._events import EventRoutes
from firhook.ops._health import HealthRoutes
from firhook.ops._metrics import MetricRoutes, render_metrics
from firhook.ops._reports import ReportRoutes

__all__ = [
    "ConfigRoutes",
    "EventRoutes",
    "HealthRoutes",
    "MetricRoutes",
    "ReportRoutes",
    "render_metrics",
]
