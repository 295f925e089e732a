"""Leases by a clock that begins anew when the worker restarts."""

from hypothesis import given
from hypothesis import strategies as st

from firhook.decide.worker_lease import WorkerLease

DURATION_S = 6.0
#: A worker's clock may run this much slower than it should.
SLOWEST = 0.98

delays = st.floats(0, 2)


def lease_at(clock_s, incarnation=1):
    """Return a lease of a worker whose clock was read at time 0."""
    lease = WorkerLease(DURATION_S, 0.0)
    lease.begin_incarnation(incarnation)
    lease.read_clock(incarnation, clock_s, 0.0)
    return lease


@given(st.floats(0, 1e6), delays, st.floats(SLOWEST, 1.0))
def test_lease_has_expired_at_the_worker_when_it_has_for_the_lead(clock_s, at, speed):
    """Until then no task that may run on the worker starts elsewhere."""
    lease = lease_at(clock_s)
    until_s = lease.grant(at)
    assert (until_s - clock_s) / speed <= lease.expires_at


@given(delays, delays, delays, st.floats(SLOWEST, 1.0))
def test_lease_of_a_restarted_worker_has_expired_when_it_has_for_the_lead(
    sent_at, carried_out_after, answered_after, speed
):
    """The clock of the worker is behind, so that it grants the longest lease."""
    lease = lease_at(1e6)
    lease.grant(sent_at)
    carried_out_at = sent_at + carried_out_after
    lease.note_start_answered(carried_out_at + answered_after)
    assert carried_out_at + DURATION_S / speed <= lease.expires_at


def test_lease_that_must_not_be_extended_ends_with_the_last_one():
    lease = lease_at(100.0)
    first = lease.grant(1.0)
    assert lease.grant(3.0, extends=False) == first
    assert lease.grant(3.0) == first + 2.0
