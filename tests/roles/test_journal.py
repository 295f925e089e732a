"""Tests of the journal role: snapshots in the log and from peers."""

import asyncio

from firhook.events import Append, StreamReady
from firhook.model import KeyGiven, Row, SnapshotChunk, decode_envelope
from firhook.queries import Authenticate, ChangeRows
from firhook.roles._config import digest_key
from tests.fakelog import FakeLog, until
from tests.roles.instance import Instance, running

PLAN = Row("plans", "small", {"share": "1", "limit": "4"})
TEAM = Row("teams", "lisboa", {"plan": "small"})
KEY = KeyGiven("k1", "lisboa", digest_key("fk_one"))


def chunks(log: FakeLog, stream: str) -> list[SnapshotChunk]:
    """Return the snapshot chunks that were appended to a stream."""
    bodies = [decode_envelope(p).body for p in log.streams.get(stream, [])]
    return [b for b in bodies if isinstance(b, SnapshotChunk)]


async def give_lists(instance: Instance) -> None:
    """Append lists and a key."""
    await instance.bus.ask(ChangeRows(0, (PLAN, TEAM), "root"))
    await instance.bus.ask(Append("config", KEY))


def test_snapshots_keep_lists_after_their_records_expire():
    """The log's records expire, and the lists rarely change.

    Without a snapshot, an instance that starts after the records expired would
    know no team and refuse every key.
    """

    async def scenario():
        log, cell = FakeLog(), {}
        a = Instance("a", log, cell, carry_forward_records=20)
        async with running(a):
            a.lead(log)
            await give_lists(a)
            for version in range(1, 25):
                await a.bus.ask(ChangeRows(version, (TEAM,), "root"))
            await until(lambda: a.states.config.snapshot_offset > 0)
            log.first["config"] = a.states.config.snapshot_offset
            b = Instance("b", log, {})
            async with running(b):
                assert b.states.config.version == a.states.config.version == 25
                who = await b.bus.ask(Authenticate("Bearer fk_one"))
                assert who.team == "lisboa"

    asyncio.run(scenario())


def test_only_the_first_zones_lead_appends_snapshots():
    """Snapshots by each of nine instances would cost nine times the bytes.

    All instances share the log's append rate, and charges wait for it.
    """

    async def scenario():
        log, cell = FakeLog(), {}
        instances = [
            Instance(name, log, cell, zone=zone, carry_forward_records=20)
            for name, zone in (("a", "lisboa"), ("b", "porto"), ("c", "lisboa"))
        ]
        async with running(*instances):
            instances[0].lead(log)
            instances[1].lead(log)
            await give_lists(instances[2])
            for version in range(1, 21):
                await instances[2].bus.ask(ChangeRows(version, (TEAM,), "root"))
            await until(lambda: instances[2].states.config.snapshot_offset > 0)
            lanes = {
                decode_envelope(p).lane
                for p in log.streams["config"]
                if isinstance(decode_envelope(p).body, SnapshotChunk)
            }
            assert lanes == {"a#1"}

    asyncio.run(scenario())


def test_instance_that_starts_while_the_log_is_out_serves_from_a_peer():
    """An instance is replaced while the platform's log is down.

    The new instance has no disk.  It loads a peer's state and serves at once.
    When the log returns it continues to read, and no list reverts.
    """

    async def scenario():
        log, cell = FakeLog(), {}
        a = Instance("a", log, cell)
        async with running(a):
            await give_lists(a)
            log.reads_fail, log.append_outcome = True, "refuse"
            b = Instance("b", log, cell)
            async with running(b, ready=False):
                await b.receive_gossip("a")
                await until(lambda: b.states.config.version == 1)
                assert await b.bus.ask(StreamReady("config"))
                assert not await b.bus.ask(StreamReady("once"))
                await b.receive_gossip("a")
                who = await b.bus.ask(Authenticate("Bearer fk_one"))
                assert who.team == "lisboa"
                log.reads_fail, log.append_outcome = False, "ok"
                await a.bus.ask(ChangeRows(1, (TEAM,), "root"))
                await until(lambda: b.states.config.version == 2)

    asyncio.run(scenario())


def test_older_snapshot_of_a_peer_reverts_nothing():
    """An instance asks two peers, of which one lags behind.

    The older snapshot must not replace a newer list.
    """

    async def scenario():
        log, cell = FakeLog(), {}
        a, b = Instance("a", log, cell), Instance("b", log, cell)
        async with running(a, b):
            await give_lists(a)
            await until(lambda: b.states.config.version == 1)
            client = b.journal.clients["config"]
            old = client.stream_state.next_offset, client.stream_state.to_text()
            await a.bus.ask(ChangeRows(1, (TEAM,), "root"))
            await until(lambda: b.states.config.version == 2)
            assert not client.load_peer_snapshot(*old)
            assert b.states.config.version == 2

    asyncio.run(scenario())
