"""What a zone that is cut off serves on the keys that it knows."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from firhook.decide.staleness import (
    PeerLogView,
    ServiceLevel,
    StalenessPolicy,
    allowed_service,
    view_age_s,
)

LAX = StalenessPolicy(strict=False, stale_s=10, max_s=900)
STRICT = StalenessPolicy(strict=True, stale_s=10, max_s=900)
ages = st.floats(0, 2000)


@pytest.mark.parametrize(
    ("age_s", "lax", "strict"),
    [
        (9.9, ServiceLevel.ALL, ServiceLevel.ALL),
        (10, ServiceLevel.IDEMPOTENT, ServiceLevel.NOTHING),
        (899, ServiceLevel.IDEMPOTENT, ServiceLevel.NOTHING),
        (900, ServiceLevel.NOTHING, ServiceLevel.NOTHING),
        (float("inf"), ServiceLevel.NOTHING, ServiceLevel.NOTHING),
    ],
)
def test_cut_zone_serves_less_as_its_view_ages(age_s, lax, strict):
    """A zone loses the log and all peers, and a key is withdrawn elsewhere.

    It cannot know.  Charges and jobs on that key stop after seconds, reads go
    on for a while, and with the strict setting nothing goes on.
    """
    assert (allowed_service(LAX, age_s), allowed_service(STRICT, age_s)) == (
        lax,
        strict,
    )


@given(st.sampled_from([LAX, STRICT]), ages, ages)
def test_older_view_never_serves_more(policy, one, other):
    assert allowed_service(policy, max(one, other)) <= allowed_service(
        policy, min(one, other)
    )


def test_peer_that_fell_silent_ages():
    """The peer with the last fresh view is cut off, too.

    Its last gossip said that its view was fresh.  It must not count as fresh
    for as long as it is remembered.
    """
    assert view_age_s(60, 5, [PeerLogView(age_s=40, log_age_s=1, offset=5)]) == 41


def test_peer_that_read_further_does_not_make_this_view_fresh():
    """A peer saw a withdrawal that has not come through to this instance."""
    assert view_age_s(60, 5, [PeerLogView(age_s=0, log_age_s=0, offset=6)]) == 60
