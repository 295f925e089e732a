"""Whom an instance asks for what it cannot know."""

from firhook.decide.election import Candidate
from firhook.decide.lookup_peers import MAX_LOOKUP_PEERS, choose_lookup_peers


def cell():
    """Return two strong instances of each of three zones, and many weak ones."""
    strong = [Candidate(f"s{zone}{n}", zone, 2.0) for zone in "abc" for n in range(2)]
    weak = [Candidate(f"w{zone}{n}", zone, 0.5) for zone in "abc" for n in range(6)]
    return weak + strong


def test_lead_is_asked_first():
    assert choose_lookup_peers("wa1", "sb1", cell())[0] == "sb1"


def test_without_a_lead_strong_instances_of_several_zones_are_asked():
    names = choose_lookup_peers("wa1", "", cell())
    assert len(names) == MAX_LOOKUP_PEERS
    assert {name[0] for name in names} == {"s"}
    assert len({name[1] for name in names}) == MAX_LOOKUP_PEERS


def test_nobody_asks_itself():
    assert "sa0" not in choose_lookup_peers("sa0", "sa0", cell())


def test_instance_that_knows_no_peer_asks_the_lead_that_it_hears():
    assert choose_lookup_peers("wa1", "sb1", []) == ["sb1"]
    assert choose_lookup_peers("wa1", "", []) == []
