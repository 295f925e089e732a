"""The command-line tool ``firhook``."""

from firhook.cli._main import main

__all__ = ["main"]
