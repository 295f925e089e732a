"""Which instance campaigns to become the lead, and when."""

from hypothesis import given
from hypothesis import strategies as st

from firhook.decide.election import (
    LEAD_TIMEOUT_S,
    Candidate,
    Election,
    succession_order,
)


def seven_candidates():
    """Return seven_candidates equally strong instances in three zones."""
    zones = "aaabbcc"
    return [Candidate(f"i{n}", zone, 1.0) for n, zone in enumerate(zones)]


def first_to_campaign(names, candidates, heartbeat_at, lead, until=20.0):
    """Return who campaigns first after the last heartbeat of the lead, and when."""
    elections = [Election(name) for name in names]
    for election in elections:
        election.set_ready(True, 0.0)
        election.record_heartbeat(5, lead, 0, heartbeat_at)
    now = heartbeat_at
    while now < until:
        now += 0.01
        for election, name in zip(elections, names, strict=True):
            if election.should_campaign(candidates, now):
                return name, now
    return None, now


def test_no_instance_campaigns_while_heartbeats_arrive():
    election = Election("i1")
    election.set_ready(True, 0.0)
    for tick in range(100):
        election.record_heartbeat(5, "i0", 0, tick * 0.1)
        assert not election.should_campaign(
            seven_candidates(), tick * 0.1 + LEAD_TIMEOUT_S - 0.01
        )


def test_first_candidate_is_in_another_zone_than_the_lost_lead():
    """A network partition isolates the zone of the lead and two other instances."""
    rest = [c.name for c in seven_candidates() if c.zone != "a"]
    name, at = first_to_campaign(rest, seven_candidates(), 10.0, "i0")
    assert name == "i3"
    assert at - 10.0 < LEAD_TIMEOUT_S + 0.02


def test_last_candidate_campaigns_when_all_before_it_are_gone():
    name, at = first_to_campaign(["i6"], seven_candidates(), 10.0, "i0")
    assert name == "i6"
    assert at - 10.0 < 2.0


def restarted_lead(strength=1.0):
    """Return the election of a restarted instance that led before, and candidates."""
    election = Election("i0")
    election.learn_lead(5, "i0")
    election.note_predecessor(5)
    rest = [c for c in seven_candidates() if c.name != "i0"]
    return election, [Candidate("i0", "a", strength), *rest]


def test_restarted_lead_campaigns_at_once():
    """After the loss of all instances, nobody hears a heartbeat of the last lead."""
    election, candidates = restarted_lead()
    assert not election.should_campaign(candidates, 1.0)
    election.set_ready(True, 1.0)
    assert election.should_campaign(candidates, 1.0)


def test_restarted_lead_does_not_campaign_if_another_has_led_since():
    election, candidates = restarted_lead()
    election.set_ready(True, 1.0)
    election.record_heartbeat(6, "i3", 0, 1.0)
    assert not election.should_campaign(candidates, 1.0)


def test_restarted_weak_lead_leaves_the_lead_to_stronger_instances():
    election, candidates = restarted_lead(strength=0.5)
    election.set_ready(True, 1.0)
    assert not election.should_campaign(candidates, 1.0)


def test_weak_instance_campaigns_only_after_all_strong_ones():
    """Strong instances that only restart come back before a weak one campaigns.

    A weak instance that leads cannot keep up.
    """
    weak = Candidate("weak", "a", 0.5)
    strong = [Candidate(f"s{n}", "b", 2.0) for n in range(3)]
    _, at = first_to_campaign(["weak"], [weak, *strong], 10.0, "s0")
    assert at - 10.0 > LEAD_TIMEOUT_S + 3 * 0.15
    name, _ = first_to_campaign(["weak", "s2"], [weak, *strong], 10.0, "s0")
    assert name == "s2"


def test_heartbeats_of_a_superseded_lead_are_ignored():
    election = Election("i1")
    election.set_ready(True, 0.0)
    election.record_heartbeat(6, "i2", 0, 1.0)
    election.record_heartbeat(5, "i0", 0, 9.0)
    assert election.lead_timed_out(2.0)
    assert election.lead == "i2"


def test_old_record_does_not_prove_that_the_lead_is_alive():
    """What a lead wrote before it crashed may be read half a second later.

    Such a record must not delay the election.
    """
    election = Election("i1")
    election.set_ready(True, 0.0)
    election.record_heartbeat(5, "i0", 700, 10.0)
    election.observe_record(5, 699, 10.3)
    assert election.lead_timed_out(10.0 + LEAD_TIMEOUT_S)
    election.observe_record(5, 701, 10.3)
    assert not election.lead_timed_out(10.0 + LEAD_TIMEOUT_S)


def test_instance_does_not_campaign_during_its_backoff():
    election = Election("i3")
    election.set_ready(True, 0.0)
    election.record_heartbeat(5, "i0", 0, 10.0)
    election.back_off(16.0)
    # A shorter backoff does not end a longer one.
    election.back_off(10.5)
    assert not election.should_campaign(seven_candidates(), 15.9)
    assert election.should_campaign(seven_candidates(), 16.0)


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
    classes = [strength_class for _, strength_class in line]
    assert classes == sorted(classes)
