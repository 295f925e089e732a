"""The operators' two lists, ``teams`` and ``plans``, edited by row."""

import configparser
import io
from collections.abc import Mapping

import attrs

from firhook._errors import ListInvalidError
from firhook._jobs import check_name

LISTS = ("teams", "plans")


@attrs.frozen(slots=True)
class Row:
    """One row of a list as operators write it.

    :param list_name: ``teams`` or ``plans``.
    :param name: the team's or the plan's name.
    :param values: its options; ``None`` removes the row.
    """

    list_name: str
    name: str
    values: dict[str, str] | None


@attrs.frozen(slots=True)
class Plan:
    """What a plan may use across the fleet.

    :param share: weight of each of its teams when the fleet is full.
    :param limit: most requests and tasks that a team may have running.
    :param urgent: whether its teams may submit urgent jobs.
    :param slo_ms: waiting time in ms that the service level promises.
    :param slo_standard_ms: the same for standard requests, if it differs.
    :param slo_bulk_ms: the same for bulk requests, if it differs.
    :param slo_target: share of requests that must meet it, 0 to 1.
    """

    name: str
    share: float
    limit: int
    urgent: bool = False
    slo_ms: float = 1000.0
    slo_target: float = 0.99
    slo_standard_ms: float | None = None
    slo_bulk_ms: float | None = None

    def objective_ms(self, klass: str) -> float:
        """Return the waiting time in ms promised to a class of requests."""
        own = {"standard": self.slo_standard_ms, "bulk": self.slo_bulk_ms}.get(klass)
        return self.slo_ms if own is None else own


@attrs.frozen(slots=True)
class Team:
    """A team and its plan."""

    name: str
    plan: str


_CLASS_OPTIONS = ("slo_standard_ms", "slo_bulk_ms")


def _number(
    row: Row, option: str, default: str | None, low: float, high: float
) -> tuple[float, list[str]]:
    text = (row.values or {}).get(option, default)
    where = f"[{row.name}] {option}"
    if text is None:
        return low, [f"{where} is missing: give {low:g} to {high:g}"]
    try:
        value = float(text)
    except ValueError:
        value = float("nan")
    if not low <= value <= high:
        return low, [f"{where} = {text!r}: give {low:g} to {high:g}"]
    return value, []


def check_plan(row: Row) -> Plan:
    """Check one row of ``plans`` and return it.

    :raises ListInvalidError: naming each option that is wrong and what to give.
    """
    problems: list[str] = []
    check_name("plan", row.name, problems)
    known = {"share", "limit", "urgent", "slo_ms", "slo_target", *_CLASS_OPTIONS}
    for option in sorted(set(row.values or {}) - known):
        problems.append(f"[{row.name}] {option} is unknown: use {sorted(known)}")
    share, errors = _number(row, "share", None, 0.001, 1e6)
    problems += errors
    limit, errors = _number(row, "limit", None, 0, 1e6)
    problems += errors or (
        [f"[{row.name}] limit = {limit!r}: give a whole number"] if limit % 1 else []
    )
    slo_ms, errors = _number(row, "slo_ms", "1000", 1, 1e7)
    problems += errors
    target, errors = _number(row, "slo_target", "0.99", 0.5, 0.99999)
    problems += errors
    by_class: list[float | None] = []
    for option in _CLASS_OPTIONS:
        value, errors = _number(row, option, "1000", 1, 1e7)
        by_class.append(value if option in (row.values or {}) else None)
        problems += errors
    urgent = (row.values or {}).get("urgent", "no")
    if urgent not in ("yes", "no"):
        problems.append(f"[{row.name}] urgent = {urgent!r}: give yes or no")
    if problems:
        raise ListInvalidError("; ".join(problems))
    return Plan(row.name, share, int(limit), urgent == "yes", slo_ms, target, *by_class)


def check_team(row: Row, plans: Mapping[str, Plan]) -> Team:
    """Check one row of ``teams`` against the plans and return it.

    :raises ListInvalidError: naming each option that is wrong and what to give.
    """
    problems: list[str] = []
    check_name("team", row.name, problems)
    for option in sorted(set(row.values or {}) - {"plan"}):
        problems.append(f"[{row.name}] {option} is unknown: use plan")
    plan = (row.values or {}).get("plan", "")
    if plan not in plans:
        problems.append(f"[{row.name}] plan = {plan!r}: give one of {sorted(plans)}")
    if problems:
        raise ListInvalidError("; ".join(problems))
    return Team(row.name, plan)


def parse_list(list_name: str, text: str) -> tuple[Row, ...]:
    """Parse one of the lists from INI text.

    :raises ListInvalidError: if the text is no INI or the list is unknown.
    """
    if list_name not in LISTS:
        raise ListInvalidError(f"list {list_name!r}: give one of {LISTS}")
    parser = configparser.ConfigParser(interpolation=None, default_section="\0")
    try:
        parser.read_string(text)
    except configparser.Error as exc:
        raise ListInvalidError(f"{list_name}: {exc}") from exc
    return tuple(
        Row(list_name, section, dict(parser.items(section)))
        for section in parser.sections()
    )


def render_list(rows: Mapping[str, Mapping[str, str]]) -> str:
    """Render rows as INI text, by name, as :func:`parse_list` reads it."""
    parser = configparser.ConfigParser(interpolation=None, default_section="\0")
    for name in sorted(rows):
        parser[name] = dict(rows[name])
    out = io.StringIO()
    parser.write(out)
    return out.getvalue()
