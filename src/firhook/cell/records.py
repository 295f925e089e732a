"""The records of a cell's topic, with their keys and their encoding."""

from firhook.cell._records import (
    CANCEL_PREFIX,
    INSTANCE_KEYS_AFTER,
    INSTANCE_KEYS_BEFORE,
    JOB_PREFIX,
    LEAD_KEY,
    MESH_KEY,
    PEER_PREFIX,
    STATE_PREFIX,
    decode_record,
    decode_state_summary,
    digest_job,
    digest_state,
    digest_value,
    encode_record,
    epoch_of,
    state_version,
)

__all__ = [
    "CANCEL_PREFIX",
    "INSTANCE_KEYS_AFTER",
    "INSTANCE_KEYS_BEFORE",
    "JOB_PREFIX",
    "LEAD_KEY",
    "MESH_KEY",
    "PEER_PREFIX",
    "STATE_PREFIX",
    "decode_record",
    "decode_state_summary",
    "digest_job",
    "digest_state",
    "digest_value",
    "encode_record",
    "epoch_of",
    "state_version",
]
