"""Which instance stands for the lead, and when."""

from hypothesis import given
from hypothesis import strategies as st

from firhook.decide.election import (
    LEAD_TIMEOUT_S,
    Candidate,
    Election,
    succession_order,
)


def seven():
    """Return seven instances of one kind in three zones."""
    zones = "aaabbcc"
    return [Candidate(f"i{n}", zone, 1.0) for n, zone in enumerate(zones)]


def first_to_stand(names, candidates, heard_at, lead, until=20.0):
    """Return who stands first after the lead was heard last, and when."""
    elections = [Election(name) for name in names]
    for election in elections:
        election.set_ready(True, 0.0)
        election.record_heartbeat(5, lead, 0, heard_at)
    now = heard_at
    while now < until:
        now += 0.01
        for election, name in zip(elections, names, strict=True):
            if election.should_campaign(candidates, now):
                return name, now
    return None, now


def test_nobody_stands_while_the_lead_is_heard():
    election = Election("i1")
    election.set_ready(True, 0.0)
    for tick in range(100):
        election.record_heartbeat(5, "i0", 0, tick * 0.1)
        assert not election.should_campaign(seven(), tick * 0.1 + LEAD_TIMEOUT_S - 0.01)


def test_first_in_line_is_of_another_zone_than_the_lead_that_fell_silent():
    """A zone is cut off with the lead and two others in it."""
    rest = [c.name for c in seven() if c.zone != "a"]
    name, at = first_to_stand(rest, seven(), 10.0, "i0")
    assert name == "i3"
    assert at - 10.0 < LEAD_TIMEOUT_S + 0.02


def test_the_next_stands_when_those_before_it_are_gone():
    name, at = first_to_stand(["i6"], seven(), 10.0, "i0")
    assert name == "i6"
    assert at - 10.0 < 2.0


def test_weak_instance_stands_only_after_the_strong_ones_had_their_time():
    """All strong ones restart; a weak lead falls behind at once."""
    weak = Candidate("weak", "a", 0.5)
    strong = [Candidate(f"s{n}", "b", 2.0) for n in range(3)]
    _, at = first_to_stand(["weak"], [weak, *strong], 10.0, "s0")
    assert at - 10.0 > LEAD_TIMEOUT_S + 3 * 0.15
    name, _ = first_to_stand(["weak", "s2"], [weak, *strong], 10.0, "s0")
    assert name == "s2"


def test_one_that_was_replaced_does_not_count_as_the_lead():
    election = Election("i1")
    election.set_ready(True, 0.0)
    election.record_heartbeat(6, "i2", 0, 1.0)
    election.record_heartbeat(5, "i0", 0, 9.0)
    assert election.lead_timed_out(2.0)
    assert election.lead == "i2"


def test_record_that_is_read_late_is_no_sign_of_life():
    """What the lead wrote before it died is read half a second later."""
    election = Election("i1")
    election.set_ready(True, 0.0)
    election.record_heartbeat(5, "i0", 700, 10.0)
    election.observe_record(5, 699, 10.3)
    assert election.lead_timed_out(10.0 + LEAD_TIMEOUT_S)
    election.observe_record(5, 701, 10.3)
    assert not election.lead_timed_out(10.0 + LEAD_TIMEOUT_S)


def test_one_whose_takeover_failed_leaves_the_lead_to_the_others():
    election = Election("i3")
    election.set_ready(True, 0.0)
    election.record_heartbeat(5, "i0", 0, 10.0)
    election.back_off(16.0)
    # That it was replaced does not end the longer rest.
    election.back_off(10.5)
    assert not election.should_campaign(seven(), 15.9)
    assert election.should_campaign(seven(), 16.0)


candidates = st.lists(
    st.builds(
        Candidate,
        st.integers(0, 40).map(lambda n: f"i{n}"),
        st.sampled_from("abc"),
        st.sampled_from([0.516, 1.0, 1.07, 2.15]),
    ),
    min_size=1,
    max_size=36,
    unique_by=lambda c: c.name,
)


@given(candidates, st.integers(0, 40))
def test_no_two_of_a_class_stand_at_once_and_none_is_left_out(rows, last):
    line = succession_order(rows, f"i{last}")
    assert sorted(c.name for c, _ in line) == sorted(c.name for c in rows)
    classes = [weaker for _, weaker in line]
    assert classes == sorted(classes)
