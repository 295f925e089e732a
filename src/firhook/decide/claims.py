"""Claims of keyed non-idempotent requests, as their holder knows them."""

from firhook.decide._claims import Claim, ClaimBook, Phase, Sent

__all__ = ["Claim", "ClaimBook", "Phase", "Sent"]
