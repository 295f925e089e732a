"""The settings file that the platform writes for each instance."""

import tomllib
from pathlib import Path
from typing import Any

import attrs

from firhook.address import Address
from firhook.errors import SettingsInvalidError
from firhook.platform._fields import (
    FieldError,
    get_int,
    get_number,
    get_object,
    get_str,
)


@attrs.frozen(slots=True)
class StoreLimits:
    """Limits of the platform's store.

    :param record_bytes: maximum size of a record.
    :param append_bytes: maximum total size of the records of one append.
    """

    record_bytes: int = 262144
    append_bytes: int = 2097152
    writes_per_s: float = 800.0
    reads_per_s: float = 2000.0


@attrs.frozen(slots=True)
class Bounds:
    """Time limits that the platform and its users set, in seconds.

    :param config_apply_s: time within which a configuration is in force everywhere.
    :param revocation_s: time within which a withdrawn key is refused everywhere.
    :param drain_s: time after which a draining worker must get no new work.
    :param zone_drain_s: time after which a drained zone must get no new work.
    :param stop_grace_s: time after which a process that was asked to stop is killed.
    :param lease_s: longest lease that a worker grants.
    :param task_stop_s: time within which a stopped task ends.
    :param gang_timeout_s: how long the members of a gang wait for each other.
    :param cancel_s: time after which no task of a cancelled job starts.
    :param job_visibility_s: time within which an accepted job is visible everywhere.
    :param status_s: minimum time for which an ended job is retained.
    :param early_start_s: how long before it is due a timed task may start.
    :param checkpoint_s: interval between the checkpoints of a task.
    :param restore_s: time to resume a task from a checkpoint.
    :param machine_lease_s: how long a machine is reserved for its holder.
    :param throttle_delay_s: time until a change of a task's speed takes effect.
    :param max_overrun_s: how long a serving task may exceed its target.
    :param move_notice_s: how long a task counts as absent after a move.
    :param remote_slowdown: factor on the duration of tasks that run away from their
        data.
    """

    config_apply_s: float = 2.0
    revocation_s: float = 5.0
    drain_s: float = 2.0
    zone_drain_s: float = 5.0
    stop_grace_s: float = 6.0
    lease_s: float = 10.0
    task_stop_s: float = 0.4
    gang_timeout_s: float = 3.0
    cancel_s: float = 3.0
    job_visibility_s: float = 3.0
    status_s: float = 120.0
    early_start_s: float = 0.25
    checkpoint_s: float = 0.5
    restore_s: float = 0.6
    machine_lease_s: float = 3.0
    throttle_delay_s: float = 0.1
    max_overrun_s: float = 4.0
    move_notice_s: float = 4.5
    remote_slowdown: float = 2.0


@attrs.frozen(slots=True)
class InstanceSettings:
    """An instance's settings and the addresses of the platform's services.

    :param callers: address that callers connect to.
    :param probe: address of the platform's readiness probe.
    :param peer_port: first port that is free for connections from peers.
    :param store: the platform's store.
    :param adviser: service that permits workers for a step; ``None`` if the platform
        has no such service.
    :param machines_api: service that moves and maintains machines; ``None`` if the
        platform has no such service.
    :param strength: CPU capacity in standard cores.
    :param zones: names of all availability zones; empty if they are not known.
    :param memory_mb: memory of the process, in megabytes; 0 if it is not limited.
    """

    name: str
    zone: str
    ip: str
    callers: Address
    probe: Address
    peer_port: int
    store: Address
    adviser: Address | None
    machines_api: Address | None
    strength: float
    heartbeat_s: float
    bounds: Bounds
    store_limits: StoreLimits
    zones: frozenset[str] = frozenset()
    memory_mb: float = 0.0


def load_instance_settings(path: Path) -> InstanceSettings:
    """Read and check the settings file.

    :raises SettingsInvalidError: naming the invalid field.
    """
    try:
        with path.open("rb") as file:
            data = tomllib.load(file)
        return _decode_settings(data)
    except (OSError, tomllib.TOMLDecodeError, UnicodeDecodeError) as exc:
        problems = [f"{path.name}: {exc}"]
    except (FieldError, ValueError) as exc:
        problems = [f"{path.name}: {exc}"]
    raise SettingsInvalidError(problems[0], problems=problems)


