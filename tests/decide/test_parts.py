"""Division of the runners' slots among instances, and retries."""

from collections import Counter

from hypothesis import given
from hypothesis import strategies as st

from firhook.decide.parts import (
    FleetUse,
    corrected_shares,
    fair_amounts,
    instance_parts,
    local_weights,
    runner_parts,
    slot_row,
    usable_parts,
)
from firhook.decide.retry import RetryBudget, may_resend

NAMES = st.sampled_from("abcdef")
AMOUNTS = st.dictionaries(NAMES, st.floats(0, 1000), max_size=5)
DEMANDS = st.dictionaries(NAMES, AMOUNTS, min_size=1)
SHARES = st.fixed_dictionaries({n: st.floats(0.1, 50) for n in "abcdef"})
SLOTS = st.dictionaries(st.sampled_from("uvwxyz"), st.integers(1, 12), min_size=1)


@given(DEMANDS, SHARES, SLOTS)
def test_parts_of_a_runner_never_exceed_its_slots(demand, shares, slots):
    row = slot_row(slots)
    parts = instance_parts(len(row), FleetUse(demand), shares)
    total = Counter()
    for name in demand:
        total.update(runner_parts(name, parts, row))
    assert all(total[r] <= n for r, n in slots.items())


@given(st.floats(0, 500), AMOUNTS, SHARES)
def test_fair_amounts_fit_and_leave_nothing_that_is_wanted(capacity, wanted, shares):
    due = fair_amounts(capacity, wanted, shares)
    assert all(due[n] <= wanted[n] + 1e-6 for n in wanted)
    assert sum(due.values()) <= capacity + 1e-6
    assert sum(due.values()) >= min(capacity, sum(wanted.values())) - 1e-6


def test_modest_team_gets_all_it_wants():
    due = fair_amounts(100, {"small": 5, "large": 1000}, {"small": 1, "large": 9})
    assert due == {"small": 5, "large": 95}


def test_team_that_got_too_little_weighs_more():
    use = FleetUse({"i": {"a": 100.0, "b": 100.0}}, {"a": 40.0, "b": 60.0})
    shares = corrected_shares(10, use, {"a": 1.0, "b": 1.0})
    assert shares["a"] > 1.0 > shares["b"]


def test_team_that_sent_little_here_keeps_an_equal_part_of_its_weight():
    """A small team's requests reach every instance, but recently hardly one of them.

    If its weight there were almost 0, its next request would be refused for the long
    wait beside a large team, and so would all that follow.
    """
    use = FleetUse({"i": {"s": 0.002, "l": 50.0}, "j": {"s": 8.0, "l": 50.0}})
    weights = local_weights("i", use, {"s": 1.0, "l": 4.0})
    assert weights == {"s": 0.5, "l": 2.0}


def test_slot_that_moved_is_used_only_once_all_latest_parts_agree():
    """The old holder of a slot may not know of the move yet.

    If both used the slot, the runner would have more requests than slots.
    """
    assert usable_parts([{"r": 1}, {"r": 2}, {"r": 2}]) == {"r": 1}
    assert usable_parts([{"r": 2}, {"r": 2}, {"r": 1}]) == {"r": 1}
    assert usable_parts([{"r": 2}, {"r": 2}, {"r": 2}]) == {"r": 2}


def test_retries_stay_within_a_tenth_of_the_answers():
    """Retries must not multiply the load of a fleet that fails under overload."""
    budget = RetryBudget()
    while budget.try_spend():
        pass
    retried = 0
    for _ in range(1000):
        budget.note_answer()
        retried += budget.try_spend()
    assert 95 <= retried <= 100


def test_charge_that_may_have_run_is_not_sent_again():
    """Sending a renewal charge twice would charge the customer twice."""
    assert not may_resend(idempotent=False, ran="unknown", tries=1)
    assert may_resend(idempotent=False, ran="no", tries=1)
    assert may_resend(idempotent=True, ran="unknown", tries=1)
    assert not may_resend(idempotent=True, ran="unknown", tries=3)
