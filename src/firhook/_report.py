"""Report on the burn rate of the error budgets across the whole fleet."""

from collections.abc import Mapping, Sequence

import attrs

from firhook._stats import WINDOWS_S, ClassStats, FleetStats
from firhook.model import Plan


@attrs.frozen(slots=True)
class Alert:
    """An alert that fires when the burn rate is high in two windows at once.

    The long window shows that a significant part of the budget is used, the short
    window that it is still being used.  A burst that has ended therefore does
    not alert, while a slow leak that is invisible in short windows does.

    :param name: ``page`` for immediate action, ``ticket`` for working hours.
    :param burn_rate: threshold for both windows.  At 14.4 an hour uses 2% of a
        month's budget; at 6 six hours use 5%.
    """

    name: str
    short_window: str
    long_window: str
    burn_rate: float


ALERTS = (Alert("page", "5m", "1h", 14.4), Alert("ticket", "30m", "6h", 6.0))


@attrs.frozen(slots=True)
class BurnRow:
    """Error-budget usage of one team and class of requests.

    :param objective_ms: waiting-time objective of the plan, in milliseconds.
    :param target: share of requests that must meet the objective.
    :param requests: requests answered or refused in the longest window.
    :param slow: requests answered later than the objective.
    :param refused: requests refused without a caller error; they are misses too.
    :param p50_ms: median waiting time over the last 30 to 60 minutes.
    :param p99_ms: 99th percentile of the waiting time over the same period.
    :param burn_rates: burn rate by window; 1 uses the budget up exactly.
    :param alert: ``page``, ``ticket`` or empty.
    """

    team: str
    klass: str
    objective_ms: float
    target: float
    requests: int
    slow: int
    refused: int
    p50_ms: float
    p99_ms: float
    burn_rates: dict[str, float]
    alert: str


@attrs.frozen(slots=True)
class BurnReport:
    """The complete burn report.

    :param rows: one row per team and class with requests.
    :param refusals: refusals by code since the instances started.
    :param instances: names of the instances whose statistics are included.
    :param missing: names of the instances that did not respond.
    """

    rows: tuple[BurnRow, ...]
    refusals: dict[str, int]
    instances: tuple[str, ...] = ()
    missing: tuple[str, ...] = ()


def burn_rate(counts: Sequence[int], target: float) -> float:
    """Return the burn rate of an error budget.

    :param counts: requests answered in time, answered late, refused.
    :param target: share of requests that must be answered in time, below 1.
    :returns: the share of misses divided by the allowed share; 0 without
        requests.
    """
    total = sum(counts)
    if not total:
        return 0.0
    missed = total - counts[0]
    return missed / total / (1 - target)


def worst_alert(burn_rates: Mapping[str, float]) -> str:
    """Return the most severe alert whose threshold both windows reach, if any."""
    for alert in ALERTS:
        lower_rate = min(burn_rates[alert.short_window], burn_rates[alert.long_window])
        if lower_rate >= alert.burn_rate:
            return alert.name
    return ""


def burn_report(
    stats: FleetStats,
    plans: Mapping[str, Plan],
    instances: Sequence[str] = (),
    missing: Sequence[str] = (),
) -> BurnReport:
    """Return the error-budget usage of each team and class.

    :param stats: statistics merged across the fleet.
    :param plans: the plan of each team.
    :param instances: names of the instances whose statistics are included.
    :param missing: names of the instances that did not respond.
    """
    rows = [
        _row(team, klass, entry, plans[team])
        for (team, klass), entry in sorted(stats.classes.items())
        if team in plans
    ]
    return BurnReport(
        tuple(row for row in rows if row.requests),
        dict(stats.refusals),
        tuple(sorted(instances)),
        tuple(sorted(missing)),
    )


def _row(team: str, klass: str, entry: ClassStats, plan: Plan) -> BurnRow:
    rates = {
        name: round(burn_rate(entry.windows[name], plan.slo_target), 3)
        for name in WINDOWS_S
    }
    longest = entry.windows[max(WINDOWS_S, key=WINDOWS_S.__getitem__)]
    waits = entry.waits
    has_waits = waits.get_total_count() > 0
    return BurnRow(
        team=team,
        klass=klass,
        objective_ms=plan.objective_ms(klass),
        target=plan.slo_target,
        requests=sum(longest),
        slow=longest[1],
        refused=longest[2],
        p50_ms=waits.get_value_at_percentile(50) / 1000 if has_waits else 0.0,
        p99_ms=waits.get_value_at_percentile(99) / 1000 if has_waits else 0.0,
        burn_rates=rates,
        alert=worst_alert(rates),
    )
