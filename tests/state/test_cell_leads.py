"""Verdicts on records of leads and transfers."""

from firhook.model import (
    LeadClaimed,
    LeadReleased,
    LeadRenewed,
    LimitMoved,
    Verdict,
)
from firhook.state import CellState

ZONES = ("a", "b")
A, B = "a1#x", "a2#x"


def apply(state, body):
    return state.apply_body(state.next_offset, "", body)


def led_by(lane):
    """Return a state in which zone ``a`` has a lead."""
    state = CellState(ZONES)
    assert state.apply_body(0, "", LeadClaimed("a", 1, lane, -1)) is Verdict.APPLIED
    return state


def test_claim_judged_on_an_old_epoch_is_void():
    state = led_by(A)
    claim = LeadClaimed("a", 1, B, -1)
    assert state.apply_body(1, "", claim) is Verdict.CONFLICT
    assert state.leads["a"].instance == A


def test_claim_judged_before_a_renewal_is_void():
    """An instance reads the log late and considers the lead expired.

    The lead has renewed in the meantime.  If the claim won, two instances would lead
    the zone at once and lend its capacity twice.
    """
    state = led_by(A)
    renewal = LeadRenewed("a", 1, A, (A,), 1)
    assert state.apply_body(1, "", renewal) is Verdict.APPLIED
    assert state.apply_body(2, "", LeadClaimed("a", 2, B, 0)) is Verdict.CONFLICT
    assert state.leads["a"].instance == A
    assert state.apply_body(3, "", LeadClaimed("a", 2, B, 1)) is Verdict.APPLIED


def test_roster_keeps_possible_holders_through_a_claim():
    state = led_by(A)
    state.apply_body(1, "", LeadRenewed("a", 1, A, (A, "a3#x"), 2))
    state.apply_body(2, "", LeadClaimed("a", 2, B, 1))
    assert state.leads["a"].roster == (A, B, "a3#x")
    assert state.leads["a"].holders == 2


def test_renewal_after_a_release_is_void():
    state = led_by(A)
    state.apply_body(1, "", LeadReleased("a", 1, A, (A,)))
    renewal = LeadRenewed("a", 1, A, (A,), 1)
    assert state.apply_body(2, "", renewal) is Verdict.CONFLICT
    assert state.leads["a"].released


def test_transfer_by_a_lead_that_was_replaced_is_void():
    """A lead sends a transfer, is paused, and its zone gets a new lead.

    The new lead lends the capacity before it reads the transfer.  If the transfer took
    effect afterwards, the capacity would be used twice.
    """
    state = led_by(A)
    state.apply_body(1, "", LeadClaimed("a", 2, B, 0))
    assert apply(state, LimitMoved("t", "a", "b", 2, 1, 10)) is Verdict.CONFLICT
    assert apply(state, LimitMoved("t", "a", "b", 2, 2, 10)) is Verdict.APPLIED


def test_transfer_of_more_than_the_zone_has_is_void():
    state = led_by(A)
    assert apply(state, LimitMoved("t", "a", "b", 6, 1, 10)) is Verdict.CONFLICT
    assert apply(state, LimitMoved("t", "a", "b", 5, 1, 10)) is Verdict.APPLIED


def test_leads_and_transfers_survive_a_snapshot():
    state = led_by(A)
    apply(state, LimitMoved("t", "a", "b", 2, 1, 10))
    other = CellState(ZONES)
    other.from_text(9, state.to_text())
    assert (other.leads, other.moved) == (state.leads, state.moved)
