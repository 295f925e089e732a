"""The configuration as operators write it to the platform's store."""

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
    flag,
    number,
    parse_json,
    rows,
    table,
    text,
    texts,
    whole,
)

#: The key under which operators keep it.
CONFIG_KEY = "config"


def decode_config(raw: bytes) -> CellConfig:
    """Decode a configuration.

    :raises FieldError: if it cannot be read.
    """
    data = parse_json(raw)
    limits = table(data, "limits")
    return CellConfig(
        version=whole(data, "version"),
        # A route is a queue, a service a pool of workers, a tenant a team.
        queues=tuple(_queue(row) for row in _objects(data, "routes")),
        teams=tuple(_team(row) for row in _objects(data, "tenants")),
        pools=tuple(_pool(row) for row in _objects(data, "services")),
        max_body_bytes=whole(limits, "max_body_bytes", 262144),
    )


def _objects(data: dict[str, Any], name: str) -> list[dict[str, Any]]:
    values = rows(data, name)
    if not all(isinstance(value, dict) for value in values):
        raise FieldError(f"{name}: not a list of objects")
    return values


def _queue(row: dict[str, Any]) -> Queue:
    advice = table(row, "recommendation")
    return Queue(
        name=text(row, "name"),
        host=text(row, "host"),
        prefix=text(row, "path_prefix"),
        pool=text(row, "service"),
        priority=whole(row, "priority", 0),
        max_attempts=whole(row, "max_attempts", 1),
        slack_factor=number(row, "slack_factor", 1.0),
        # Not how long a job should take, but what its objective allows beside
        # a multiple of its work.
        target_s=number(row, "target_duration_ms", 1000) / 1000,
        anonymous=flag(row, "allow_anonymous"),
        advice=_advice(advice) if advice else None,
    )


def _advice(row: dict[str, Any]) -> AdvicePolicy:
    return AdvicePolicy(
        base_s=number(row, "decision_ms") / 1000,
        per_worker_s=number(row, "per_item_ms", 0) / 1000,
        valid_s=number(row, "validity_ms", 1000) / 1000,
    )


def _team(row: dict[str, Any]) -> Team:
    return Team(
        name=text(row, "name"),
        key_digests=frozenset(key_digest(key) for key in texts(row, "api_keys")),
        weight=number(row, "weight", 1.0),
        limit=decode_resources(table(row, "upper_limit")),
    )


def _pool(row: dict[str, Any]) -> Pool:
    return Pool(
        name=text(row, "name"),
        enforces_capacity=flag(row, "enforce_capacity"),
        standby=flag(row, "standby"),
    )


def decode_resources(row: dict[str, Any]) -> Resources:
    """Decode amounts of processor, memory and accelerators."""
    return Resources(
        cpu_m=int(number(row, "millicpus", 0)),
        memory_mb=int(number(row, "task_memory_mb", 0)),
        accelerators=int(number(row, "gpus", 0)),
    )
