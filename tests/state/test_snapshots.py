"""Snapshots are assembled from complete sets of chunks only."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from firhook.errors import RecordMalformedError
from firhook.model import Row, RowsChanged, SnapshotChunk
from firhook.state import ConfigState, SnapshotFinder, _snapshots, split_snapshot
from tests.state.test_config import SMALL, feed

TEXT = "x" * (_snapshots.CHUNK_CHARS + 1)


@given(st.text(max_size=100), st.integers(1, 40))
def test_split_text_is_reassembled(text, size):
    old, _snapshots.CHUNK_CHARS = _snapshots.CHUNK_CHARS, size
    try:
        chunks = split_snapshot(7, text + "x")
    finally:
        _snapshots.CHUNK_CHARS = old
    rebuild = SnapshotFinder(0)
    found = [rebuild.add("a#1", chunk) for chunk in reversed(chunks)]
    assert found[-1].text == text + "x"
    assert not any(found[:-1])


def test_parts_of_two_senders_make_no_snapshot():
    """Two instances append snapshots at once, and each dies half-way.

    Their texts may order entries differently, so a combination of two halves could
    lose some entries and duplicate others.
    """
    first, last = split_snapshot(9, TEXT)
    rebuild = SnapshotFinder(0)
    assert rebuild.add("a#1", first) is None
    assert rebuild.add("b#1", last) is None
    assert rebuild.add("b#1", first).text == TEXT


def test_snapshot_whose_following_records_expired_is_of_no_use():
    """The chunks are retained, but records after their offset have expired."""
    rebuild = SnapshotFinder(10)
    assert rebuild.add("a#1", SnapshotChunk(9, 0, 1, "{}")) is None
    assert rebuild.add("a#1", SnapshotChunk(10, 0, 1, "{}")).upto == 10


@pytest.mark.parametrize("offset", [1, 9])
def test_older_lists_are_never_loaded(offset):
    """A snapshot of a peer or a writer is older than the state.

    It must be refused whether its offset shows that or only its version.
    """
    state = ConfigState()
    feed(state, RowsChanged(0, (SMALL,)))
    old = state.to_text()
    feed(state, RowsChanged(1, (Row("plans", "large", dict(SMALL.values)),)))
    with pytest.raises(RecordMalformedError):
        state.from_text(offset, old)
    assert (state.version, sorted(state.plans)) == (2, ["large", "small"])
