"""Gossip interval of an instance."""

from firhook.decide._gossip import gossip_interval_s

__all__ = ["gossip_interval_s"]
