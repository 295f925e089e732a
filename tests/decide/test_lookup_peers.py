"""Which peers an instance asks for what its replica lacks."""

from firhook.decide.election import Candidate
from firhook.decide.lookup_peers import MAX_LOOKUP_PEERS, choose_lookup_peers


def candidates():
    """Return two strong and six weak instances in each of three zones."""
    strong = [Candidate(f"s{zone}{n}", zone, 2.0) for zone in "abc" for n in range(2)]
    weak = [Candidate(f"w{zone}{n}", zone, 0.5) for zone in "abc" for n in range(6)]
    return weak + strong


def test_lead_is_asked_first():
    assert choose_lookup_peers("wa1", "sb1", candidates())[0] == "sb1"


def test_without_a_lead_strong_instances_of_several_zones_are_asked():
    names = choose_lookup_peers("wa1", "", candidates())
    assert len(names) == MAX_LOOKUP_PEERS
    assert {name[0] for name in names} == {"s"}
    assert len({name[1] for name in names}) == MAX_LOOKUP_PEERS


def test_instance_does_not_ask_itself():
    assert "sa0" not in choose_lookup_peers("sa0", "sa0", candidates())


def test_instance_without_known_peers_asks_the_lead():
    assert choose_lookup_peers("wa1", "sb1", []) == ["sb1"]
    assert choose_lookup_peers("wa1", "", []) == []
