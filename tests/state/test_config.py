"""Lists and keys: the first change wins, and versions never decrease."""

import pytest

from firhook.errors import KeyRefusedError, ListInvalidError
from firhook.model import Envelope, KeyGiven, KeyWithdrawn, Row, RowsChanged, Verdict
from firhook.state import ConfigState

SMALL = Row("plans", "small", {"share": "1", "limit": "4"})
LISBOA = Row("teams", "lisboa", {"plan": "small"})


def feed(state: ConfigState, *bodies: object) -> list[Verdict]:
    """Apply records as the next ones of one lane."""
    verdicts = []
    for body in bodies:
        seq = state.next_offset + 1
        verdicts.append(state.apply(state.next_offset, Envelope("i#1", seq, body)))
    return verdicts


def test_second_change_on_the_same_base_conflicts_and_names_the_first():
    """Two operators edit the lists based on the same version.

    The second must not overwrite the first change unseen; the conflict names the rows
    that changed.
    """
    state = ConfigState()
    team = Row("teams", "lisboa", {"plan": "small"})
    verdicts = feed(state, RowsChanged(0, (SMALL,)), RowsChanged(0, (team,)))
    assert verdicts == [Verdict.APPLIED, Verdict.CONFLICT]
    assert (state.version, state.changed_since(0)) == (1, ["plans/small"])


def test_bad_record_leaves_the_last_good_version_in_force():
    state = ConfigState()
    bad = Row("plans", "small", {"share": "none"})
    feed(state, RowsChanged(0, (SMALL,)))
    assert feed(state, RowsChanged(1, (bad,))) == [Verdict.IGNORED]
    assert (state.version, state.plans["small"].limit) == (1, 4)


def test_withdrawn_key_is_refused():
    state = ConfigState()
    feed(state, RowsChanged(0, (SMALL, LISBOA)))
    feed(state, KeyGiven("k1", "lisboa", "d" * 64))
    assert state.find_key("d" * 64).team == "lisboa"
    feed(state, KeyWithdrawn("k1"))
    with pytest.raises(KeyRefusedError):
        state.find_key("d" * 64)


def test_key_of_a_team_that_was_removed_is_refused():
    """A team's row is removed, but its keys are not withdrawn.

    Work under these keys would have no plan and so no limit.
    """
    state = ConfigState()
    feed(state, RowsChanged(0, (SMALL, LISBOA)), KeyGiven("k1", "lisboa", "d" * 64))
    assert state.find_key("d" * 64).team == "lisboa"
    feed(state, RowsChanged(1, (Row("teams", "lisboa", None),)))
    with pytest.raises(KeyRefusedError, match="not in the list"):
        state.find_key("d" * 64)


def test_record_that_is_in_the_log_twice_is_applied_once():
    """The answer to an append is lost, and the record is sent again.

    Both copies are in the log.  If the second counted, the author of a change would
    receive a conflict with its own record.
    """
    state = ConfigState()
    envelope = Envelope("i#1", 1, RowsChanged(0, (SMALL,)))
    assert state.apply(0, envelope) is Verdict.APPLIED
    assert state.apply(1, envelope) is Verdict.REPEATED
    assert state.version == 1


def test_snapshot_restores_the_whole_state():
    state = ConfigState()
    feed(state, RowsChanged(0, (SMALL,)), KeyGiven("k1", "", "d" * 64))
    feed(state, KeyWithdrawn("k1"))
    other = ConfigState()
    other.from_text(state.next_offset, state.to_text())
    assert other.to_text() == state.to_text()
    assert other.next_offset == state.next_offset


def test_team_on_an_unknown_plan_is_refused_with_the_known_ones():
    state = ConfigState()
    with pytest.raises(ListInvalidError, match="give one of"):
        state.check_rows((Row("teams", "lisboa", {"plan": "huge"}),))
