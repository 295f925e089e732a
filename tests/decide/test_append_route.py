"""Records go through the lead as long as it appends them."""

from firhook.decide.append_route import AppendRoute


def test_records_go_through_the_lead_from_the_first_one():
    """Instances that wait for slow appends of their own fill the store's queue."""
    assert AppendRoute().should_use_lead(0.0)


def test_silent_lead_is_not_used_for_a_while():
    route = AppendRoute()
    route.note_lead_silent(1.0)
    assert not route.should_use_lead(1.9)
    assert route.should_use_lead(2.1)


def test_refusal_of_the_lead_counts_for_a_shorter_time_than_its_silence():
    route = AppendRoute()
    route.note_lead_refusal(1.0)
    assert not route.should_use_lead(1.2)
    assert route.should_use_lead(1.3)


def test_refusal_does_not_shorten_the_time_after_silence():
    route = AppendRoute()
    route.note_lead_silent(1.0)
    route.note_lead_refusal(1.1)
    assert not route.should_use_lead(1.9)
