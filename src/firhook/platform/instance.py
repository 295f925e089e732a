"""The settings file that the platform writes for each instance."""

from firhook.platform._client import Sessions, open_sessions
from firhook.platform._instance import (
    Bounds,
    InstanceSettings,
    StoreLimits,
    load_instance_settings,
)

__all__ = [
    "Bounds",
    "InstanceSettings",
    "Sessions",
    "StoreLimits",
    "load_instance_settings",
    "open_sessions",
]
