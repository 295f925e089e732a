"""Whom the lead tells of records, and who passes them on."""

from firhook.decide.election import Candidate
from firhook.decide.fan_out import digest_delay_s, plan_fan_out


def _cell(zones=6, strong=3, weak=13):
    return [
        Candidate(f"{zone}-{kind}{n}", f"z{zone}", strength)
        for zone in range(zones)
        for kind, count, strength in (("strong", strong, 2.15), ("weak", weak, 0.5))
        for n in range(count)
    ]


def _told(plan):
    """Return how often each instance is told a digest."""
    told = list(plan.direct)
    for relay, members in plan.relays:
        told += [relay, *members]
    return told


def test_everyone_but_the_lead_is_told_once():
    cell = _cell()
    plan = plan_fan_out(cell, "0-strong0", {})
    told = _told(plan)
    named = [name for name in told if name not in plan.standbys]
    assert sorted([*named, *plan.standbys, "0-strong0"]) == sorted(c.name for c in cell)


def test_lead_sends_to_one_instance_a_zone_and_to_the_next_in_line():
    """Told to 95 instances by one, a record is 95 times its size on one link."""
    plan = plan_fan_out(_cell(), "0-strong0", {})
    assert len(plan.relays) == 6
    assert plan.direct == ()
    assert len(plan.standbys) == 2
    assert all("strong" in relay for relay, _ in plan.relays)


def test_standbys_lie_in_zones_other_than_the_lead_and_each_other():
    """A zone that is cut off would take the lead and all that could follow it."""
    plan = plan_fan_out(_cell(), "0-strong0", {})
    assert len({name.partition("-")[0] for name in (*plan.standbys, "0-")}) == 3


def test_zone_whose_relay_failed_gets_another_one():
    first = dict(plan_fan_out(_cell(), "0-strong0", {}).relays)
    relay = next(iter(first))
    then = dict(plan_fan_out(_cell(), "0-strong0", {relay: 1.0}).relays)
    assert relay not in then
    assert relay in {name for members in then.values() for name in members}


def test_small_zones_are_told_directly():
    plan = plan_fan_out(_cell(zones=4, strong=2, weak=0), "0-strong0", {})
    assert plan.relays == ()


def test_zone_in_which_all_relays_failed_is_not_told_by_the_lead():
    """Late answers are a sign of a full link, which more messages would fill more."""
    cell = _cell(zones=2)
    unfit = {c.name: 9.0 for c in cell} | {"1-weak3": 5.0}
    plan = plan_fan_out(cell, "0-strong0", unfit)
    assert plan.direct == ()
    assert "1-weak3" in dict(plan.relays)


def test_lead_that_is_not_registered_tells_everyone():
    cell = _cell(zones=1)
    assert len(set(_told(plan_fan_out(cell, "unknown", {})))) >= len(cell) - 2


def test_more_instances_are_told_less_often_and_none_late():
    assert digest_delay_s(9) == digest_delay_s(39) == 0.015
    assert (
        0.03 < digest_delay_s(97) < digest_delay_s(300) == digest_delay_s(1000) == 0.05
    )
