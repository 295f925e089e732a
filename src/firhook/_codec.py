"""Encoding of records for the log and of messages between instances.

Records and messages are attrs classes, encoded by msgspec.  msgspec supports
tagged unions only for its own structs, so each class is registered here, and
its name is sent as a tag next to the encoded object.
"""

from typing import Any, TypeVar

import attrs
import msgspec

from firhook._errors import FrameMalformedError, RecordMalformedError

T = TypeVar("T", bound=type)

_RECORDS: dict[str, type] = {}
_MESSAGES: dict[str, type] = {}


def record(cls: T) -> T:
    """Register an attrs class as a record type of the platform's log."""
    _RECORDS[cls.__name__] = cls
    return cls


def message(cls: T) -> T:
    """Register an attrs class as a type of message between instances."""
    _MESSAGES[cls.__name__] = cls
    return cls


@attrs.frozen(slots=True)
class Envelope:
    """A record with its id.

    The id is the pair of ``lane`` and ``seq``.  A lane is one incarnation of one
    instance; within a lane and a stream, ``seq`` increases monotonically.  A
    reader that tracks the highest ``seq`` of each lane can therefore detect a
    record that was appended again because the first response was lost, and one
    that arrives after its sender abandoned it and appended the next.

    :param lane: the appending instance's name and incarnation.
    :param seq: sequence number in the lane, from 1.
    :param body: the record.
    """

    lane: str
    seq: int
    body: Any


_json_encoder = msgspec.json.Encoder(enc_hook=None)
_msgpack_encoder = msgspec.msgpack.Encoder()


def to_builtins(obj: Any) -> Any:
    """Convert attrs objects to plain dicts, lists and scalars."""
    return msgspec.to_builtins(obj)


def encode_envelope(envelope: Envelope) -> bytes:
    """Encode a record for the log, as JSON so that operators can read it."""
    return _json_encoder.encode(
        [type(envelope.body).__name__, envelope.lane, envelope.seq, envelope.body]
    )


def decode_envelope(payload: bytes) -> Envelope:
    """Decode a record from the log.

    :raises RecordMalformedError: if the payload is not a known record.  This
        depends on the bytes alone, so all readers agree.
    """
    try:
        tag, lane, seq, raw = msgspec.json.decode(
            payload, type=tuple[str, str, int, Any]
        )
        body = msgspec.convert(raw, _RECORDS[tag])
    except (msgspec.MsgspecError, KeyError, ValueError, RecursionError) as exc:
        raise RecordMalformedError(f"record {payload[:80]!r}: {exc}") from exc
    return Envelope(lane, seq, body)


def encode_message(msg: Any) -> bytes:
    """Encode a message between instances."""
    return _msgpack_encoder.encode([type(msg).__name__, msg])


def decode_message(frame: bytes) -> Any:
    """Decode a message between instances.

    :raises FrameMalformedError: if the frame is not a known message.
    """
    try:
        tag, raw = msgspec.msgpack.decode(frame, type=tuple[str, Any])
        return msgspec.convert(raw, _MESSAGES[tag])
    except (msgspec.MsgspecError, KeyError, ValueError, RecursionError) as exc:
        raise FrameMalformedError(f"frame of {len(frame)} bytes: {exc}") from exc
