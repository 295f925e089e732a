"""A stream followed and appended to while the log fails in its ways."""

import asyncio
import contextlib

import pytest

from firhook._append_rate_limiter import AppendRateLimiter
from firhook._bus import Bus
from firhook._stream_client import StreamClient
from firhook.errors import (
    LogOutcomeUnknownError,
    LogUnavailableError,
    NotReadyError,
    RecordMalformedError,
)
from firhook.events import Append, StreamRebuilt
from firhook.model import (
    KeyGiven,
    KeyWithdrawn,
    Marker,
    Row,
    RowsChanged,
    SnapshotChunk,
    Verdict,
    decode_envelope,
)
from firhook.state import ConfigState, split_snapshot
from tests.fakelog import FakeLog, until

KEY = KeyGiven("k1", "", "d1")


@contextlib.asynccontextmanager
async def lane_on(log: FakeLog, ready: bool = True):
    """Run a lane on a log."""
    bus = Bus()
    lane = StreamClient(
        "config", "i#1", ConfigState(), log, bus, AppendRateLimiter(1000), 0.05
    )
    lane.rebuilt = []
    bus.subscribe(StreamRebuilt, lane.rebuilt.append)
    await lane.start()
    try:
        if ready:
            await until(lambda: lane.ready)
        yield lane
    finally:
        await lane.stop()


def bodies(log: FakeLog) -> list[object]:
    """Return what the log took, in order."""
    return [decode_envelope(p).body for p in log.streams.get("config", [])]


def test_record_whose_answer_was_lost_is_settled_by_reading():
    """The log takes a key, and its answer is lost on the way.

    The operator must be told that the key is given, once it is read back,
    and must not be given an error for a key that works.
    """

    async def scenario():
        log = FakeLog(append_fate="lose")
        async with lane_on(log) as lane:
            applied = await lane.append(Append("config", KEY))
            assert applied.verdict is Verdict.APPLIED

    asyncio.run(scenario())


def test_record_given_up_while_the_log_refuses_never_lands():
    """The log is out, and an operator gives up on a key.

    It is told that nothing was recorded, so the key must not work after the
    log has come back either.
    """

    async def scenario():
        log = FakeLog()
        async with lane_on(log) as lane:
            log.append_fate = "refuse"
            with pytest.raises(LogUnavailableError) as caught:
                await lane.append(Append("config", KEY, deadline_s=0.8))
            assert caught.value.ran == "no"
            log.append_fate = "ok"
            await lane.append(Append("config", KeyGiven("k2", "", "d2")))
            assert KEY not in bodies(log)

    asyncio.run(scenario())


def test_record_given_up_in_doubt_is_void_behind_its_marker():
    """An append times out, its caller gives up, and then it lands after all.

    The caller was told "unknown".  Something that takes effect an hour later
    would surprise everybody, so a marker goes before it.
    """

    async def scenario():
        log = FakeLog()
        async with lane_on(log) as lane:
            log.append_fate = "drop"
            with pytest.raises(LogOutcomeUnknownError):
                await lane.append(Append("config", KEY, deadline_s=0.2))
            late = log.sent[0][1]
            log.append_fate = "ok"
            await until(lambda: Marker() in bodies(log))
            log.land("config", *late)
            await until(lambda: lane.stream_state.next_offset == 2)
            assert lane.stream_state.keys == {}

    asyncio.run(scenario())


def test_urgent_record_goes_into_the_next_append_before_others():
    """A key is withdrawn while the instance has hundreds of records to append.

    Behind them the withdrawal would wait for several appends under the
    budget, and the key would go on working.
    """

    async def scenario():
        log = FakeLog()
        async with lane_on(log) as lane:
            appends = [
                Append("config", KeyGiven(f"k{i}", "", f"d{i}")) for i in range(600)
            ]
            tasks = [asyncio.create_task(lane.append(a)) for a in appends]
            await asyncio.sleep(0)
            urgent = Append("config", KeyWithdrawn("k0"), urgent=True)
            await lane.append(urgent)
            assert KeyWithdrawn("k0") in bodies(log)[:300]
            await asyncio.gather(*tasks)
            assert len(log.sent) < 10

    asyncio.run(scenario())


def test_record_that_cannot_be_encoded_holds_up_no_other():
    """Somebody managed to send a name that is no valid text."""

    async def scenario():
        log = FakeLog()
        async with lane_on(log) as lane:
            with pytest.raises(RecordMalformedError):
                await lane.append(Append("config", KeyWithdrawn("\ud800")))
            applied = await lane.append(Append("config", KEY))
            assert applied.verdict is Verdict.APPLIED

    asyncio.run(scenario())


def grown_log(upto: int) -> tuple[FakeLog, ConfigState]:
    """Return a log of another instance, and the state that it gives."""
    log, state = FakeLog(), ConfigState()
    plan = Row("plans", "small", {"share": "1", "limit": "4"})
    for i in range(upto):
        row = Row("teams", f"team{i}", {"plan": "small"})
        log.write("config", "o#1", i + 1, RowsChanged(i, (plan, row)))
        payload = log.streams["config"][-1]
        state.apply(i, decode_envelope(payload))
    return log, state


