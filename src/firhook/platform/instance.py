"""The settings file that the platform writes for each instance."""

from firhook.platform._instance import (
    Bounds,
    InstanceSettings,
    StoreLimits,
    load_instance_settings,
)
from firhook.platform._sessions import Sessions, open_sessions

__all__ = [
    "Bounds",
    "InstanceSettings",
    "Sessions",
    "StoreLimits",
    "load_instance_settings",
    "open_sessions",
]
