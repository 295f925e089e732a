"""The settings of a daemon, read from INI and checked."""

from firhook._settings import (
    Option,
    Settings,
    describe_options,
    load_settings,
    parse_settings,
)

__all__ = [
    "Option",
    "Settings",
    "describe_options",
    "load_settings",
    "parse_settings",
]
