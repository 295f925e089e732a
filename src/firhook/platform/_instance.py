"""The settings file that the platform lays on each instance."""

import tomllib
from pathlib import Path
from typing import Any

import attrs

from firhook.address import Address
from firhook.errors import SettingsInvalidError
from firhook.platform._fields import FieldError, number, table, text, whole


@attrs.frozen(slots=True)
class StoreLimits:
    """What the platform's store takes.

    :param record_bytes: the most in one record.
    :param append_bytes: the most in the records of one append.
    """

    record_bytes: int = 262144
    append_bytes: int = 2097152
    writes_per_s: float = 800.0
    reads_per_s: float = 2000.0


@attrs.frozen(slots=True)
class Bounds:
    """Times that the platform and its users hold the system to, in seconds.

    :param config_s: a configuration is in force everywhere so soon.
    :param revocation_s: a withdrawn key is refused everywhere so soon.
    :param drain_s: a worker that leaves gets no new work after this.
    :param stop_s: a process that is told to stop is killed after this.
    :param lease_s: the longest lease that a worker grants.
    :param task_stop_s: a task that is stopped ends within this.
    :param gang_s: members of a gang wait so long for the others.
    :param cancel_s: no task of a cancelled job starts after this.
    :param visible_s: an accepted job is seen everywhere so soon.
    :param status_s: an ended job is kept at least so long.
    :param early_s: a timed task may start so much before it is due.
    :param checkpoint_s: a task saves its progress so often.
    :param restore_s: resuming from a checkpoint takes so long.
    :param holder_s: how long another holder of a machine must keep away.
    :param pacing_s: a change of a task's pace works after so long.
    :param interference_s: a serving task may be over its target so long.
    :param notice_s: a task that was moved counts as away so long.
    :param remote_slowdown: tasks away from their data take so many times longer.
    """

    config_s: float = 2.0
    revocation_s: float = 5.0
    drain_s: float = 2.0
    stop_s: float = 6.0
    lease_s: float = 10.0
    task_stop_s: float = 0.4
    gang_s: float = 3.0
    cancel_s: float = 3.0
    visible_s: float = 3.0
    status_s: float = 120.0
    early_s: float = 0.25
    checkpoint_s: float = 0.5
    restore_s: float = 0.6
    holder_s: float = 3.0
    pacing_s: float = 0.1
    interference_s: float = 4.0
    notice_s: float = 4.5
    remote_slowdown: float = 2.0


@attrs.frozen(slots=True)
class InstanceSettings:
    """What an instance is told of itself and of the platform.

    :param callers: where callers connect.
    :param probe: where the platform asks whether the instance is ready.
    :param peer_port: the first port that is free for its peers.
    :param store: the platform's store.
    :param adviser: says which workers may run a step, if there is one.
    :param machines_api: where machines are moved and maintained, if there is.
    :param strength: processors, in cores.
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


def load_instance_settings(path: Path) -> InstanceSettings:
    """Read and check the settings file.

    :raises SettingsInvalidError: naming the field that is wrong.
    """
    try:
        with path.open("rb") as file:
            data = tomllib.load(file)
        return _settings(data)
    except (OSError, tomllib.TOMLDecodeError, UnicodeDecodeError) as exc:
        problems = [f"{path.name}: {exc}"]
    except (FieldError, ValueError) as exc:
        problems = [f"{path.name}: {exc}"]
    raise SettingsInvalidError(problems[0], problems=problems)


def _settings(data: dict[str, Any]) -> InstanceSettings:
    listen = table(data, "listen_addresses")
    limits = table(data, "limits")
    ports = data.get("internal_port_range")
    if not isinstance(ports, list) or not all(type(p) is int for p in ports):
        raise FieldError("internal_port_range: give two ports")
    return InstanceSettings(
        name=text(data, "node_name"),
        zone=text(data, "zone"),
        ip=text(data, "ip_address"),
        callers=_address(listen, "frontend"),
        probe=_address(listen, "readiness"),
        peer_port=ports[0],
        store=_address(table(data, "platform"), "address"),
        # The service is called by the name of what it gives, a recommendation.
        adviser=_optional_address(data, "recommendation"),
        machines_api=_optional_address(table(data, "cloud_api"), "address"),
        # A share of a core that is so many times as fast as a plain one.
        strength=number(limits, "cpu_share", 1) * number(limits, "cores", 1),
        heartbeat_s=number(data, "heartbeat_interval_ms", 1500) / 1000,
        bounds=_bounds(table(data, "bounds")),
        store_limits=_store_limits(table(data, "platform")),
    )


def _address(data: dict[str, Any], name: str) -> Address:
    host, _, port = text(data, name).rpartition(":")
    if not host or not port.isdigit():
        raise FieldError(f"{name}: give an IP number and a port")
    return Address(host, int(port))


def _optional_address(data: dict[str, Any], name: str) -> Address | None:
    return _address(data, name) if data.get(name) else None


def _bounds(data: dict[str, Any]) -> Bounds:
    plain = Bounds()

    def seconds(name: str, default: float) -> float:
        if name.endswith("_ms"):
            return number(data, name, default * 1000) / 1000
        return number(data, name, default)

    return Bounds(
        config_s=seconds("config_apply_ms", plain.config_s),
        revocation_s=seconds("revocation_ms", plain.revocation_s),
        drain_s=seconds("drain_ms", plain.drain_s),
        stop_s=seconds("grace_period_s", plain.stop_s),
        # The most that a worker holds its tasks without a word.
        lease_s=seconds("max_hold_ms", plain.lease_s),
        task_stop_s=seconds("termination_grace_ms", plain.task_stop_s),
        gang_s=seconds("gang_timeout_ms", plain.gang_s),
        cancel_s=seconds("cancel_ms", plain.cancel_s),
        visible_s=seconds("visible_ms", plain.visible_s),
        status_s=seconds("status_s", plain.status_s),
        early_s=seconds("early_ms", plain.early_s),
        checkpoint_s=seconds("checkpoint_interval_s", plain.checkpoint_s),
        restore_s=seconds("restore_ms", plain.restore_s),
        # Of the holder of a machine, not of a worker's tasks.
        holder_s=seconds("lease_duration_ms", plain.holder_s),
        pacing_s=seconds("pacing_ms", plain.pacing_s),
        interference_s=seconds("interference_ms", plain.interference_s),
        notice_s=seconds("notice_period_ms", plain.notice_s),
        remote_slowdown=number(data, "remote_slowdown", plain.remote_slowdown),
    )


def _store_limits(data: dict[str, Any]) -> StoreLimits:
    plain = StoreLimits()
    return StoreLimits(
        record_bytes=whole(data, "record_bytes", plain.record_bytes),
        append_bytes=whole(data, "request_bytes", plain.append_bytes),
        writes_per_s=number(data, "writes_per_s", plain.writes_per_s),
        reads_per_s=number(data, "reads_per_s", plain.reads_per_s),
    )
