"""A replica knows the last claim of the lead, whatever else the store kept."""

from hypothesis import given
from hypothesis import strategies as st

from firhook.cell import LeadRecord, Replica
from firhook.cell.records import (
    CLAIM_KEY,
    LEAD_KEY,
    claim_epoch,
    encode_record,
    state_version,
)

#: Each event is a claim, or a heartbeat of the lead with that number, which may have
#: been replaced since.
events = st.lists(st.one_of(st.just("claim"), st.integers(0, 4)), min_size=1)


def append_all(history):
    """Return the records of a log, and the epoch of its last claim."""
    log, epochs = [], []
    for event in history:
        if event == "claim":
            epoch = claim_epoch(len(log))
            epochs.append(epoch)
            claim = encode_record(
                LeadRecord(f"i{epoch}", f"p{epoch}", epoch, state_version(epoch, 0))
            )
            log += [(CLAIM_KEY, claim), (LEAD_KEY, claim)]
        elif event < len(epochs):
            epoch, version = epochs[event], state_version(epochs[event], len(log))
            heartbeat = LeadRecord(f"i{epoch}", f"p{epoch}", epoch, version)
            log.append((LEAD_KEY, encode_record(heartbeat)))
    return log, max(epochs, default=0)


@given(events, st.randoms(use_true_random=False))
def test_records_in_any_order_show_the_last_claim(history, rng):
    log, last_epoch = append_all(history)
    rows = list(enumerate(log))
    rng.shuffle(rows)
    replica = Replica()
    for offset, (key, value) in rows:
        replica.apply(offset, key, value)
    assert (replica.lead.epoch if replica.lead else 0) == last_epoch


@given(events)
def test_newest_record_of_each_key_shows_the_last_claim(history):
    """The store drops all older records, and an instance that starts reads the rest."""
    log, last_epoch = append_all(history)
    newest = {key: (offset, value) for offset, (key, value) in enumerate(log)}
    replica = Replica()
    for key, (offset, value) in newest.items():
        replica.apply(offset, key, value)
    assert (replica.lead.epoch if replica.lead else 0) == last_epoch


def test_late_heartbeat_of_an_old_lead_does_not_replace_the_known_lead():
    """A replica must not go back to the lead of a record that was appended late."""
    replica = Replica()
    newer, older = LeadRecord("b", "2", 9, 9), LeadRecord("a", "1", 3, 3)
    replica.apply(4, LEAD_KEY, encode_record(newer))
    replica.apply(5, LEAD_KEY, encode_record(older))
    assert replica.lead == newer
