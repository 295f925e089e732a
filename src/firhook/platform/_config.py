"""Decoding of the configuration that operators write to the platform's store."""

from typing import Any

from firhook.cell import (
    AdvicePolicy,
    CellConfig,
    Pool,
    Queue,
    Resources,
    Team,
    key_digest,
)
from firhook.platform._fields import (
    FieldError,
    get_bool,
    get_int,
    get_list,
    get_number,
    get_object,
    get_str,
    get_str_list,
    parse_json,
)

#: Store key of the configuration.
CONFIG_KEY = "config"
#: Store keys of the requests to drain a zone start with this; the zone follows.
_DRAIN_PREFIX = "evacuate/"


def decode_drained_zone(key: str) -> str | None:
    """Return the zone that a key of the operators' topic drains.

    The value of such a record carries no information.

    :return: ``None`` if the key is not that of a request to drain a zone.
    """
    zone = key.removeprefix(_DRAIN_PREFIX)
    return zone if zone and zone != key else None


def decode_config(raw: bytes) -> CellConfig:
    """Decode a configuration.

    :raises FieldError: if the configuration is malformed.
    """
    data = parse_json(raw)
    limits = get_object(data, "limits")
    return CellConfig(
        version=get_int(data, "version"),
        # The platform's routes are queues, its services are pools of workers and
        # its tenants are teams.
        queues=tuple(_decode_queue(row) for row in _get_object_list(data, "routes")),
        teams=tuple(_decode_team(row) for row in _get_object_list(data, "tenants")),
        pools=tuple(_decode_pool(row) for row in _get_object_list(data, "services")),
        max_body_bytes=get_int(limits, "max_body_bytes", 262144),
    )


def _get_object_list(data: dict[str, Any], name: str) -> list[dict[str, Any]]:
    values = get_list(data, name)
    if not all(isinstance(value, dict) for value in values):
        raise FieldError(f"{name}: expected a list of objects")
    return values


def _decode_queue(row: dict[str, Any]) -> Queue:
    advice = get_object(row, "recommendation")
    return Queue(
        name=get_str(row, "name"),
        host=get_str(row, "host"),
        prefix=get_str(row, "path_prefix"),
        pool=get_str(row, "service"),
        priority=get_int(row, "priority", 0),
        max_attempts=get_int(row, "max_attempts", 1),
        slack_factor=get_number(row, "slack_factor", 1.0),
        # The constant part of a job's objective, which is added to a multiple of
        # its work; not the time that a job should take.
        target_s=get_number(row, "target_duration_ms", 1000) / 1000,
        anonymous=get_bool(row, "allow_anonymous"),
        advice=_decode_advice(advice) if advice else None,
    )


def _decode_advice(row: dict[str, Any]) -> AdvicePolicy:
    return AdvicePolicy(
        base_s=get_number(row, "decision_ms") / 1000,
        per_worker_s=get_number(row, "per_item_ms", 0) / 1000,
        valid_s=get_number(row, "validity_ms", 1000) / 1000,
    )


def _decode_team(row: dict[str, Any]) -> Team:
    return Team(
        name=get_str(row, "name"),
        key_digests=frozenset(key_digest(key) for key in get_str_list(row, "api_keys")),
        weight=get_number(row, "weight", 1.0),
        limit=decode_resources(get_object(row, "upper_limit")),
    )


def _decode_pool(row: dict[str, Any]) -> Pool:
    return Pool(
        name=get_str(row, "name"),
        enforces_capacity=get_bool(row, "enforce_capacity"),
        standby=get_bool(row, "standby"),
    )


def decode_resources(row: dict[str, Any]) -> Resources:
    """Decode amounts of CPU, memory and accelerators."""
    return Resources(
        cpu_m=int(get_number(row, "millicpus", 0)),
        memory_mb=int(get_number(row, "task_memory_mb", 0)),
        accelerators=int(get_number(row, "gpus", 0)),
    )
