"""How often an instance tells its peers of itself."""

from firhook.decide._gossip import gossip_every

__all__ = ["gossip_every"]
