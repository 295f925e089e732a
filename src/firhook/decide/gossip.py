"""How often an instance tells its peers of itself."""

from firhook.decide._gossip import gossip_interval_s

__all__ = ["gossip_interval_s"]
