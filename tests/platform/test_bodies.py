"""Decoding of the bodies that operators, callers and workers write."""

import struct

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from firhook.cell import Resources
from firhook.errors import RequestMalformedError, SettingsInvalidError
from firhook.platform._store import _decode_slice
from firhook.platform.bodies import (
    FieldError,
    decode_config,
    decode_drained_zone,
    decode_job,
    decode_worker,
)
from firhook.platform.instance import load_instance_settings
from firhook.platform.store import KeyedRecord, encode_keyed_record

ENTRY = {
    "service": "p",
    "address": "10.0.0.9:8080",
    "zone": "z",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "capacity": {"millicpus": 16000, "task_memory_mb": 32768, "gpus": 1},
    "labels": ["a", "r1-3"],
    "sequence": 4,
    "born": 1700000000123,
}
QUEUE = {
    "name": "q",
    "host": "H.example",
    "path_prefix": "/a/",
    "service": "p",
    "target_duration_ms": 250,
    "recommendation": {"decision_ms": 12.5, "per_item_ms": 0.5, "validity_ms": 2000},
}
CONFIG = {
    "version": 7,
    "routes": [QUEUE, {**QUEUE, "name": "long", "path_prefix": "/a/b/"}],
    "services": [{"name": "p", "enforce_capacity": True}],
    "tenants": [{"name": "t", "api_keys": ["secret"], "upper_limit": {"millicpus": 5}}],
    "something_new": {"ignored": True},
}
SETTINGS = """\
node_name = "n"
ip_address = "10.0.0.1"
zone = "z"
internal_port_range = [7420, 7435]
[listen_addresses]
frontend = "10.0.0.1:1"
readiness = "10.0.0.1:2"
[platform]
address = "10.0.0.2:3"
"""


def encoded(data, **changes):
    return msgspec.json.encode({**data, **changes})


def test_worker_entry_is_decoded_with_its_incarnation_and_rack():
    entry = decode_worker("w", encoded(ENTRY))
    assert (entry.incarnation, entry.rack, entry.pool) == (1700000000123, "r1-3", "p")
    assert entry.capacity == Resources(16000, 32768, 1)


@pytest.mark.parametrize(
    "changes",
    [
        {"state": "resting"},
        {"address": 5},
        {"address": "nowhere"},
        {"labels": "a"},
        {"born": -1},
        {"born": "x"},
        {"capacity": []},
        {"service": None},
    ],
)
def test_malformed_worker_entry_is_ignored(changes):
    assert decode_worker("w", encoded(ENTRY, **changes)) is None


@given(st.binary(max_size=200))
def test_unreadable_bytes_name_no_worker(raw):
    assert decode_worker("w", raw) is None


def test_queue_is_found_by_longest_prefix_and_api_keys_are_not_kept():
    config = decode_config(encoded(CONFIG))
    assert config.queue_for("h.example", "/a/b/1").name == "long"
    assert config.queue_for("h.example", "/a/1").name == "q"
    assert config.queue_for("h.example", "/c") is None
    assert config.team_for("secret").name == "t"
    assert config.team_for("other") is None
    assert "secret" not in repr(config)
    assert config.queues[0].advice.answer_s(10) == pytest.approx(0.0175)


def test_malformed_configuration_names_the_invalid_field():
    with pytest.raises(FieldError, match="version"):
        decode_config(encoded(CONFIG, version="seven"))


@pytest.mark.parametrize(
    ("key", "zone"),
    [
        ("evacuate/lag-a", "lag-a"),
        ("evacuate/", None),
        ("evacuate", None),
        ("config", None),
        ("", None),
    ],
)
def test_request_to_drain_a_zone_is_recognized_by_its_key(key, zone):
    assert decode_drained_zone(key) == zone


def test_job_is_decoded_with_its_steps():
    step = {"count": 2, "millicpus": 500, "after": [], "all_or_nothing": True}
    job = decode_job(
        msgspec.json.encode(
            {"specification": "x", "steps": [step, {"count": 1, "after": [0]}]}
        )
    )
    assert job.steps[0].gang
    assert job.steps[1].after == (0,)
    assert not job.periodic


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"[]",
        b"\xff",
        b'{"specification":1,"steps":[{"count":1}]}',
        b'{"specification":"x"}',
        b'{"specification":"x","steps":[1]}',
        b'{"specification":"x","steps":[{"count":0}]}',
        b'{"specification":"x","steps":[{"count":1.5}]}',
        b'{"specification":"x","steps":[{"count":1,"after":[0]}]}',
        b'{"specification":"x","steps":[{"count":1,"millicpus":-1}]}',
        b'{"specification":"x","steps":[{"count":1,"fills":1}]}',
        b'{"specification":"' + b"x" * 4001 + b'","steps":[{"count":1}]}',
    ],
)
def test_invalid_job_is_refused(body):
    with pytest.raises(RequestMalformedError):
        decode_job(body)


@given(st.recursive(st.none() | st.integers() | st.text(), st.lists, max_leaves=9))
def test_no_json_makes_the_job_decoder_fail_otherwise(data):
    with pytest.raises(RequestMalformedError):
        decode_job(msgspec.json.encode({"specification": "x", "steps": data}))


def test_read_records_are_numbered_from_the_requested_offset():
    contents = [
        encode_keyed_record(KeyedRecord("a", b"1")),
        b"",
        encode_keyed_record(KeyedRecord("b", None)),
    ]
    body = struct.pack(">QQ", 12, 0)
    for content in contents:
        body += struct.pack(">I", len(content)) + content
    part = _decode_slice(body, 9)
    assert [(r.offset, r.key, r.value) for r in part.records] == [
        (9, "a", b"1"),
        (11, "b", None),
    ]
    assert part.next_offset == 12


def test_settings_are_read_and_invalid_fields_are_named(tmp_path):
    path = tmp_path / "local.toml"
    path.write_text(SETTINGS)
    settings = load_instance_settings(path)
    assert settings.store.port == 3
    assert settings.adviser is None
    path.write_text(SETTINGS.replace('frontend = "10.0.0.1:1"', "frontend = 5"))
    with pytest.raises(SettingsInvalidError, match="frontend"):
        load_instance_settings(path)
    path.write_text("not toml")
    with pytest.raises(SettingsInvalidError):
        load_instance_settings(path)
