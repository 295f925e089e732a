"""A snapshot and the records after it give the same state as all records."""

from unittest import mock

import attrs
import pytest
from hypothesis import given, settings
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
    OnceClaimed,
    OnceDone,
    OnceReleased,
    Row,
    RowsChanged,
    decode_envelope,
    encode_envelope,
)
from firhook.state import CellState, ConfigState, OnceState, _cell
from tests.state.world import comparable_state

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
        st.just(tuple(JobEnd(f"team/{job}", "done") for job in "abc")),
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
GOOD = {"share": "1", "limit": "4"}
plans = st.builds(
    Row,
    st.just("plans"),
    words,
    st.sampled_from((GOOD, GOOD, None, {"share": "-"})),
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


def fit_to_state(state, body):
    """Return a record adjusted to the state, like one of an up-to-date writer.

    Nearly every purely random record conflicts with the state.
    """
    if isinstance(body, RowsChanged):
        return attrs.evolve(body, base=state.version)
    if isinstance(body, (OnceDone, OnceReleased)):
        entry = state.entries.get(body.key)
        known = (entry.holder, entry.nonce) if entry else (body.holder, body.nonce)
        return attrs.evolve(body, holder=known[0], nonce=known[1])
    if isinstance(body, LeadClaimed):
        lead = state.leads[body.zone]
        return attrs.evolve(body, epoch=lead.epoch + 1, seen=lead.offset)
    if isinstance(body, (LeadRenewed, LeadReleased)):
        lead = state.leads[body.zone]
        return attrs.evolve(body, epoch=lead.epoch, instance=lead.instance)
    if isinstance(body, LimitMoved):
        return attrs.evolve(body, epoch=state.leads[body.giver].epoch)
    if isinstance(body, JobsEnded):
        return attrs.evolve(body, epoch=state.leads[body.zone].epoch)
    if isinstance(body, JobsAdopted):
        seen, epoch = (state.leads[z] for z in (body.giver, body.receiver))
        return attrs.evolve(body, seen=seen.offset, epoch=epoch.epoch)
    return body


@pytest.mark.parametrize("stream", sorted(STATES))
@settings(max_examples=200)
@given(data=st.data())
def test_snapshot_and_the_rest_give_the_same_as_all(stream, data):
    """One instance reads every record, another starts from a snapshot.

    If the snapshot omitted anything, the two would reach different verdicts on the
    same later record and act on them.
    """
    make, bodies = STATES[stream]
    records = data.draw(st.lists(bodies, min_size=5, max_size=30))
    cut = data.draw(st.integers(len(records) // 2, len(records)))
    ended = data.draw(st.integers(0, 1))
    bounds = {"MAX_ENTRIES": 2, "MAX_DATA": 10}
    few = {"MAX_WITHDRAWN": 2, "MAX_CHANGED": 2}
    with (
        mock.patch.multiple(OnceState, **bounds),
        mock.patch.multiple(ConfigState, **few),
        mock.patch.multiple(_cell, MAX_ENDED=ended, MAX_PRUNED=2),
    ):
        full, late = make(), make()
        for offset, drawn in enumerate(records):
            body = fit_to_state(full, drawn) if offset % 5 else drawn
            payload = encode_envelope(Envelope("i#1", offset + 1, body))
            verdict = full.apply(offset, decode_envelope(payload))
            if offset >= cut:
                assert late.apply(offset, decode_envelope(payload)) is verdict
            elif offset + 1 == cut:
                late.from_text(cut, full.to_text())
                assert comparable_state(late) == comparable_state(full)
        assert full.fault == ""
        assert comparable_state(late) == comparable_state(full)