def _decode_settings(data: dict[str, Any]) -> InstanceSettings:
    listen = get_object(data, "listen_addresses")
    limits = get_object(data, "limits")
    ports = data.get("internal_port_range")
    if not isinstance(ports, list) or not all(type(p) is int for p in ports):
        raise FieldError("internal_port_range: expected two ports")
    return InstanceSettings(
        name=get_str(data, "node_name"),
        zone=get_str(data, "zone"),
        ip=get_str(data, "ip_address"),
        callers=_decode_address(listen, "frontend"),
        probe=_decode_address(listen, "readiness"),
        peer_port=ports[0],
        store=_decode_address(get_object(data, "platform"), "address"),
        # The adviser is the platform's recommendation service.
        adviser=_decode_optional_address(data, "recommendation"),
        machines_api=_decode_optional_address(get_object(data, "cloud_api"), "address"),
        # A share of one core, which is ``cores`` times as fast as a standard core.
        strength=get_number(limits, "cpu_share", 1) * get_number(limits, "cores", 1),
        heartbeat_s=get_number(data, "heartbeat_interval_ms", 1500) / 1000,
        bounds=_decode_bounds(get_object(data, "bounds")),
        store_limits=_decode_store_limits(get_object(data, "platform")),
        zones=frozenset(get_object(data, "zones")),
        memory_mb=get_number(limits, "memory_mb", 0),
    )


def _decode_address(data: dict[str, Any], name: str) -> Address:
    host, _, port = get_str(data, name).rpartition(":")
    if not host or not port.isdigit():
        raise FieldError(f"{name}: expected an IP address and a port")
    return Address(host, int(port))


def _decode_optional_address(data: dict[str, Any], name: str) -> Address | None:
    return _decode_address(data, name) if data.get(name) else None


def _decode_bounds(data: dict[str, Any]) -> Bounds:
    defaults = Bounds()

    def seconds(name: str, default: float) -> float:
        if name.endswith("_ms"):
            return get_number(data, name, default * 1000) / 1000
        return get_number(data, name, default)

    return Bounds(
        config_apply_s=seconds("config_apply_ms", defaults.config_apply_s),
        revocation_s=seconds("revocation_ms", defaults.revocation_s),
        drain_s=seconds("drain_ms", defaults.drain_s),
        zone_drain_s=seconds("evacuation_ms", defaults.zone_drain_s),
        stop_grace_s=seconds("grace_period_s", defaults.stop_grace_s),
        # The longest time that a worker keeps its tasks without a lease renewal.
        lease_s=seconds("max_hold_ms", defaults.lease_s),
        task_stop_s=seconds("termination_grace_ms", defaults.task_stop_s),
        gang_timeout_s=seconds("gang_timeout_ms", defaults.gang_timeout_s),
        cancel_s=seconds("cancel_ms", defaults.cancel_s),
        job_visibility_s=seconds("visible_ms", defaults.job_visibility_s),
        status_s=seconds("status_s", defaults.status_s),
        early_start_s=seconds("early_ms", defaults.early_start_s),
        checkpoint_s=seconds("checkpoint_interval_s", defaults.checkpoint_s),
        restore_s=seconds("restore_ms", defaults.restore_s),
        # The lease on a machine, not the one on a worker's tasks.
        machine_lease_s=seconds("lease_duration_ms", defaults.machine_lease_s),
        throttle_delay_s=seconds("pacing_ms", defaults.throttle_delay_s),
        max_overrun_s=seconds("interference_ms", defaults.max_overrun_s),
        move_notice_s=seconds("notice_period_ms", defaults.move_notice_s),
        remote_slowdown=get_number(data, "remote_slowdown", defaults.remote_slowdown),
    )


def _decode_store_limits(data: dict[str, Any]) -> StoreLimits:
    defaults = StoreLimits()
    return StoreLimits(
        record_bytes=get_int(data, "record_bytes", defaults.record_bytes),
        append_bytes=get_int(data, "request_bytes", defaults.append_bytes),
        writes_per_s=get_number(data, "writes_per_s", defaults.writes_per_s),
        reads_per_s=get_number(data, "reads_per_s", defaults.reads_per_s),
    )
