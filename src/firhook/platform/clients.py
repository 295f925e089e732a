"""Interfaces of the clients of the log, the instance list, workers and runners."""

from firhook._orders import Order, Report, StartOrder, StopOrder, TaskReport
from firhook.platform._base import (
    Endpoint,
    EndpointClient,
    EndpointResponse,
    InstanceList,
    LogEntry,
    LogPage,
    LogService,
    Platform,
    WorkerClient,
)
from firhook.platform._counting_log import CountingLog

__all__ = [
    "CountingLog",
    "Endpoint",
    "EndpointClient",
    "EndpointResponse",
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
