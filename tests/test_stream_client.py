"""The client of one stream, against a log that fails in various ways."""

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
async def running_client(log: FakeLog, ready: bool = True):
    """Run a stream client on a log."""
    bus = Bus()
    client = StreamClient(
        "config", "i#1", ConfigState(), log, bus, AppendRateLimiter(1000), 0.05
    )
    client.rebuilt = []
    bus.subscribe(StreamRebuilt, client.rebuilt.append)
    await client.start()
    try:
        if ready:
            await until(lambda: client.ready)
        yield client
    finally:
        await client.stop()


def bodies(log: FakeLog) -> list[object]:
    """Return the bodies of all records on the log, in order."""
    return [decode_envelope(p).body for p in log.streams.get("config", [])]


def test_append_with_a_lost_response_is_resolved_by_reading_it_back():
    """The log accepts a record, but its response is lost.

    Once the record is read back, the append must succeed: otherwise the operator
    would get an error for a key that works.
    """

    async def scenario():
        log = FakeLog(append_outcome="lose")
        async with running_client(log) as client:
            applied = await client.append(Append("config", KEY))
            assert applied.verdict is Verdict.APPLIED

    asyncio.run(scenario())


def test_append_abandoned_during_an_outage_never_lands():
    """An append times out during an outage of the log.

    The caller is informed that nothing was recorded, so the key must not work after
    the log is back either.
    """

    async def scenario():
        log = FakeLog()
        async with running_client(log) as client:
            log.append_outcome = "refuse"
            with pytest.raises(LogUnavailableError) as caught:
                await client.append(Append("config", KEY, deadline_s=0.8))
            assert caught.value.ran == "no"
            log.append_outcome = "ok"
            await client.append(Append("config", KeyGiven("k2", "", "d2")))
            assert KEY not in bodies(log)

    asyncio.run(scenario())


def test_abandoned_record_is_ignored_after_its_marker():
    """An append times out with an unknown outcome and lands later.

    It must not take effect long after its caller gave up, so the client appends a
    marker that invalidates the late record.
    """

    async def scenario():
        log = FakeLog()
        async with running_client(log) as client:
            log.append_outcome = "drop"
            with pytest.raises(LogOutcomeUnknownError):
                await client.append(Append("config", KEY, deadline_s=0.2))
            late = log.sent[0][1]
            log.append_outcome = "ok"
            await until(lambda: Marker() in bodies(log))
            log.add_records("config", *late)
            await until(lambda: client.stream_state.next_offset == 2)
            assert client.stream_state.keys == {}

    asyncio.run(scenario())


def test_urgent_record_is_sent_in_the_next_append():
    """A key is withdrawn while hundreds of records wait to be appended.

    Behind them the withdrawal would wait for several appends under the rate limit,
    and the key would keep working.
    """

    async def scenario():
        log = FakeLog()
        async with running_client(log) as client:
            appends = [
                Append("config", KeyGiven(f"k{i}", "", f"d{i}")) for i in range(600)
            ]
            tasks = [asyncio.create_task(client.append(a)) for a in appends]
            await asyncio.sleep(0)
            urgent = Append("config", KeyWithdrawn("k0"), urgent=True)
            await client.append(urgent)
            assert KeyWithdrawn("k0") in bodies(log)[:300]
            await asyncio.gather(*tasks)
            assert len(log.sent) < 10

    asyncio.run(scenario())


def test_unencodable_record_blocks_no_other():
    """A record with an unpaired surrogate cannot be encoded as UTF-8."""

    async def scenario():
        log = FakeLog()
        async with running_client(log) as client:
            with pytest.raises(RecordMalformedError):
                await client.append(Append("config", KeyWithdrawn("\ud800")))
            applied = await client.append(Append("config", KEY))
            assert applied.verdict is Verdict.APPLIED

    asyncio.run(scenario())


def grown_log(upto: int) -> tuple[FakeLog, ConfigState]:
    """Return a log written by another instance, and the resulting state."""
    log, state = FakeLog(), ConfigState()
    plan = Row("plans", "small", {"share": "1", "limit": "4"})
    for i in range(upto):
        row = Row("teams", f"team{i}", {"plan": "small"})
        log.write("config", "o#1", i + 1, RowsChanged(i, (plan, row)))
        payload = log.streams["config"][-1]
        state.apply(i, decode_envelope(payload))
    return log, state


