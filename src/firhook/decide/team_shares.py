"""The share of the cell that each team may count on."""

from firhook.decide._team_shares import (
    TeamShares,
    UseHistory,
    build_shares,
    dominant_share,
    water_level,
)

__all__ = [
    "TeamShares",
    "UseHistory",
    "build_shares",
    "dominant_share",
    "water_level",
]
