"""The services of an instance: plug-ins with I/O, thin over cell and decide."""
