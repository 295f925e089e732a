"""Whether the store can be reached from one instance."""

from firhook.decide._reach import LEAST_LIMIT_S, StoreReach

__all__ = ["LEAST_LIMIT_S", "StoreReach"]
