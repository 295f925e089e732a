"""What a partitioned zone serves on the keys that it knows."""

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
    """A key is withdrawn while a zone can reach neither the log nor its peers.

    Charges and jobs on that key must stop after seconds; idempotent requests
    continue for a while, or stop as well with the strict policy.
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


def test_view_of_an_unreachable_peer_ages():
    """The peer with the last fresh view is partitioned, too.

    Its last gossip reported a fresh view, which must not count as fresh as long as
    it is stored.
    """
    assert view_age_s(60, 5, [PeerLogView(age_s=40, log_age_s=1, offset=5)]) == 41


def test_peer_that_read_further_does_not_make_this_view_fresh():
    """A peer has read a withdrawal that this instance has not read yet."""
    assert view_age_s(60, 5, [PeerLogView(age_s=0, log_age_s=0, offset=6)]) == 60
