"""Reads the part of the settings file that is needed before all other imports."""

from firhook.platform._early import callers_address

__all__ = ["callers_address"]
