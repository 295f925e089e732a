"""Token bucket that limits how often running work is stopped for other work."""

from firhook.decide._token_bucket import TokenBucket

__all__ = ["TokenBucket"]
