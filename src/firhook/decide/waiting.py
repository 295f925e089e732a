"""Reports which steps wait, for how long and why."""

from firhook.decide._waiting import (
    ReasonTotal,
    Room,
    RoundView,
    WaitingReport,
    WaitingStep,
    WaitLimits,
    WaitMonitor,
)

__all__ = [
    "ReasonTotal",
    "Room",
    "RoundView",
    "WaitLimits",
    "WaitMonitor",
    "WaitingReport",
    "WaitingStep",
]
