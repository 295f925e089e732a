"""The settings file that the platform writes for each instance."""

from firhook.platform._client import new_session
from firhook.platform._instance import (
    Bounds,
    InstanceSettings,
    StoreLimits,
    load_instance_settings,
)

__all__ = [
    "Bounds",
    "InstanceSettings",
    "StoreLimits",
    "load_instance_settings",
    "new_session",
]
