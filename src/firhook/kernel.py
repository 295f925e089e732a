"""The kernel, with which roles register and whose bus connects them."""

from firhook._bus import Bus, Query
from firhook._kernel import Kernel, Role, load_roles, register_role

__all__ = ["Bus", "Kernel", "Query", "Role", "load_roles", "register_role"]
