"""Client of the platform's store."""

from firhook.platform._store import (
    CELL_TOPIC,
    OPERATOR_TOPIC,
    WORKER_TOPIC,
    AppendResult,
    HttpStore,
    KeyedRecord,
    NewestRecords,
    Producer,
    Slice,
    Store,
    StoredRecord,
    encode_keyed_record,
)

__all__ = [
    "CELL_TOPIC",
    "OPERATOR_TOPIC",
    "WORKER_TOPIC",
    "AppendResult",
    "HttpStore",
    "KeyedRecord",
    "NewestRecords",
    "Producer",
    "Slice",
    "Store",
    "StoredRecord",
    "encode_keyed_record",
]
