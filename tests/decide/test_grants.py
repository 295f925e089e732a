"""Grants never exceed the capacity that is certainly free."""

from hypothesis import given
from hypothesis import strategies as st

from firhook.decide.grants import CapacityDemand, GrantTable, holder_cap
from firhook.decide.limit_transfers import TeamCapacity, choose_transfer


def open_table(known=None, silent=(), until=0.0, holders=2):
    table = GrantTable(3.0, 30.0)
    table.open(0.0, known or {}, silent, until, holders, holders)
    return table


@given(
    st.integers(0, 50),
    st.lists(
        st.tuples(
            st.sampled_from("abc"), st.integers(0, 60), st.floats(0, 20), st.booleans()
        ),
        max_size=20,
    ),
)
def test_holders_never_have_more_than_the_part(part, asks):
    """Instances ask repeatedly, miss answers and let their grants expire."""
    table, now = open_table(holders=3), 0.0
    holdings: dict[str, tuple[int, float]] = {}
    for holder, wanted, wait, lost in asks:
        now += wait
        held, until = holdings.get(holder, (0, 0.0))
        # Unwanted capacity is released before the lead learns of it.
        held = min(held, wanted) if now < until else 0
        holdings[holder] = (held, until)
        granted = table.grant("t", holder, wanted, held, part, now)
        if not lost:
            holdings[holder] = (granted, now + 3.0)
        assert table.lent("t", now) <= part
        # Requests may outlive the grant under which they were started.
        assert sum(n for n, end in holdings.values() if now < end + 30.0) <= part


def test_outdated_request_is_detected():
    """Two requests of an instance are reordered when its connection breaks.

    The older one reports smaller holdings.  If it counted, the capacity granted to
    the newer one would be lent twice.
    """
    table = open_table()
    assert not table.is_outdated("a", 2, 0.0)
    assert table.is_outdated("a", 1, 0.0)
    assert table.is_outdated("a", 2, 0.0)


def test_capacity_set_aside_for_tasks_is_not_lent_for_requests():
    """A holder asks between the decision to start tasks and its log record."""
    table = open_table()
    assert table.set_aside_for_tasks("t", 10, 0.0) == 10
    assert table.set_aside_for_tasks("t", 10, 0.0) == 10
    assert table.grant("t", "a", 5, 0, 10, 0.0) == 0
    table.keep_set_aside({"t": 7})
    assert table.grant("t", "a", 5, 0, 10, 0.0) == 3
    table.tasks = {"t": 4}
    assert table.grant("t", "a", 10, 0, 10, 0.0) == 6


def test_new_lead_lends_what_an_unreachable_holder_cannot_hold():
    table = open_table({"b": {"t": 2}}, ("a",), until=33.0, holders=3)
    cap = holder_cap(12, 3)
    assert cap == 6
    assert table.grant("t", "b", 12, 2, 12, 1.0) == 6
    assert table.grant("t", "c", 12, 0, 12, 1.0) == 0
    table.note_late_answer("a", {"t": 1}, 2.0)
    assert table.grant("t", "c", 12, 0, 12, 2.0) == 5


def test_larger_roster_waits_until_loans_fit_its_cap():
    table = open_table(holders=1)
    assert table.grant("t", "a", 12, 0, 12, 0.0) == 12
    assert not table.fits_caps(2, lambda team: 12)
    table.holders = 2
    assert table.grant("t", "a", 12, 3, 12, 1.0) == 8
    assert table.fits_caps(2, lambda team: 12)


def test_demand_of_a_burst_decays():
    demand = CapacityDemand(2.0)
    demand.raise_to("t", 40, 0.0)
    assert demand.wanted("t", 0, 0.0) == 40
    assert demand.wanted("t", 3, 4.0) == 10
    assert demand.wanted("t", 3, 20.0) == 3
    assert demand.teams(60.0) == []


def view(**changed):
    base = {
        "base_part": 10,
        "transferable": 10,
        "unmet_demand": {"b": 9},
        "zones": 4,
        "received_at": -9.0,
    }
    return TeamCapacity(**{**base, **changed})


def test_transfer_goes_to_the_zone_with_the_largest_unmet_demand():
    assert choose_transfer("a", view(), 0.0) == ("b", 3)
    assert choose_transfer("a", view(unmet_demand={"b": 1, "c": 60}), 0.0) == ("c", 9)


def test_zone_with_own_demand_or_recent_transfer_gives_nothing():
    assert choose_transfer("a", view(unmet_demand={"a": 1, "b": 9}), 0.0) is None
    assert choose_transfer("a", view(received_at=-1.0), 0.0) is None
    assert choose_transfer("a", view(transferable=1), 0.0) is None


def test_guests_share_the_leads_cap():
    """The lead lends to instances that start during an outage of the log.

    The next lead counts an unreachable lead by its cap and does not know of the
    guests.  If each guest had its own cap, the team would exceed its limit after
    the lead's death.
    """
    table = GrantTable(3.0, 30.0)
    table.lead_name = "lead"
    table.open(0.0, {}, (), 0.0, 3, 3)
    cap = holder_cap(20, 3)
    for guest in ("g1", "g2"):
        table.add_guest(guest)
    granted = [table.grant("t", h, 20, 0, 20, 1.0) for h in ("lead", "g1", "g2")]
    assert sum(granted) == cap
    assert table.grant("t", "member", 20, 0, 20, 1.0) == 20 - cap
