"""The book of grants never lends more than is certainly free."""

from hypothesis import given
from hypothesis import strategies as st

from firhook.decide.grants import CapacityDemand, GrantTable, holder_cap
from firhook.decide.limit_transfers import TeamCapacity, choose_transfer


def opened(known=None, silent=(), until=0.0, holders=2):
    book = GrantTable(3.0, 30.0)
    book.open(0.0, known or {}, silent, until, holders, holders)
    return book


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
    """Instances ask again and again, die, and let their grants lapse."""
    book, now = opened(holders=3), 0.0
    room: dict[str, tuple[int, float]] = {}
    for holder, wanted, wait, lost in asks:
        now += wait
        held, until = room.get(holder, (0, 0.0))
        # What is no longer wanted is given up before the lead hears of it.
        held = min(held, wanted) if now < until else 0
        room[holder] = (held, until)
        granted = book.grant("t", holder, wanted, held, part, now)
        if not lost:
            room[holder] = (granted, now + 3.0)
        assert book.lent("t", now) <= part
        # Requests run on for a while after the room that they were begun on.
        assert sum(n for n, end in room.values() if now < end + 30.0) <= part


def test_late_ask_counts_nothing_less():
    """Two asks of an instance overtake each other when its connection breaks.

    The older one says that it holds little.  Were it to count, the room that
    the newer one was granted would be lent a second time.
    """
    book = opened()
    assert not book.is_outdated("a", 2, 0.0)
    assert book.is_outdated("a", 1, 0.0)
    assert book.is_outdated("a", 2, 0.0)


def test_room_answered_to_tasks_is_not_lent_for_requests():
    """A lead decides to start tasks, and a request comes before the log's word."""
    book = opened()
    assert book.set_aside_for_tasks("t", 10, 0.0) == 10
    assert book.set_aside_for_tasks("t", 10, 0.0) == 10
    assert book.grant("t", "a", 5, 0, 10, 0.0) == 0
    book.keep_set_aside({"t": 7})
    assert book.grant("t", "a", 5, 0, 10, 0.0) == 3
    book.tasks = {"t": 4}
    assert book.grant("t", "a", 10, 0, 10, 0.0) == 6


def test_new_lead_lends_at_once_what_a_silent_holder_cannot_have():
    book = opened({"b": {"t": 2}}, ("a",), until=33.0, holders=3)
    cap = holder_cap(12, 3)
    assert cap == 6
    assert book.grant("t", "b", 12, 2, 12, 1.0) == 6
    assert book.grant("t", "c", 12, 0, 12, 1.0) == 0
    book.note_late_answer("a", {"t": 1}, 2.0)
    assert book.grant("t", "c", 12, 0, 12, 2.0) == 5


def test_larger_roster_waits_until_loans_fit_its_cap():
    book = opened(holders=1)
    assert book.grant("t", "a", 12, 0, 12, 0.0) == 12
    assert not book.fits_caps(2, lambda team: 12)
    book.holders = 2
    assert book.grant("t", "a", 12, 3, 12, 1.0) == 8
    assert book.fits_caps(2, lambda team: 12)


def test_burst_of_the_past_does_not_keep_room():
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


def test_spare_goes_to_the_zone_that_is_short_most():
    assert choose_transfer("a", view(), 0.0) == ("b", 3)
    assert choose_transfer("a", view(unmet_demand={"b": 1, "c": 60}), 0.0) == ("c", 9)


def test_zone_keeps_its_room_when_short_itself_or_lately_given():
    assert choose_transfer("a", view(unmet_demand={"a": 1, "b": 9}), 0.0) is None
    assert choose_transfer("a", view(received_at=-1.0), 0.0) is None
    assert choose_transfer("a", view(transferable=1), 0.0) is None


def test_guests_borrow_under_the_leads_own_cap():
    """Instances start while the log is out, and the lead lends to them.

    The next lead counts a silent lead by its cap and knows of no guests.  Were
    each guest lent a cap of its own, the team would run above its limit after
    the lead's death.
    """
    book = GrantTable(3.0, 30.0)
    book.lead_name = "lead"
    book.open(0.0, {}, (), 0.0, 3, 3)
    cap = holder_cap(20, 3)
    for guest in ("g1", "g2"):
        book.add_guest(guest)
    granted = [book.grant("t", h, 20, 0, 20, 1.0) for h in ("lead", "g1", "g2")]
    assert sum(granted) == cap
    assert book.grant("t", "member", 20, 0, 20, 1.0) == 20 - cap
