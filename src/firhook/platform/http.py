"""HTTP adapters of the platform's interfaces."""

from firhook.platform._http import HOP_HEADERS, http_platform

__all__ = ["HOP_HEADERS", "http_platform"]
