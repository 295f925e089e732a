"""Settings of the daemon: the type, range and default of every option."""

import configparser
from collections.abc import Callable
from pathlib import Path
from typing import Any

import attrs

from firhook._address import Address
from firhook._errors import SettingsInvalidError
from firhook._jobs import check_name


def _name(value: str) -> str:
    """A name."""
    problems: list[str] = []
    check_name("it", value.strip(), problems)
    if problems:
        raise ValueError("give 1 to 64 letters, digits, '-', '_' or '.'")
    return value.strip()


def _names(value: str) -> tuple[str, ...]:
    """Names with commas between."""
    return tuple(_name(part) for part in value.split(",") if part.strip())


def _address(value: str) -> Address:
    """IP:port."""
    host, _, port = value.strip().rpartition(":")
    octets = host.split(".")
    if len(octets) != 4 or not all(o.isdigit() and int(o) < 256 for o in octets):
        raise ValueError("give an IP number and a port, such as 10.0.0.7:8080")
    if not port.isdigit() or int(port) > 65535:
        raise ValueError("give a port from 0 to 65535, such as 10.0.0.7:8080")
    return Address(host, int(port))


def _addresses(value: str) -> tuple[Address, ...]:
    """IP:port with commas between."""
    return tuple(_address(part) for part in value.split(",") if part.strip())


def _url(value: str) -> str:
    """An http or https address."""
    url = value.strip().rstrip("/")
    if not url.startswith("http://") and not url.startswith("https://"):
        raise ValueError("give an address such as http://10.0.0.1:9000")
    return url


def _curve(value: str) -> str:
    """40 characters."""
    if len(value.strip()) != 40:
        raise ValueError("give the 40 characters that 'firhook config curve' prints")
    return value.strip()


def _digest(value: str) -> str:
    """64 hexadecimal digits."""
    digest = value.strip().lower()
    if len(digest) != 64 or any(c not in "0123456789abcdef" for c in digest):
        raise ValueError(
            "give the 64 hexadecimal digits that 'firhook key digest' prints"
        )
    return digest


def _number(low: float, high: float, parse: Callable[[str], Any] = float) -> Any:
    def convert(value: str) -> Any:
        try:
            number = parse(value)
        except ValueError:
            number = None
        if number is None or not low <= number <= high:
            raise ValueError(f"give a number from {low:g} to {high:g}")
        return number

    convert.__doc__ = f"{low:.10g} to {high:.10g}"
    return convert


def _choice(*choices: str) -> Callable[[str], str]:
    def convert(value: str) -> str:
        if value not in choices:
            raise ValueError(f"give one of {', '.join(choices)}")
        return value

    convert.__doc__ = " or ".join(choices)
    return convert


def _opt(
    section: str, check: Callable[[str], Any], default: Any = attrs.NOTHING
) -> Any:
    return attrs.field(default=default, metadata={"section": section, "check": check})


@attrs.frozen(kw_only=True)
class Settings:
    """All settings of one daemon.

    Each field is named after its ``[section] option``.  Times are in seconds.
    docs/operators/settings.md explains every option.
    """

    name: str = _opt("instance", _name)
    zone: str = _opt("instance", _name)
    zones: tuple[str, ...] = _opt("instance", _names)
    instances_expected: int = _opt("instance", _number(1, 1000, int), 9)

    gateway: Address = _opt("listen", _address)
    ops: Address = _opt("listen", _address)
    peers: Address = _opt("listen", _address)

    log_url: str = _opt("platform", _url)
    append_budget_per_s: float = _opt("platform", _number(1, 1000), 200.0)
    log_timeout_s: float = _opt("platform", _number(0.1, 60), 2.0)
    log_poll_s: float = _opt("platform", _number(0.1, 30), 5.0)
    list_poll_s: float = _opt("platform", _number(0.1, 30), 1.0)
    carry_forward_s: float = _opt("platform", _number(1, 1e6), 3600.0)
    carry_forward_records: int = _opt("platform", _number(10, 1e7, int), 5000)

    curve_public: str = _opt("mesh", _curve)
    curve_secret: str = _opt("mesh", _curve)
    seeds: tuple[Address, ...] = _opt("mesh", _addresses, ())
    gossip_s: float = _opt("mesh", _number(0.05, 10), 0.5)
    member_timeout_s: float = _opt("mesh", _number(0.2, 60), 3.0)

    operator_digest: str = _opt("keys", _digest)
    stale: str = _opt("keys", _choice("serve-idempotent", "refuse"), "serve-idempotent")
    key_stale_s: float = _opt("keys", _number(1, 3600), 10.0)
    key_stale_max_s: float = _opt("keys", _number(1, 86400), 900.0)

    max_body_bytes: int = _opt("gateway", _number(1, 1 << 26, int), 1 << 20)
    max_waiting: int = _opt("gateway", _number(1, 1e5, int), 2000)
    max_waiting_per_team: int = _opt("gateway", _number(1, 1e5, int), 500)
    default_deadline_s: float = _opt("gateway", _number(0.1, 3600), 30.0)
    drain_lag_s: float = _opt("gateway", _number(0, 60), 2.0)
    drain_max_s: float = _opt("gateway", _number(1, 600), 30.0)
    drain_idle_s: float = _opt("gateway", _number(0, 600), 5.0)

    lead_lease_s: float = _opt("cell", _number(0.5, 60), 6.0)
    hold_s: float = _opt("cell", _number(1, 3600), 45.0)
    task_lease_s: float = _opt("cell", _number(0.5, 600), 15.0)
    margin_s: float = _opt("cell", _number(0.1, 60), 1.0)
    sync_s: float = _opt("cell", _number(0.05, 60), 2.0)
    lend_outage_s: float = _opt("cell", _number(1, 86400), 900.0)
    grant_ttl_s: float = _opt("cell", _number(0.2, 60), 3.0)

    log_level: str = _opt(
        "logging", _choice("debug", "info", "warning", "error"), "info"
    )