def test_client_of_a_trimmed_log_is_not_ready_before_its_rebuild():
    """An instance starts after the log has dropped its older records.

    The remaining records do not yield the lists in force.  An instance that relied
    on them would refuse valid keys and base changes on an old version.
    """

    async def scenario():
        log, state = grown_log(20)
        log.first["config"] = 15
        async with running_client(log, ready=False) as client:
            await asyncio.sleep(0.1)
            assert not client.ready
            assert client.age_s == float("inf")
            with pytest.raises(NotReadyError):
                await client.append(Append("config", KEY))
            half = split_snapshot(20, "x" * 100_000)[1]
            log.write("config", "o#1", 21, half)
            for seq, chunk in enumerate(split_snapshot(20, state.to_text()), 22):
                log.write("config", "o#1", seq, chunk)
            await until(lambda: client.ready)
            assert client.stream_state.version == 20
            assert client.rebuilt == [StreamRebuilt("config", 20)]
            applied = await client.append(Append("config", KEY))
            assert applied.verdict is Verdict.APPLIED

    asyncio.run(scenario())


def test_malformed_snapshot_is_ignored():
    """A faulty writer appended a complete set of chunks without a valid state."""

    async def scenario():
        log, state = grown_log(5)
        log.first["config"] = 5
        log.write("config", "bad#1", 1, SnapshotChunk(5, 0, 1, '{"lanes": 7}'))
        for seq, chunk in enumerate(split_snapshot(5, state.to_text()), 6):
            log.write("config", "o#1", seq, chunk)
        async with running_client(log) as client:
            assert client.stream_state.version == 5

    asyncio.run(scenario())


def test_append_is_resolved_when_its_record_expired_unread():
    """An instance appends a key, loses the log, and the record expires meanwhile.

    It never reads its own record.  The snapshot of the rebuild contains the key, so
    the append must succeed.
    """

    async def scenario():
        log, state = grown_log(1)
        async with running_client(log) as client:
            log.reads_fail, log.append_outcome = True, "lose"
            await asyncio.sleep(0.1)
            task = asyncio.create_task(client.append(Append("config", KEY)))
            await until(lambda: len(bodies(log)) > 1)
            log.append_outcome = "drop"
            state.apply(1, decode_envelope(log.streams["config"][1]))
            upto = len(log.streams["config"])
            for seq, chunk in enumerate(split_snapshot(upto, state.to_text()), 3):
                log.write("config", "o#1", seq, chunk)
            log.first["config"] = upto
            log.reads_fail = False
            assert (await task).verdict is Verdict.APPLIED

    asyncio.run(scenario())


def test_log_that_lost_records_is_not_a_fresh_view():
    """The log fails over to a replica that lacks the latest records.

    An instance that treated its end as current would accept withdrawn keys as if
    they had just been checked.
    """

    async def scenario():
        log, _ = grown_log(5)
        async with running_client(log) as client:
            del log.streams["config"][3:]
            seen = client.end_seen_at
            await asyncio.sleep(0.3)
            assert client.stream_state.next_offset == 5
            await until(lambda: client.age_s > 0.2)
            assert client.end_seen_at <= seen + 0.1

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
def test_malformed_record_is_skipped(payload):
    """A foreign or faulty writer appended a malformed record.

    It must not stop every instance at the same offset.
    """

    async def scenario():
        log = FakeLog()
        log.add_records("config", payload)
        log.write("config", "o#1", 10, KEY)
        async with running_client(log) as client:
            assert list(client.stream_state.keys) == ["d1"]

    asyncio.run(scenario())


def test_unexpected_error_in_a_record_does_not_stop_the_client(monkeypatch):
    """Applying a record raises an unexpected exception."""

    def fail(self, body):
        raise ZeroDivisionError

    async def scenario():
        log, _ = grown_log(1)
        log.write("config", "o#1", 10, KEY)
        async with running_client(log) as client:
            assert client.stream_state.version == 0
            assert "ZeroDivisionError" in client.stream_state.fault
            assert list(client.stream_state.keys) == ["d1"]

    monkeypatch.setattr(ConfigState, "_apply_rows", fail)
    asyncio.run(scenario())
