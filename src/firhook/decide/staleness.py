"""What may be served on keys that may have been withdrawn unheard."""

from firhook.decide._staleness import (
    PeerLogView,
    Served,
    StalePolicy,
    served,
    view_age,
)

__all__ = ["PeerLogView", "Served", "StalePolicy", "served", "view_age"]
