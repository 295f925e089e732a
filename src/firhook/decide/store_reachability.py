"""Tracks whether an instance can reach the store."""

from firhook.decide._store_reachability import MIN_ANSWER_TIMEOUT_S, StoreReachability

__all__ = ["MIN_ANSWER_TIMEOUT_S", "StoreReachability"]
