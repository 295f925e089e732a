"""Snapshots carried forward, and instances that start while the log is out."""

import asyncio

from firhook.events import Append, StreamReady
from firhook.model import KeyGiven, Row, SnapshotChunk, decode_envelope
from firhook.queries import Authenticate, ChangeRows
from firhook.roles._config import digest_of
from tests.fakelog import FakeLog, until
from tests.roles.mini import Mini, running

PLAN = Row("plans", "small", {"share": "1", "limit": "4"})
TEAM = Row("teams", "lisboa", {"plan": "small"})
KEY = KeyGiven("k1", "lisboa", digest_of("fk_one"))


def chunks(log: FakeLog, stream: str) -> list[SnapshotChunk]:
    """Return the chunks that a stream got."""
    bodies = [decode_envelope(p).body for p in log.streams.get(stream, [])]
    return [b for b in bodies if isinstance(b, SnapshotChunk)]


async def give_lists(mini: Mini) -> None:
    """Put lists and a key in force."""
    await mini.bus.ask(ChangeRows(0, (PLAN, TEAM), "root"))
    await mini.bus.ask(Append("config", KEY))


def test_lists_outlive_the_records_that_made_them():
    """The log keeps records for a limited time, and the lists rarely change.

    Without a snapshot carried forward, an instance that starts after the
    records expired would know no team and refuse every key.
    """

    async def scenario():
        log, cell = FakeLog(), {}
        a = Mini("a", log, cell, carry_forward_records=20)
        async with running(a):
            a.lead(log)
            await give_lists(a)
            for version in range(1, 25):
                await a.bus.ask(ChangeRows(version, (TEAM,), "root"))
            await until(lambda: a.states.config.snapshot_offset > 0)
            log.first["config"] = a.states.config.snapshot_offset
            b = Mini("b", log, {})
            async with running(b):
                assert b.states.config.version == a.states.config.version == 25
                who = await b.bus.ask(Authenticate("Bearer fk_one"))
                assert who.team == "lisboa"

    asyncio.run(scenario())


def test_only_the_first_zones_lead_carries_forward():
    """Each of nine instances making snapshots would cost nine times the bytes.

    The log's rate is for everyone together, and charges wait behind it.
    """

    async def scenario():
        log, cell = FakeLog(), {}
        minis = [
            Mini(name, log, cell, zone=zone, carry_forward_records=20)
            for name, zone in (("a", "lisboa"), ("b", "porto"), ("c", "lisboa"))
        ]
        async with running(*minis):
            minis[0].lead(log)
            minis[1].lead(log)
            await give_lists(minis[2])
            for version in range(1, 21):
                await minis[2].bus.ask(ChangeRows(version, (TEAM,), "root"))
            await until(lambda: minis[2].states.config.snapshot_offset > 0)
            lanes = {
                decode_envelope(p).lane
                for p in log.streams["config"]
                if isinstance(decode_envelope(p).body, SnapshotChunk)
            }
            assert lanes == {"a#1"}

    asyncio.run(scenario())


def test_instance_that_starts_while_the_log_is_out_serves_from_a_peer():
    """The platform's log is down, and an instance is replaced meanwhile.

    The new one has no disk.  With a peer's state it serves requests at once;
    when the log comes back it reads on, and no list goes back.
    """

    async def scenario():
        log, cell = FakeLog(), {}
        a = Mini("a", log, cell)
        async with running(a):
            await give_lists(a)
            log.out, log.append_fate = True, "refuse"
            b = Mini("b", log, cell)
            async with running(b, ready=False):
                await b.hear("a")
                await until(lambda: b.states.config.version == 1)
                assert await b.bus.ask(StreamReady("config"))
                assert not await b.bus.ask(StreamReady("once"))
                await b.hear("a")
                who = await b.bus.ask(Authenticate("Bearer fk_one"))
                assert who.team == "lisboa"
                log.out, log.append_fate = False, "ok"
                await a.bus.ask(ChangeRows(1, (TEAM,), "root"))
                await until(lambda: b.states.config.version == 2)

    asyncio.run(scenario())


def test_older_snapshot_of_a_peer_takes_nothing_back():
    """Of two peers one lags behind, and an instance asks both.

    A list that was in force must not return to what it was before.
    """

    async def scenario():
        log, cell = FakeLog(), {}
        a, b = Mini("a", log, cell), Mini("b", log, cell)
        async with running(a, b):
            await give_lists(a)
            await until(lambda: b.states.config.version == 1)
            lane = b.journal.lanes["config"]
            old = lane.stream_state.next_offset, lane.stream_state.to_text()
            await a.bus.ask(ChangeRows(1, (TEAM,), "root"))
            await until(lambda: b.states.config.version == 2)
            assert not lane.load_peer_snapshot(*old)
            assert b.states.config.version == 2

    asyncio.run(scenario())
