"""The parts of a limit never add up to more than the limit."""

from hypothesis import given
from hypothesis import strategies as st

from firhook.decide.limits import Account, split, zone_parts

NAMES = st.lists(st.sampled_from("abcdefg"), unique=True, min_size=1)


@given(st.integers(0, 10_000), NAMES)
def test_split_adds_up_to_the_limit(limit, holders):
    assert sum(split(limit, holders).values()) == limit


@given(st.integers(0, 100), NAMES, st.data())
def test_zone_parts_never_exceed_the_limit_whatever_was_moved(limit, zones, data):
    moves = data.draw(
        st.lists(
            st.tuples(
                st.sampled_from(zones), st.sampled_from(zones), st.integers(0, 200)
            )
        )
    )
    moved: dict[str, int] = {}
    for giver, receiver, amount in moves:
        moved[giver] = moved.get(giver, 0) - amount
        moved[receiver] = moved.get(receiver, 0) + amount
    parts = zone_parts(limit, zones, moved)
    assert all(part >= 0 for part in parts.values())
    assert sum(parts.values()) <= limit


def test_account_counts_what_runs_when_its_room_shrinks():
    account = Account()
    account.room["t"] = 2
    assert account.take("t", 2)
    account.room["t"] = 1
    account.give_back("t")
    assert not account.take("t")
