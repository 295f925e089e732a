"""From which peers a starting instance copies the cell's records."""

from firhook.decide.copy_sources import choose_copy_sources
from firhook.decide.election import Candidate

CELL = [
    Candidate("a-strong", "za", 2.15),
    Candidate("a-weak", "za", 0.5),
    Candidate("b-strong0", "zb", 2.15),
    Candidate("b-strong1", "zb", 2.15),
]


def test_weak_instance_copies_from_the_strong_one_of_its_zone_first():
    assert choose_copy_sources("a-weak", "za", 0.5, CELL)[0] == "a-strong"
    assert set(choose_copy_sources("a-weak", "za", 0.5, CELL)[1:]) == {
        "b-strong0",
        "b-strong1",
    }


def test_instance_that_may_have_to_lead_reads_the_store():
    assert choose_copy_sources("a-strong", "za", 2.15, CELL) == []
    assert choose_copy_sources("new", "za", 1.5, CELL) == []


def test_instances_that_start_together_copy_from_different_peers():
    first = {choose_copy_sources(f"b-weak{n}", "zb", 0.5, CELL)[0] for n in range(10)}
    assert first == {"b-strong0", "b-strong1"}
