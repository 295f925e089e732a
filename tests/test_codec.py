"""Round trips of records and messages, and typed errors for malformed input."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from firhook.errors import FrameMalformedError, RecordMalformedError
from firhook.model import (
    Envelope,
    GrantAsk,
    JobAccepted,
    JobSpec,
    Row,
    RowsChanged,
    TeamRoom,
    decode_envelope,
    decode_message,
    encode_envelope,
    encode_message,
)


@pytest.mark.parametrize(
    "body",
    [
        RowsChanged(3, (Row("plans", "small", {"share": "1"}),), "root"),
        RowsChanged(3, (Row("plans", "small", None),)),
        JobAccepted(JobSpec("a", "t", deadline_s=3.0), "ikeja"),
    ],
)
def test_record_round_trip(body):
    envelope = Envelope("i#1", 7, body)
    assert decode_envelope(encode_envelope(envelope)) == envelope


def test_message_round_trip():
    msg = GrantAsk("i#1", 1, 2, 0.5, (TeamRoom("t", 3, 1),))
    assert decode_message(encode_message(msg)) == msg


@given(st.binary(max_size=200))
def test_rubbish_gets_a_typed_error(data):
    with pytest.raises(RecordMalformedError):
        decode_envelope(data)
    with pytest.raises(FrameMalformedError):
        decode_message(data)
