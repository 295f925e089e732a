"""Network addresses."""

from firhook._address import Address

__all__ = ["Address"]
