"""What is read of the settings file before anything else is imported."""

from firhook.platform._early import callers_address

__all__ = ["callers_address"]
