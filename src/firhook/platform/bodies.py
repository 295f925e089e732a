"""Conversion between the platform's JSON bodies and firhook's types."""

from firhook.platform._config import CONFIG_KEY, decode_config, decode_drained_zone
from firhook.platform._fields import FieldError
from firhook.platform._jobs import (
    JOB_ID,
    decode_job,
    encode_pending,
    encode_status,
)
from firhook.platform._workers import (
    decode_advice,
    decode_order_answer,
    decode_poll_reply,
    decode_worker,
)

__all__ = [
    "CONFIG_KEY",
    "JOB_ID",
    "FieldError",
    "decode_advice",
    "decode_config",
    "decode_drained_zone",
    "decode_job",
    "decode_order_answer",
    "decode_poll_reply",
    "decode_worker",
    "encode_pending",
    "encode_status",
]
