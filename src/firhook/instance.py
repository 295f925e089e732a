"""An instance on the platform: a tree of services that register themselves."""

from firhook._instance import (
    ConfigView,
    Instance,
    InstanceService,
    StopBegun,
    register_service,
)

__all__ = ["ConfigView", "Instance", "InstanceService", "StopBegun", "register_service"]
