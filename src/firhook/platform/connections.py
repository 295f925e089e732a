"""An instance's clients of the platform's services."""

from firhook.platform._connections import Connections, HttpConnections

__all__ = ["Connections", "HttpConnections"]
