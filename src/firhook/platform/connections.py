"""The clients of the platform's services that an instance of a cell uses."""

from firhook.platform._connections import Connections, HttpConnections

__all__ = ["Connections", "HttpConnections"]
