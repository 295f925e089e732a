"""Calculations of the burn report: windows, merging, rates and alerts."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from firhook._report import burn_rate, burn_report, worst_alert
from firhook._stats import WINDOWS_S, FleetStats, MinuteCounts, Stats
from firhook.model import Plan, Row, check_plan

PLAN = Plan("small", 1.0, 10, slo_ms=100.0, slo_target=0.9)
EVENTS = st.lists(st.tuples(st.integers(0, 500), st.integers(0, 2)), max_size=60).map(
    sorted
)


@given(EVENTS, st.integers(0, 600))
def test_window_counts_what_fell_into_it(events, later):
    counts = MinuteCounts()
    for minute, kind in events:
        counts.add(minute, kind)
    now = (events[-1][0] if events else 0) + later
    for window_s in WINDOWS_S.values():
        first = now - window_s // 60
        expected = [
            sum(1 for at, k in events if first < at <= now and k == kind)
            for kind in range(3)
        ]
        assert counts.sum_window(now, window_s) == expected


@given(st.lists(st.integers(0, 10**6), min_size=3, max_size=3), st.floats(0.5, 0.9999))
def test_burn_rate_is_one_where_misses_equal_the_budget(counts, target):
    rate = burn_rate(counts, target)
    total = sum(counts)
    if not total:
        assert rate == 0
    else:
        allowed = total * (1 - target)
        assert rate * allowed == pytest.approx(counts[1] + counts[2])


def test_alert_needs_both_of_its_windows():
    """A burst that has ended still fills the one-hour window and must not alert."""
    quiet = dict.fromkeys(WINDOWS_S, 0.0)
    assert worst_alert({**quiet, "1h": 50.0}) == ""
    assert worst_alert({**quiet, "5m": 50.0}) == ""
    assert worst_alert({**quiet, "5m": 50.0, "1h": 15.0}) == "page"
    assert worst_alert({**quiet, "30m": 7.0, "6h": 6.0}) == "ticket"


@given(
    st.lists(
        st.tuples(st.integers(0, 3), st.sampled_from((0.05, 0.2, None))), max_size=40
    )
)
def test_fleet_report_is_the_same_however_requests_were_spread(requests):
    """The report must not depend on which instances received the requests."""
    spread = [Stats(lambda: 1000.0) for _ in range(4)]
    alone = Stats(lambda: 1000.0)
    for stats in (*spread, alone):
        stats.objective_ms = lambda team, klass: 100.0
    for instance, wait_s in requests:
        for stats in (spread[instance], alone):
            if wait_s is None:
                stats.count_refusal("queue.deadline", "lisboa", "bulk")
            else:
                stats.count_answer("lisboa", "bulk", wait_s, 0.1)
    fleet, single = FleetStats(), FleetStats()
    single.merge(alone.dump())
    for stats in spread:
        fleet.merge(stats.dump())
    report = burn_report(fleet, {"lisboa": PLAN})
    assert report == burn_report(single, {"lisboa": PLAN})
    if requests:
        missed = sum(1 for _, wait_s in requests if wait_s != 0.05)
        [row] = report.rows
        expected = missed / len(requests) / (1 - PLAN.slo_target)
        assert row.burn_rates["5m"] == pytest.approx(expected, abs=1e-3)


def test_caller_errors_burn_no_budget():
    stats = Stats(lambda: 0.0)
    stats.count_refusal("request.malformed", "lisboa", "bulk")
    stats.count_refusal("key.refused")
    fleet = FleetStats()
    fleet.merge(stats.dump())
    assert burn_report(fleet, {"lisboa": PLAN}).rows == ()
    assert fleet.refusals == {"request.malformed": 1, "key.refused": 1}


def test_plan_may_have_an_objective_for_each_class():
    values = {"share": "1", "limit": "5", "slo_ms": "200", "slo_bulk_ms": "60000"}
    plan = check_plan(Row("plans", "small", values))
    promised = [plan.objective_ms(k) for k in ("interactive", "standard", "bulk")]
    assert promised == [200.0, 200.0, 60000.0]
