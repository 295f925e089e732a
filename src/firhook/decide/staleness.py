"""What may be served on keys that may have been withdrawn unheard."""

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
