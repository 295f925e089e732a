"""State of the claims that this instance made."""

from firhook.decide._claims import Claim, ClaimTable, Phase, SendStatus

__all__ = ["Claim", "ClaimTable", "Phase", "SendStatus"]
