"""Adapter to the platform: its names, its formats and the clients of its services."""
