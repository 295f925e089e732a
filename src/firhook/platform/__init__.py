"""What the platform gives, as interfaces, and their HTTP adapters."""

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

__all__ = [
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
