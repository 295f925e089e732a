"""The operators' two configuration lists, ``teams`` and ``plans``."""

import configparser
import io
from collections.abc import Mapping

import attrs

from firhook._errors import ListInvalidError
from firhook._jobs import check_name

LISTS = ("teams", "plans")


@attrs.frozen(slots=True)
class Row:
    """One row of a list, unvalidated.

    :param list_name: ``teams`` or ``plans``.
    :param name: name of the team or plan.
    :param values: the options; ``None`` removes the row.
    """

    list_name: str
    name: str
    values: dict[str, str] | None


@attrs.frozen(slots=True)
class Plan:
    """Limits and service level of the teams of a plan.

    :param share: weight of each of its teams when the fleet is full.
    :param limit: maximum number of running requests and tasks per team.
    :param urgent: whether its teams may submit urgent jobs.
    :param slo_ms: waiting-time objective in milliseconds.
    :param slo_target: share of requests that must meet the objective, 0 to 1.
    :param slo_standard_ms: objective for standard requests, if it differs.
    :param slo_bulk_ms: objective for bulk requests, if it differs.
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
        """Return the waiting-time objective of a request class, in milliseconds."""
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
    """Validate a row of ``plans`` and convert it to a plan.

    :raises ListInvalidError: naming each invalid option and its accepted values.
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
    """Validate a row of ``teams`` against the plans and convert it to a team.

    :raises ListInvalidError: naming each invalid option and its accepted values.
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

    :raises ListInvalidError: if the text is not valid INI or the list is unknown.
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
    """Render rows, sorted by name, as INI text for :func:`parse_list`."""
    parser = configparser.ConfigParser(interpolation=None, default_section="\0")
    for name in sorted(rows):
        parser[name] = dict(rows[name])
    out = io.StringIO()
    parser.write(out)
    return out.getvalue()
