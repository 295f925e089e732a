"""HTTP clients of the platform's services."""

from firhook.platform._http import HOP_HEADERS, http_platform

__all__ = ["HOP_HEADERS", "http_platform"]