def test_follower_of_a_trimmed_log_rebuilds_before_it_acts():
    """An instance starts, and the log has dropped the older records.

    What is left does not give the lists in force.  Acting on it, the instance
    would refuse good keys, and put a change on a version long past.
    """

    async def scenario():
        log, state = grown_log(20)
        log.first["config"] = 15
        async with lane_on(log, ready=False) as lane:
            await asyncio.sleep(0.1)
            assert not lane.ready
            assert lane.age_s == float("inf")
            with pytest.raises(NotReadyError):
                await lane.append(Append("config", KEY))
            half = split_snapshot(20, "x" * 100_000)[1]
            log.write("config", "o#1", 21, half)
            for seq, chunk in enumerate(split_snapshot(20, state.to_text()), 22):
                log.write("config", "o#1", seq, chunk)
            await until(lambda: lane.ready)
            assert lane.stream_state.version == 20
            assert lane.rebuilt == [StreamRebuilt("config", 20)]
            applied = await lane.append(Append("config", KEY))
            assert applied.verdict is Verdict.APPLIED

    asyncio.run(scenario())


def test_snapshot_that_is_no_state_is_passed_over():
    """A faulty writer put a whole set of chunks on the log that hold nonsense."""

    async def scenario():
        log, state = grown_log(5)
        log.first["config"] = 5
        log.write("config", "bad#1", 1, SnapshotChunk(5, 0, 1, '{"lanes": 7}'))
        for seq, chunk in enumerate(split_snapshot(5, state.to_text()), 6):
            log.write("config", "o#1", seq, chunk)
        async with lane_on(log) as lane:
            assert lane.stream_state.version == 5

    asyncio.run(scenario())


def test_waiter_is_answered_when_its_record_expired_unread():
    """An instance appends a key, is cut off, and the record expires meanwhile.

    It never reads its own record; the snapshot it rebuilds from says that the
    key is given, and whoever waits must be told so.
    """

    async def scenario():
        log, state = grown_log(1)
        async with lane_on(log) as lane:
            log.out, log.append_fate = True, "lose"
            await asyncio.sleep(0.1)
            task = asyncio.create_task(lane.append(Append("config", KEY)))
            await until(lambda: len(bodies(log)) > 1)
            log.append_fate = "drop"
            state.apply(1, decode_envelope(log.streams["config"][1]))
            upto = len(log.streams["config"])
            for seq, chunk in enumerate(split_snapshot(upto, state.to_text()), 3):
                log.write("config", "o#1", seq, chunk)
            log.first["config"] = upto
            log.out = False
            assert (await task).verdict is Verdict.APPLIED

    asyncio.run(scenario())


def test_log_that_lost_records_does_not_pass_for_a_fresh_view():
    """The log fails over to a copy that lacks the last records.

    An instance that took its end for the present would serve withdrawn keys
    as if it had just checked them.
    """

    async def scenario():
        log, _ = grown_log(5)
        async with lane_on(log) as lane:
            del log.streams["config"][3:]
            seen = lane.end_seen_at
            await asyncio.sleep(0.3)
            assert lane.stream_state.next_offset == 5
            await until(lambda: lane.age_s > 0.2)
            assert lane.end_seen_at <= seen + 0.1

    asyncio.run(scenario())


@pytest.mark.parametrize(
    "payload",
    [
        b"",
        b"null",
        b'["Nope","o#1",1,{}]',
        b'["RowsChanged","o#1",-1,{"base":0,"rows":[]}]',
        b'["RowsChanged","o#1",9,{"base":0,"rows":[{"list_name":"plans"}]}]',
        b'["SnapshotChunk","o#1",9,{"upto":0,"part":5,"parts":1,"data":""}]',
        b"[" * 100_000,
    ],
)
def test_bad_record_is_passed_over_and_the_next_one_counts(payload):
    """Something else wrote to the stream, or a writer has a fault.

    One such record must not stop every instance at the same offset.
    """

    async def scenario():
        log = FakeLog()
        log.land("config", payload)
        log.write("config", "o#1", 10, KEY)
        async with lane_on(log) as lane:
            assert list(lane.stream_state.keys) == ["d1"]

    asyncio.run(scenario())


def test_record_that_no_check_foresaw_ends_no_follower(monkeypatch):
    """Applying a record fails in a way that nobody thought of."""

    def fail(self, body):
        raise ZeroDivisionError

    async def scenario():
        log, _ = grown_log(1)
        log.write("config", "o#1", 10, KEY)
        async with lane_on(log) as lane:
            assert lane.stream_state.version == 0
            assert "ZeroDivisionError" in lane.stream_state.fault
            assert list(lane.stream_state.keys) == ["d1"]

    monkeypatch.setattr(ConfigState, "_apply_rows", fail)
    asyncio.run(scenario())
