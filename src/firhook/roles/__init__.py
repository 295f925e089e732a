"""The roles of the daemon: plug-ins with I/O, thin over decisions and state."""
