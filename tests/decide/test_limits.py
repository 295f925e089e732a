"""The parts of a limit never add up to more than the limit."""

from hypothesis import given, settings
from hypothesis import strategies as st

from firhook.decide.limits import Account, move_tokens, split, zone_parts

NAMES = st.lists(st.sampled_from("abcdefg"), unique=True, min_size=1)


@given(st.integers(0, 10_000), NAMES)
def test_split_adds_up_to_the_limit(limit, holders):
    assert sum(split(limit, holders).values()) == limit


def draw_moves(data, zones, limits, most=12):
    """Return the spans after each drawn transfer, starting without spans.

    :returns: pairs of the spans and the giver of the transfer that led to them.
    """
    history = [((), "")]
    for _ in range(data.draw(st.integers(0, most))):
        giver, receiver = (
            data.draw(st.sampled_from(zones)),
            data.draw(st.sampled_from(zones)),
        )
        limit = data.draw(st.sampled_from(limits))
        amount = data.draw(st.integers(0, 40))
        moved = move_tokens(history[-1][0], zones, limit, giver, receiver, amount)
        if moved is not None:
            history.append((moved, giver))
    return history


@given(st.integers(0, 100), NAMES, st.data())
def test_zone_parts_add_up_to_the_limit_whatever_was_moved(limit, zones, data):
    limits = [limit, data.draw(st.integers(0, 100))]
    for moved, _ in draw_moves(data, zones, limits):
        parts = zone_parts(limit, zones, moved)
        assert all(part >= 0 for part in parts.values())
        assert sum(parts.values()) == limit


@given(
    st.lists(st.integers(0, 60), min_size=1, max_size=3),
    st.integers(2, 4),
    st.data(),
)
def test_zones_that_read_different_records_stay_within_the_largest_limit(
    limits, count, data
):
    """Limits and transfers are on two streams, which zones read independently.

    A partitioned zone may not know a new limit or a transfer that others have read.
    If the parts could add up to more than the largest limit in use, a team would
    exceed its limit for as long as the zone is partitioned.
    """
    zones = list("abcd"[:count])
    history = draw_moves(data, zones, limits)
    total = 0
    for zone in zones:
        # A giver counts its own transfers from when it sends them.
        own = [i for i, (_, giver) in enumerate(history) if giver == zone]
        read = data.draw(st.integers(max(own, default=0), len(history) - 1))
        limit = data.draw(st.sampled_from(limits))
        total += zone_parts(limit, zones, history[read][0])[zone]
    assert total <= max(limits)


@given(st.integers(0, 60), st.integers(2, 4), st.data())
def test_transfer_moves_just_its_amount_or_is_void(limit, count, data):
    zones = list("abcd"[:count])
    moved, _ = draw_moves(data, zones, [limit])[-1]
    before = zone_parts(limit, zones, moved)
    amount = data.draw(st.integers(1, 60))
    after = move_tokens(moved, zones, limit, "a", "b", amount)
    if after is None:
        assert before["a"] < amount
        return
    parts = zone_parts(limit, zones, after)
    assert parts["a"] == before["a"] - amount
    assert parts["b"] == before["b"] + amount


@settings(max_examples=10)
@given(st.randoms(use_true_random=False))
def test_spans_stay_few_over_many_transfers(rnd):
    zones, moved = list("abcdefg"), ()
    for _ in range(200):
        giver, receiver = rnd.sample(zones, 2)
        part = zone_parts(1000, zones, moved)[giver]
        if part:
            after = move_tokens(
                moved, zones, 1000, giver, receiver, rnd.randint(1, part)
            )
            assert after is not None
            moved = after
    assert len(moved) <= 100


def test_running_requests_count_after_the_capacity_shrinks():
    account = Account()
    account.capacity["t"] = 2
    assert account.acquire("t", 2)
    account.capacity["t"] = 1
    account.release("t")
    assert not account.acquire("t")


def test_capacity_that_expired_during_a_pause_is_not_used():
    """A paused process resumes with a coroutine that dispatches a request.

    No task has noticed the pause yet, and the capacity has been lent to a peer in the
    meantime, so using it would exceed the team's limit.
    """
    now = 10.0
    account = Account(lambda: now)
    account.set_capacity("t", 2, 13.0)
    assert account.acquire("t")
    now = 13.0
    assert not account.acquire("t")
