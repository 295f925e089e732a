"""The kernel: roles register themselves with it and talk through it."""

from firhook._bus import Bus, Query
from firhook._kernel import Kernel, Role, load_roles, register_role

__all__ = ["Bus", "Kernel", "Query", "Role", "load_roles", "register_role"]
