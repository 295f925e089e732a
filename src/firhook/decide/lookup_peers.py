"""Chooses the peers that answer what an instance's own replica cannot."""

from firhook.decide._lookup_peers import MAX_LOOKUP_PEERS, choose_lookup_peers

__all__ = ["MAX_LOOKUP_PEERS", "choose_lookup_peers"]
