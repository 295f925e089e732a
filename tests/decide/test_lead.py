"""When a lead may be claimed, and when it may lend without the log."""

from hypothesis import given
from hypothesis import strategies as st

from firhook.decide.lead import (
    LeadObservation,
    LeadTimes,
    PreviousLead,
    holdings_end_at,
    may_claim,
    may_lend,
)
from firhook.decide.lease import MAX_CLOCK_DRIFT, HeldLease, ObservedLease

TIMES = LeadTimes(lease_s=6, margin_s=1, ttl_s=3, linger_s=30, outage_s=900)
MOMENT = st.floats(0, 100)


@given(sent=MOMENT, delay=st.floats(0, 50), read_delay=st.floats(0, 50), now=MOMENT)
def test_holder_stops_before_others_see_its_lease_expire(sent, delay, read_delay, now):
    """A renewal arrives slowly and is read late.

    The holder counts from before the send and the others from the read; otherwise
    two instances could lead the zone at the same time.
    """
    held, seen = HeldLease(), ObservedLease()
    held.renew(sent, TIMES.lease_s)
    seen.read_at = sent + delay + read_delay
    if seen.has_expired(now, TIMES.lease_s, TIMES.margin_s):
        assert not held.is_held(now)


def test_lease_is_judged_by_the_clock_at_the_moment_of_use():
    held = HeldLease()
    held.renew(10.0, 6.0)
    assert held.is_held(15.9)
    assert not held.is_held(16.0)


def test_claim_requires_expired_lease_recent_log_and_expired_promise():
    fresh = LeadObservation(
        released=False, lease_expired=True, log_age_s=0.1, promised_at=0.0
    )
    after = 0.0 + TIMES.ttl_s * (1 + MAX_CLOCK_DRIFT) + 0.01
    assert may_claim(fresh, TIMES, after, 6.0)
    assert not may_claim(fresh, TIMES, after - 0.02, 6.0)
    stale = LeadObservation(
        released=True, lease_expired=True, log_age_s=7.0, promised_at=0.0
    )
    assert not may_claim(stale, TIMES, after, 6.0)
    live = LeadObservation(
        released=False, lease_expired=False, log_age_s=0.1, promised_at=0.0
    )
    assert not may_claim(live, TIMES, after, 6.0)


def test_released_lead_is_taken_at_once():
    observation = LeadObservation(
        released=True, lease_expired=False, log_age_s=0.1, promised_at=99.9
    )
    assert may_claim(observation, TIMES, 100.0, 6.0)


def test_lead_without_the_log_lends_only_while_all_others_promise():
    assert may_lend(10.0, 0.0, [], now=9.0)
    assert may_lend(10.0, 900.0, [12.0, 13.0], now=11.0)
    assert not may_lend(10.0, 900.0, [12.0, 10.5], now=11.0)
    assert not may_lend(10.0, 900.0, [1e9], now=900.0)
    assert not may_lend(10.0, 900.0, [float("-inf")], now=11.0)


def end_of_holdings(**changed):
    seen = {
        "released": False,
        "roster": frozenset("ab"),
        "new_lead": "b",
        "answered": frozenset(),
        "lead_read_at": 50.0,
    }
    return holdings_end_at(PreviousLead(**{**seen, **changed}), TIMES, 60.0)


def test_unreachable_holders_count_as_long_as_the_old_lead_may_lend():
    """A new instance takes over a zone whose instances were all lost at once.

    The old lead may still be lending; only the limit on lending without the log
    bounds how long.
    """
    expiry_s = TIMES.ttl_s + TIMES.linger_s
    assert end_of_holdings() == 60.0 + expiry_s
    assert end_of_holdings(new_lead="c", released=True) == 60.0 + expiry_s
    answered = end_of_holdings(new_lead="c", answered=frozenset("b"))
    assert 60.0 + expiry_s < answered < 60.0 + expiry_s + 2 * TIMES.ttl_s
    assert end_of_holdings(new_lead="c") >= 50.0 + TIMES.outage_s + expiry_s
