"""Claims of keyed non-idempotent requests, as their holder knows them."""

from firhook.decide._claims import Claim, ClaimTable, Phase, SendStatus

__all__ = ["Claim", "ClaimTable", "Phase", "SendStatus"]
