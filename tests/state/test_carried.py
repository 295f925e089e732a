"""A snapshot and the records after it give the same as all records."""

from unittest import mock

import pytest
from hypothesis import given
from hypothesis import strategies as st

from firhook.model import (
    Envelope,
    JobAccepted,
    JobCancelled,
    JobEnd,
    JobsAdopted,
    JobsEnded,
    JobSpec,
    KeyGiven,
    KeyWithdrawn,
    LeadClaimed,
    LeadReleased,
    LeadRenewed,
    LimitMoved,
    Marker,
    OnceClaimed,
    OnceDone,
    OnceReleased,
    Row,
    RowsChanged,
    decode_envelope,
    encode_envelope,
)
from firhook.state import CellState, ConfigState, OnceState, _cell
from tests.state.world import facts

ZONES = ("lisboa", "porto")
zones = st.sampled_from(ZONES)
small = st.integers(0, 3)
words = st.sampled_from(("a", "b", "c"))
jobs = st.builds(JobSpec, words, st.just("team"), st.integers(1, 2))

CELL = st.one_of(
    st.builds(LeadClaimed, zones, st.integers(1, 3), words, st.integers(-1, 6)),
    st.builds(LeadRenewed, zones, small, words, st.just(("a",)), small),
    st.builds(LeadReleased, zones, small, words, st.just(("a",))),
    st.builds(LimitMoved, words, zones, zones, small, small, st.just(8)),
    st.builds(JobAccepted, jobs, zones),
    st.builds(JobCancelled, st.tuples(st.sampled_from(("team/a", "team/b")))),
    st.builds(JobsAdopted, zones, zones, small, st.integers(-1, 20)),
    st.builds(
        JobsEnded,
        zones,
        small,
        st.tuples(st.builds(JobEnd, st.just("team/a"), st.just("done"))),
    ),
)
ONCE = st.one_of(
    st.builds(OnceClaimed, words, words, words, words, small),
    st.builds(OnceReleased, words, words, small),
    st.builds(
        OnceDone,
        words,
        st.integers(0, 2).map(lambda n: n * 100),
        words,
        st.sampled_from(("", "x" * 8)),
        st.booleans(),
        words,
        small,
    ),
)
plans = st.builds(
    Row,
    st.just("plans"),
    words,
    st.sampled_from((None, {"share": "1", "limit": "4"}, {"share": "-"})),
)
teams = st.builds(
    Row, st.just("teams"), words, st.sampled_from((None, {"plan": "a"}, {"plan": "b"}))
)
CONFIG = st.one_of(
    st.builds(RowsChanged, small, st.tuples(plans, teams)),
    st.builds(KeyGiven, words, words, words),
    st.builds(KeyWithdrawn, words),
)
STATES = {
    "cell": (lambda: CellState(ZONES), CELL),
    "once": (OnceState, ONCE),
    "config": (ConfigState, CONFIG),
}


@pytest.mark.parametrize("stream", sorted(STATES))
@given(data=st.data())
def test_snapshot_and_the_rest_give_the_same_as_all(stream, data):
    """One instance read every record, another started from a snapshot.

    If the snapshot left anything out, the two would decide differently on the
    same later record, and both would act on it.
    """
    make, bodies = STATES[stream]
    records = data.draw(st.lists(st.one_of(bodies, st.just(Marker())), max_size=30))
    cut = data.draw(st.integers(0, len(records)))
    bounds = {"MAX_ENTRIES": 2, "MAX_DATA": 10}
    few = {"MAX_WITHDRAWN": 2, "MAX_CHANGED": 2}
    with (
        mock.patch.multiple(OnceState, **bounds),
        mock.patch.multiple(ConfigState, **few),
        mock.patch.multiple(_cell, MAX_ENDED=1, MAX_KNOWN=1),
    ):
        full, late = make(), make()
        for offset, body in enumerate(records):
            payload = encode_envelope(Envelope("i#1", offset + 1, body))
            verdict = full.apply(offset, decode_envelope(payload))
            if offset >= cut:
                assert late.apply(offset, decode_envelope(payload)) is verdict
            elif offset + 1 == cut:
                late.from_text(cut, full.to_text())
        assert full.fault == ""
        assert facts(late) == facts(full)
