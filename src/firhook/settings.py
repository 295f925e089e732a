"""Settings of the daemon, read from INI and validated."""

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
