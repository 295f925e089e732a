"""What may be served on keys whose withdrawal may not have arrived."""

from firhook.decide._staleness import (
    PeerLogView,
    ServiceLevel,
    StalenessPolicy,
    allowed_service,
    view_age_s,
)

__all__ = [
    "PeerLogView",
    "ServiceLevel",
    "StalenessPolicy",
    "allowed_service",
    "view_age_s",
]
