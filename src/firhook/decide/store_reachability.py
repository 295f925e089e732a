"""Whether the store can be reached from one instance."""

from firhook.decide._store_reachability import MIN_ANSWER_TIMEOUT_S, StoreReachability

__all__ = ["MIN_ANSWER_TIMEOUT_S", "StoreReachability"]
