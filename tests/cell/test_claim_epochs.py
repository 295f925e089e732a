"""Epochs rise with each claim, whatever the claiming instance had read."""

from hypothesis import given
from hypothesis import strategies as st

from firhook.cell import JobState
from firhook.cell._records import (
    VERSIONS_PER_EPOCH,
    claim_epoch,
    decode_record,
    encode_record,
    state_version,
)

#: What is appended to the partition in which leads claim the cell: a claim, or other
#: records.
appends = st.one_of(st.just("claim"), st.integers(1, 5))


@given(st.lists(appends), st.lists(appends))
def test_epoch_of_each_claim_exceeds_those_of_earlier_builds(earlier, later):
    """Workers and the store refuse a lead with an epoch lower than one that they saw.

    An earlier build gave the first claim the epoch 1, and each claim the epoch after
    the last one.
    """
    offset, epochs = 0, [0]
    for append in earlier:
        if append == "claim":
            epochs.append(epochs[-1] + 1)
        offset += 1 if append == "claim" else append
    for append in later:
        if append == "claim":
            epochs.append(claim_epoch(offset))
        offset += 1 if append == "claim" else append
    assert epochs == sorted(set(epochs))


@given(
    st.integers(0, 2**33),
    st.integers(1, 1000),
    st.integers(0, VERSIONS_PER_EPOCH - 1),
)
def test_versions_rise_with_the_epoch_and_can_be_stored(offset, distance, count):
    """A state of an earlier lead must not pass for newer than one of its successor.

    The offset is that of 130 records a second, the peak of the size to design for,
    during two years.
    """
    earlier = state_version(claim_epoch(offset), count)
    later = state_version(claim_epoch(offset + distance), 0)
    assert earlier < later
    state = JobState(0, version=later)
    assert decode_record(JobState, encode_record(state)) == state
