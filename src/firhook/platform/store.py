"""The platform's store."""

from firhook.platform._store import (
    CELL_TOPIC,
    LEAD_GROUP,
    LEAD_TOPIC,
    OPERATOR_TOPIC,
    WORKER_TOPIC,
    Appended,
    Holder,
    HttpStore,
    KeyedRecord,
    Membership,
    Newest,
    Producer,
    Slice,
    Store,
    StoredRecord,
    encode_keyed,
)

__all__ = [
    "CELL_TOPIC",
    "LEAD_GROUP",
    "LEAD_TOPIC",
    "OPERATOR_TOPIC",
    "WORKER_TOPIC",
    "Appended",
    "Holder",
    "HttpStore",
    "KeyedRecord",
    "Membership",
    "Newest",
    "Producer",
    "Slice",
    "Store",
    "StoredRecord",
    "encode_keyed",
]
