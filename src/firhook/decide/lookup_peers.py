"""Whom an instance asks for what its own replica cannot tell."""

from firhook.decide._lookup_peers import MAX_LOOKUP_PEERS, choose_lookup_peers

__all__ = ["MAX_LOOKUP_PEERS", "choose_lookup_peers"]
