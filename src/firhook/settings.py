"""The settings of a daemon, read from INI and checked."""

from firhook._settings import Address, Settings, load_settings, parse_settings

__all__ = ["Address", "Settings", "load_settings", "parse_settings"]
