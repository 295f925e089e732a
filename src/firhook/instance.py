"""An instance on the platform, and the base class of its services."""

from firhook._instance import (
    ConfigView,
    Instance,
    InstanceService,
    StopBegun,
    register_service,
)

__all__ = ["ConfigView", "Instance", "InstanceService", "StopBegun", "register_service"]
