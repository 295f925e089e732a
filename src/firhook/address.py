"""Where something listens."""

from firhook._address import Address

__all__ = ["Address"]
