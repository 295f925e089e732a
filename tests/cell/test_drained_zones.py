"""The drained zones, which reach an instance from several sources in any order."""

import math

from hypothesis import given
from hypothesis import strategies as st

from firhook.cell import DrainedZones, ZoneDrain

ZONES = ("a", "b", "c")
#: Whether the record at an offset drains its zone or returns it to service.
HISTORIES = st.lists(st.tuples(st.sampled_from(ZONES), st.booleans()), max_size=12)


def zones_at(history, end):
    """Return the drained zones and the offsets of their records before an offset."""
    drains = {}
    for offset, (zone, is_drained) in enumerate(history[:end], start=1):
        if is_drained:
            drains[zone] = ZoneDrain(offset, 0.0)
        else:
            drains.pop(zone, None)
    return drains


@given(HISTORIES, st.data())
def test_older_sources_never_undo_newer_ones(history, data):
    """A zone must not get work again because an old copy or read arrives late."""
    zones, newest = DrainedZones(), 0
    for _ in range(data.draw(st.integers(1, 8))):
        end = data.draw(st.integers(0, len(history)))
        if data.draw(st.booleans()):
            zones.replace(zones_at(history, end), end + 1)
        else:
            # Reads continue from an earlier offset up to this one.
            start = data.draw(st.integers(0, newest))
            for offset in range(start, end):
                zone, is_drained = history[offset]
                zones.apply(zone, offset + 1, is_drained, 0.0)
            zones.advance(end + 1)
        newest = max(newest, end)
        assert set(zones.by_zone) == set(zones_at(history, newest))


def test_page_that_is_newer_than_its_end_is_not_undone_by_the_records_before_it():
    zones = DrainedZones()
    # The page was read after both records, its end before them.
    zones.replace({"a": ZoneDrain(7, 0.0)}, end=5)
    assert not zones.apply("a", 6, False, 0.0)
    assert "a" in zones
    assert zones.apply("a", 8, False, 0.0)
    assert "a" not in zones


def test_start_may_be_repeated_until_the_drain_takes_effect():
    zones = DrainedZones()
    zones.apply("a", 1, True, after=10.0)
    assert zones.may_repeat_start("a", 13.9, drain_s=4.0)
    assert not zones.may_repeat_start("a", 14.0, drain_s=4.0)
    assert zones.may_repeat_start("b", 99.0, drain_s=4.0)


def test_start_is_not_repeated_if_the_time_of_the_request_is_unknown():
    zones = DrainedZones()
    zones.apply("a", 1, True, after=-math.inf)
    assert not zones.may_repeat_start("a", 0.0, drain_s=4.0)


def test_zone_that_is_drained_again_keeps_the_stricter_time():
    zones = DrainedZones()
    zones.apply("a", 1, True, after=10.0)
    zones.apply("a", 5, True, after=20.0)
    assert zones.by_zone["a"] == ZoneDrain(5, 10.0)
