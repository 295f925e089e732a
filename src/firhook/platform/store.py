"""The platform's store."""

from firhook.platform._store import (
    CELL_TOPIC,
    OPERATOR_TOPIC,
    WORKER_TOPIC,
    Appended,
    HttpStore,
    KeyedRecord,
    Newest,
    Producer,
    Slice,
    Store,
    StoredRecord,
    encode_keyed,
)

__all__ = [
    "CELL_TOPIC",
    "OPERATOR_TOPIC",
    "WORKER_TOPIC",
    "Appended",
    "HttpStore",
    "KeyedRecord",
    "Newest",
    "Producer",
    "Slice",
    "Store",
    "StoredRecord",
    "encode_keyed",
]
