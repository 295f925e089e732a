"""All that an instance reaches of the platform, in one place."""

from firhook.platform._connections import Connections, HttpConnections

__all__ = ["Connections", "HttpConnections"]
