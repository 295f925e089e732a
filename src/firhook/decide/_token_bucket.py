"""Token bucket that limits how often running work is stopped for other work."""

import math

import attrs


@attrs.define(slots=True)
class TokenBucket:
    """Tokens that accrue at a rate, up to a burst; it starts full.

    :param rate: tokens per second.
    :param burst: the largest number of tokens.
    """

    rate: float
    burst: float
    _tokens: float = attrs.field(init=False)
    _updated_at: float = attrs.field(default=-math.inf, init=False)

    def __attrs_post_init__(self) -> None:
        """Start with a full bucket."""
        self._tokens = self.burst

    def available(self, now: float) -> int:
        """Return how many tokens may be spent now."""
        if self._updated_at > -math.inf:
            gained = (now - self._updated_at) * self.rate
            self._tokens = min(self._tokens + gained, self.burst)
        self._updated_at = now
        return int(self._tokens)

    def spend(self, count: int) -> None:
        """Take tokens."""
        self._tokens -= count
