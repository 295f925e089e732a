"""Records go through the lead while appends wait for each other."""

import pytest

from firhook.decide.append_route import SLOW_APPEND_S, AppendRoute

LONG, QUICK = 2 * SLOW_APPEND_S, SLOW_APPEND_S / 10


def appended(route, took_s, at=0.0, answered=True):
    route.note_append_sent(at)
    route.note_append_ended(at + took_s, answered)


def test_quick_appends_are_the_instances_own():
    route = AppendRoute()
    assert not route.should_use_lead(0.0, 0.0)
    appended(route, QUICK)
    assert not route.should_use_lead(1.0, 1.0)


def test_append_that_takes_long_sends_what_follows_through_the_lead():
    route = AppendRoute()
    appended(route, LONG)
    assert route.should_use_lead(1.0, 1.0)
    assert route.should_use_lead(100.0, 100.0)


def test_append_that_is_still_under_way_after_long_counts_too():
    route = AppendRoute()
    route.note_append_sent(10.0)
    assert not route.should_use_lead(10.0 + QUICK, 10.0 + QUICK)
    assert route.should_use_lead(10.0 + LONG, 10.0 + LONG)


@pytest.mark.parametrize(("took_s", "through"), [(LONG, True), (QUICK, False)])
def test_the_leads_own_time_decides_when_instances_append_again(took_s, through):
    route = AppendRoute()
    appended(route, LONG)
    route.note_lead_append(took_s)
    assert route.should_use_lead(2.0, 2.0) is through


def test_lead_that_does_not_append_is_left_alone_for_a_while():
    route = AppendRoute()
    appended(route, LONG)
    route.note_lead_failure(1.0)
    assert not route.should_use_lead(1.5, 1.5)
    assert route.should_use_lead(2.5, 2.5)


def test_store_that_answers_nothing_is_not_crowded():
    """Records that were never sent had an unknown outcome once the lead had them."""
    route = AppendRoute()
    route.note_append_sent(10.0)
    assert not route.should_use_lead(10.0 + LONG, 9.9)
    assert route.should_use_lead(10.0 + LONG, 10.05)
    route.note_append_ended(11.5, answered=False)
    assert not route.should_use_lead(11.6, 9.9)
