"""Roles of the daemon: plug-ins that do the I/O around ``decide`` and ``state``."""
