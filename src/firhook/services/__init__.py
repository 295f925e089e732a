"""The services of an instance: plug-ins that do I/O around ``cell`` and ``decide``."""