def _cross_checks(cfg: Settings) -> list[str]:
    """Return the conflicts between options that are each in range."""
    problems = []
    if cfg.zone not in cfg.zones:
        problems.append(
            f"[instance] zone = {cfg.zone!r}: "
            f"give one of zones = {', '.join(cfg.zones)}"
        )
    if cfg.key_stale_max_s < cfg.key_stale_s:
        problems.append(
            f"[keys] key_stale_max_s = {cfg.key_stale_max_s:g}: "
            f"give at least key_stale_s = {cfg.key_stale_s:g}"
        )
    if cfg.hold_s < cfg.lead_lease_s:
        problems.append(
            f"[cell] hold_s = {cfg.hold_s:g}: give at least "
            f"lead_lease_s = {cfg.lead_lease_s:g}"
        )
    if cfg.task_lease_s < 3 * cfg.sync_s:
        problems.append(
            f"[cell] task_lease_s = {cfg.task_lease_s:g}: give at least three times "
            f"sync_s = {cfg.sync_s:g}, so that one lost renewal stops no task"
        )
    return problems


@attrs.frozen(slots=True)
class Option:
    """Description of an option for the operators' documentation.

    :param default: the default as written in INI; ``None`` if the option is
        required.
    :param accepts: the accepted values, such as the range.
    """

    section: str
    name: str
    default: str | None
    accepts: str


def describe_options() -> tuple[Option, ...]:
    """Return all options in the order of their declaration."""
    return tuple(
        Option(
            field.metadata["section"],
            field.name,
            _format_default(field.default),
            (field.metadata["check"].__doc__ or "").rstrip("."),
        )
        for field in attrs.fields(Settings)
    )


def _format_default(default: Any) -> str | None:
    """Return a default as written in INI."""
    if default is attrs.NOTHING:
        return None
    if isinstance(default, (int, float)):
        return f"{default:.10g}"
    return ", ".join(map(str, default)) if isinstance(default, tuple) else default


def parse_settings(text: str) -> Settings:
    """Parse and check settings.

    :param text: the INI text.
    :raises SettingsInvalidError: with one line per problem that names section,
        option, value and remedy.  ``exc.extra["problems"]`` lists the lines.
    """
    parser = configparser.ConfigParser(interpolation=None, default_section="\0")
    try:
        parser.read_string(text)
    except configparser.Error as exc:
        raise SettingsInvalidError(str(exc), problems=[str(exc)]) from exc
    fields = {(f.metadata["section"], f.name): f for f in attrs.fields(Settings)}
    problems, values = [], {}
    for section in parser.sections():
        known = sorted(name for sec, name in fields if sec == section)
        if not known:
            names = ", ".join(sorted({sec for sec, _ in fields}))
            problems.append(f"[{section}] is unknown: use one of {names}")
            continue
        for option, value in parser.items(section):
            field = fields.get((section, option))
            if field is None:
                problems.append(
                    f"[{section}] {option} = {value!r} is unknown: "
                    f"remove it, or use one of {', '.join(known)}"
                )
                continue
            try:
                values[option] = field.metadata["check"](value)
            except ValueError as exc:
                problems.append(f"[{section}] {option} = {value!r}: {exc}")
    for (section, name), field in fields.items():
        if field.default is attrs.NOTHING and not parser.has_option(section, name):
            problems.append(f"[{section}] {name} is missing: give it")
    if not problems:
        cfg = Settings(**values)
        problems = _cross_checks(cfg)
    if problems:
        raise SettingsInvalidError("\n".join(problems), problems=problems)
    return cfg


def load_settings(path: Path) -> Settings:
    """Read, parse and check a settings file.

    :raises SettingsInvalidError: if the file cannot be read or a setting is
        invalid.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as exc:
        raise SettingsInvalidError(f"{path}: {exc}", problems=[str(exc)]) from exc
    return parse_settings(text)
