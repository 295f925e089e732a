"""Records go through the lead while appends to the store contend."""

import pytest

from firhook.decide.append_route import SLOW_APPEND_S, AppendRoute

SLOW, FAST = 2 * SLOW_APPEND_S, SLOW_APPEND_S / 10


def append(route, took_s, at=0.0, answered=True):
    route.note_append_sent(at)
    route.note_append_ended(at + took_s, answered)


def test_instance_appends_itself_while_appends_are_fast():
    route = AppendRoute()
    assert not route.should_use_lead(0.0, 0.0)
    append(route, FAST)
    assert not route.should_use_lead(1.0, 1.0)


def test_slow_append_routes_later_records_through_the_lead():
    route = AppendRoute()
    append(route, SLOW)
    assert route.should_use_lead(1.0, 1.0)
    assert route.should_use_lead(100.0, 100.0)


def test_append_in_flight_counts_as_slow_once_it_takes_too_long():
    route = AppendRoute()
    route.note_append_sent(10.0)
    assert not route.should_use_lead(10.0 + FAST, 10.0 + FAST)
    assert route.should_use_lead(10.0 + SLOW, 10.0 + SLOW)


@pytest.mark.parametrize(("took_s", "use_lead"), [(SLOW, True), (FAST, False)])
def test_duration_of_the_leads_append_decides_the_route(took_s, use_lead):
    route = AppendRoute()
    append(route, SLOW)
    route.note_lead_append(took_s)
    assert route.should_use_lead(2.0, 2.0) is use_lead


def test_lead_that_fails_to_append_is_not_used_for_a_while():
    route = AppendRoute()
    append(route, SLOW)
    route.note_lead_failure(1.0)
    assert not route.should_use_lead(1.5, 1.5)
    assert route.should_use_lead(2.5, 2.5)


def test_store_that_answers_nothing_does_not_count_as_slow():
    """A record that was never sent can be refused, which keeps its outcome known.

    Once the record went to the lead, its outcome is unknown.
    """
    route = AppendRoute()
    route.note_append_sent(10.0)
    assert not route.should_use_lead(10.0 + SLOW, 9.9)
    assert route.should_use_lead(10.0 + SLOW, 10.05)
    route.note_append_ended(11.5, answered=False)
    assert not route.should_use_lead(11.6, 9.9)
