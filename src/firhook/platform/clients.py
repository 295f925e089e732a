"""Interfaces to the log, the instance list, workers and runners."""

from firhook._orders import Order, Report, StartOrder, StopOrder, TaskReport
from firhook.platform._base import (
    Endpoint,
    EndpointClient,
    Exchange,
    InstanceList,
    LogEntry,
    LogPage,
    LogService,
    Platform,
    WorkerClient,
)
from firhook.platform._counted import CountedLog

__all__ = [
    "CountedLog",
    "Endpoint",
    "EndpointClient",
    "Exchange",
    "InstanceList",
    "LogEntry",
    "LogPage",
    "LogService",
    "Order",
    "Platform",
    "Report",
    "StartOrder",
    "StopOrder",
    "TaskReport",
    "WorkerClient",
]
