"""Bodies that other writers left: each is decoded, or refused with a typed error."""

import asyncio
import socket
import sys

import msgspec
import pytest
from hypothesis import example, given
from hypothesis import strategies as st

from firhook.address import Address
from firhook.cell import AcceptedJob, JobState
from firhook.cell.records import decode_record, decode_state_summary
from firhook.errors import (
    PlatformUnavailableError,
    RecordMalformedError,
    RequestMalformedError,
)
from firhook.platform._client import (
    NoResponseError,
    NotSentError,
    Response,
    call,
    new_session,
)
from firhook.platform._http import decode_endpoints
from firhook.platform._store import _decode_slice
from firhook.platform.bodies import (
    FieldError,
    decode_advice,
    decode_config,
    decode_job,
    decode_order_answer,
    decode_poll_reply,
    decode_worker,
)
from tests.platform.test_bodies import CONFIG, ENTRY

JOB = {"specification": "x", "steps": [{"count": 1, "after": [], "millicpus": 5}]}
REPLY = {
    "timestamp_ms": 5,
    "born": 7,
    "running": [["j.0.0.0", 1, "", 40, None]],
    "finished": [[1, "j.0.0.1", 1, "done", ""]],
}
ANSWER = {"timestamp_ms": 5, "born": 7, "reason": "fence"}
ADVICE = {"good": [["w", "ticket"]], "validity_ms": 2000}
ENDPOINT = {"name": "r", "kind": "runner", "zone": "z", "address": "10.0.0.1:80"}

DECODERS = {
    "worker": (ENTRY, lambda raw: decode_worker("w", raw), ()),
    "config": (CONFIG, decode_config, FieldError),
    "job": (JOB, decode_job, RequestMalformedError),
    "reply": (REPLY, decode_poll_reply, FieldError),
    "answer": (ANSWER, lambda raw: decode_order_answer(Response(409, raw)), ()),
    "advice": (ADVICE, decode_advice, FieldError),
    "endpoints": ([ENDPOINT], decode_endpoints, PlatformUnavailableError),
}

#: JSON texts that decoders commonly trip over.
ODD = st.sampled_from(
    [
        "null",
        "true",
        "-1",
        "0.5",
        "99999999999999999999",
        "1e308",
        "1" + "0" * 300,
        '"x"',
        '""',
        '"\\u0000\\r\\n"',
        '"' + "x" * 300 + '"',
        "[]",
        "[null]",
        "{}",
        "[" * 900 + "]" * 900,
        '{"a":' * 900 + "1" + "}" * 900,
    ]
)


def holes(value):
    """Yield a JSON text for each place of a value, with a hole in that place."""
    yield "%s"
    rows = value.items() if isinstance(value, dict) else enumerate(value)
    for key, inner in rows if isinstance(value, dict | list) else ():
        for text in holes(inner) if isinstance(inner, dict | list) else ["%s"]:
            others = dict(rows) if isinstance(value, dict) else list(value)
            others[key] = "HOLE"
            yield (
                msgspec.json.encode(others)
                .decode()
                .replace("%", "%%")
                .replace('"HOLE"', text)
            )


def decode_at_any_depth(decode, raw, expected):
    """Decode in a shallow and in a deep stack."""

    def descend(left):
        if left:
            descend(left - 1)
            return
        try:
            decode(raw)
        except expected:
            return

    descend(0)
    frame, depth = sys._getframe(), 0
    while frame is not None:
        frame, depth = frame.f_back, depth + 1
    descend(sys.getrecursionlimit() - depth - 60)


@pytest.mark.parametrize("kind", DECODERS)
@given(st.data())
def test_odd_value_in_any_field_gives_a_value_or_the_typed_error(kind, data):
    """A decoder that failed otherwise ended what reads the list, or the process."""
    body, decode, expected = DECODERS[kind]
    text = data.draw(st.sampled_from(list(holes(body)))) % data.draw(ODD)
    decode_at_any_depth(decode, text.encode(), expected)


@pytest.mark.parametrize("kind", DECODERS)
@given(st.binary(max_size=200))
def test_any_bytes_give_a_value_or_the_typed_error(kind, raw):
    _, decode, expected = DECODERS[kind]
    decode_at_any_depth(decode, raw, expected)


@given(st.binary(max_size=80))
@example(msgspec.msgpack.encode([0, 0.0, [], [], 0, 0, 5]))
@example(b"\x91" * 2000 + b"\xc0")
def test_any_record_gives_a_value_or_the_typed_error(raw):
    for decode in (
        lambda raw: decode_record(AcceptedJob, raw),
        lambda raw: decode_record(JobState, raw),
        lambda raw: decode_state_summary(raw).decode(),
    ):
        decode_at_any_depth(decode, raw, RecordMalformedError)


@pytest.mark.parametrize(
    "address",
    [
        "10.0.0.9:70000",
        "10.0.0.9:99999999999999999999",
        "10.0.0.9:0",
        "10.0.0.9:-1",
        "10.0.0.9:８０",
        "10.0.0.9:",
        "[:80",
        "[::1:80",
        "::1:80",
        "[fe80::1%eth0]:80",
        "a@10.0.0.9:80",
        "10.0.0.9/x:80",
        "x" * 80 + ".example:80",
        "worker.example:80",
        "",
    ],
)
def test_entry_whose_address_cannot_be_called_names_no_worker(address):
    """Its link failed four times a second, with an error line each time."""
    raw = msgspec.json.encode({**ENTRY, "address": address})
    assert decode_worker("w", raw) is None


@pytest.mark.parametrize("name", ["", "a\r\nX: y", "a\0b"])
def test_entry_whose_name_cannot_be_sent_names_no_worker(name):
    assert decode_worker(name, msgspec.json.encode(ENTRY)) is None


@given(st.from_regex(r"(\[[0-9a-f:]{2,9}\]|[0-9.]{7,9}):[0-9]{1,6}", fullmatch=True))
@example("10.0.0.9:8080")
@example("[::1]:65535")
def test_every_address_that_decodes_can_be_put_into_a_call(text):
    try:
        address = Address.parse(text)
    except ValueError:
        return
    assert 0 < address.port < 65536
    family = socket.AF_INET6 if text.startswith("[") else socket.AF_INET
    assert socket.inet_pton(family, address.host.strip("[]"))


@pytest.mark.parametrize(
    ("url", "headers"),
    [
        ("http://127.0.0.1:70000/", {}),
        ("http://[::1/", {}),
        ("http://127.0.0.1:1/", {"Expected-Instance": "a\r\nb"}),
    ],
)
def test_call_that_cannot_be_made_raises_the_typed_errors(url, headers):
    async def scenario():
        async with new_session() as session:
            with pytest.raises((NotSentError, NoResponseError)):
                await call(session, "GET", url, 1.0, headers=headers)

    asyncio.run(scenario())


def test_record_whose_key_is_cut_short_deletes_no_other_key():
    """The rest of it is a key of its own, of which the record has no value."""
    content = bytes((200,)) + b"worker"
    body = bytes(16) + len(content).to_bytes(4, "big") + content
    assert _decode_slice(body, 0).records == ()


def test_odd_entry_does_not_hide_the_others_of_the_instance_list():
    """All instances took the whole list for unreadable, and kept an old one."""
    rows = [{**ENDPOINT, "slots": "many"}, ENDPOINT, {**ENDPOINT, "address": "[:1"}]
    raw = msgspec.json.encode([*rows, None, {"name": 5}])
    assert [e.name for e in decode_endpoints(raw)] == ["r"]
