"""Parts of the teams' limits, and the count of what runs under them."""

from firhook.decide._limits import Account
from firhook.decide._tokens import MAX_SPANS, Span, move_tokens, split, zone_parts

__all__ = ["MAX_SPANS", "Account", "Span", "move_tokens", "split", "zone_parts"]
