"""The report on service-level burn, over the whole fleet."""

from collections.abc import Mapping, Sequence

import attrs

from firhook._stats import WINDOWS_S, ClassStats, FleetStats
from firhook.model import Plan


@attrs.frozen(slots=True)
class Alert:
    """Two windows that must both burn fast before anyone is called.

    The long window shows that enough budget is gone to matter, the short one
    that it is still going; a burst that is over therefore calls nobody, and a
    slow leak that each short window hides is seen all the same.

    :param name: ``page`` to wake somebody, ``ticket`` for the working day.
    :param burn_rate: at which both windows must burn.  At 14.4 an hour takes
        2% of a month's budget, at 6 six hours take 5%.
    """

    name: str
    short_window: str
    long_window: str
    burn_rate: float


ALERTS = (Alert("page", "5m", "1h", 14.4), Alert("ticket", "30m", "6h", 6.0))


@attrs.frozen(slots=True)
class BurnRow:
    """How one team's class of requests burns its error budget.

    :param objective_ms: waiting time in ms that its plan promises.
    :param target: share of requests that must keep the objective.
    :param requests: answered or refused in the longest window.
    :param slow: answered, but later than promised.
    :param refused: refused for no fault of the caller; a miss as well.
    :param p50_ms: median wait over the last half-hour to hour.
    :param burn_rates: by window; 1 uses the budget up exactly at the target.
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
    """The whole report.

    :param instances: names of the instances whose figures it holds.
    :param missing: instances that did not answer; their figures are not in it.
    :param refusals: refusals by code since the instances started.
    """

    rows: tuple[BurnRow, ...]
    refusals: dict[str, int]
    instances: tuple[str, ...] = ()
    missing: tuple[str, ...] = ()


def burn_rate(counts: Sequence[int], target: float) -> float:
    """Return how fast an error budget is burnt.

    :param counts: answered in time, answered late, refused.
    :param target: share of requests that must be answered in time, below 1.
    :returns: the share of misses over the share that is allowed; 0 if there
        were no requests.
    """
    total = sum(counts)
    if not total:
        return 0.0
    missed = total - counts[0]
    return missed / total / (1 - target)


def worst_alert(burn_rates: Mapping[str, float]) -> str:
    """Return the gravest alert whose two windows both burn fast enough."""
    for alert in ALERTS:
        slower = min(burn_rates[alert.short_window], burn_rates[alert.long_window])
        if slower >= alert.burn_rate:
            return alert.name
    return ""


def burn_report(
    stats: FleetStats,
    plans: Mapping[str, Plan],
    instances: Sequence[str] = (),
    missing: Sequence[str] = (),
) -> BurnReport:
    """Return how fast each team and class burns its error budget.

    :param stats: merged over the fleet.
    :param plans: the plan of each team.
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
    known = waits.get_total_count() > 0
    return BurnRow(
        team=team,
        klass=klass,
        objective_ms=plan.objective_ms(klass),
        target=plan.slo_target,
        requests=sum(longest),
        slow=longest[1],
        refused=longest[2],
        p50_ms=waits.get_value_at_percentile(50) / 1000 if known else 0.0,
        p99_ms=waits.get_value_at_percentile(99) / 1000 if known else 0.0,
        burn_rates=rates,
        alert=worst_alert(rates),
    )
