"""The report on service-level burn."""

from collections.abc import Mapping
from typing import Any

from firhook._stats import Stats
from firhook.model import Plan


def burn_report(stats: Stats, plans: Mapping[str, Plan]) -> dict[str, Any]:
    """Return how fast each team and class burns its error budget.

    A burn rate of 1 uses up exactly the share of slow requests that the
    plan's objective allows; above 1 the objective will be missed.

    :param stats: merged over the fleet.
    :param plans: the plan of each team.
    """
    rows = []
    for (team, klass), hist in sorted(stats.waits.items()):
        plan = plans.get(team)
        if plan is None or not hist.get_total_count():
            continue
        slow = _slow(hist, plan.slo_ms)
        rows.append(
            {
                "team": team,
                "class": klass,
                "requests": hist.get_total_count(),
                "p50_ms": hist.get_value_at_percentile(50) / 1000,
                "p99_ms": hist.get_value_at_percentile(99) / 1000,
                "objective_ms": plan.slo_ms,
                "target": plan.slo_target,
                "burn_rate": round(slow / (1 - plan.slo_target), 3),
            }
        )
    return {"rows": rows, "refusals": dict(stats.refusals)}


def _slow(hist: Any, objective_ms: float) -> float:
    """Return the share of requests that waited longer than the objective."""
    total = hist.get_total_count()
    within = 0
    for item in hist.get_recorded_iterator():
        if item.value_iterated_to <= objective_ms * 1000:
            within += item.count_added_in_this_iter_step
    return 1 - within / total
