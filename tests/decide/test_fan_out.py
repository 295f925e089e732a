"""To which instances the lead sends records, and which of them forward digests."""

from firhook.decide.election import Candidate
from firhook.decide.fan_out import digest_delay_s, plan_fan_out


def _cell(zones=6, strong=3, weak=13):
    return [
        Candidate(f"{zone}-{kind}{n}", f"z{zone}", strength)
        for zone in range(zones)
        for kind, count, strength in (("strong", strong, 2.15), ("weak", weak, 0.5))
        for n in range(count)
    ]


def _recipients(plan):
    """Return the instances that receive a digest, one entry for each delivery."""
    recipients = list(plan.direct)
    for relay, members in plan.relays:
        recipients += [relay, *members]
    return recipients


def test_each_instance_but_the_lead_receives_digests_once():
    cell = _cell()
    plan = plan_fan_out(cell, "0-strong0", {})
    recipients = _recipients(plan)
    named = [name for name in recipients if name not in plan.standbys]
    assert sorted([*named, *plan.standbys, "0-strong0"]) == sorted(c.name for c in cell)


def test_lead_sends_to_one_relay_per_zone_and_to_the_standbys():
    """Sent to 95 instances by one, a record takes 95 times its size on one link."""
    plan = plan_fan_out(_cell(), "0-strong0", {})
    assert len(plan.relays) == 6
    assert plan.direct == ()
    assert len(plan.standbys) == 2
    assert all("strong" in relay for relay, _ in plan.relays)


def test_standbys_and_the_lead_are_in_different_zones():
    """An isolated zone would contain the lead and all that could take over at once."""
    plan = plan_fan_out(_cell(), "0-strong0", {})
    assert len({name.partition("-")[0] for name in (*plan.standbys, "0-")}) == 3


def test_zone_whose_relay_failed_gets_another_relay():
    first = dict(plan_fan_out(_cell(), "0-strong0", {}).relays)
    relay = next(iter(first))
    then = dict(plan_fan_out(_cell(), "0-strong0", {relay: 1.0}).relays)
    assert relay not in then
    assert relay in {name for members in then.values() for name in members}


def test_small_zones_have_no_relay():
    plan = plan_fan_out(_cell(zones=4, strong=2, weak=0), "0-strong0", {})
    assert plan.relays == ()


def test_zone_whose_relays_all_failed_still_uses_a_relay():
    """Late answers indicate a saturated link; more messages would make it worse."""
    cell = _cell(zones=2)
    unfit = {c.name: 9.0 for c in cell} | {"1-weak3": 5.0}
    plan = plan_fan_out(cell, "0-strong0", unfit)
    assert plan.direct == ()
    assert "1-weak3" in dict(plan.relays)


def test_unregistered_lead_sends_to_all_instances():
    cell = _cell(zones=1)
    assert len(set(_recipients(plan_fan_out(cell, "unknown", {})))) >= len(cell) - 2


def test_digest_delay_grows_with_the_instances_up_to_a_limit():
    assert digest_delay_s(9) == digest_delay_s(39) == 0.015
    assert (
        0.03 < digest_delay_s(97) < digest_delay_s(300) == digest_delay_s(1000) == 0.05
    )
