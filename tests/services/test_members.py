"""Discovery and registration of instances."""

import asyncio

import pytest

from firhook._instance import Instance
from firhook.cell import MeshKeys, PeerRecord, Replica
from firhook.cell.records import MESH_KEY, PEER_PREFIX, encode_record
from firhook.platform.store import CELL_TOPIC, KeyedRecord, encode_keyed_record
from firhook.services._members import Registration
from firhook.services._mesh import MeshService
from standins.model import ModelAppend, ModelCell, now, pause, run_virtual
from tests.services.scenarios import run_scenario, step


def test_instance_finds_its_peers_before_it_has_read_the_jobs():
    """The jobs fill a slow link for seconds, in which it could not ask any peer."""

    async def scenario():
        cell = ModelCell(instances=1)
        await cell.begin()
        keys, peer = MeshKeys("public", "secret"), PeerRecord("p", "1", "a:1", "z0")
        cell.store.put(CELL_TOPIC, "job/ff", b"x")
        partition = cell.store.partition(CELL_TOPIC, 1)
        for key, record in ((MESH_KEY, keys), (PEER_PREFIX + "p", peer)):
            content = bytes((len(key),)) + key.encode() + encode_record(record)
            partition.add([content])
        known = cell.instances["i0"].instance
        cell.store.partition_read_s["i0", 1] = 12.0
        fresh = Instance(known.settings, known.platform, {"mesh": MeshService})
        began = now()
        assert await fresh.services["mesh"]._read_or_create_keys() == keys
        assert now() - began < 0.1
        assert fresh.replica.peers["p"] == peer
        assert not fresh.replica.jobs

    run_virtual(scenario())


def test_adviser_is_not_asked_through_an_instance_that_still_reads_at_its_start():
    """After a power loss half of the queries were lost on slow links."""

    async def scenario(cell):
        cell.kill("i2")
        cell.store.partition_read_s["i2", 1] = 4.0
        await pause(1.0)
        await cell.restart("i2")
        await pause(0.5)
        asked = cell.adviser.calls_by_instance["i2"]
        began = now()
        while now() - began < 2.5:
            await cell.submit([step(2)], work_s=0.1)
            await pause(0.02)
        assert cell.adviser.calls_by_instance["i2"] == asked
        cell.store.partition_read_s.clear()
        await pause(6.0)
        for _ in range(100):
            await cell.submit([step(2)], work_s=0.1)
        assert cell.adviser.calls_by_instance["i2"] > asked
        await cell.all_done(20.0)

    run_scenario(scenario, instances=3, workers=6, advised=True)


@pytest.mark.parametrize("partitions", [(1, 3), (3, 1)])
def test_instance_that_has_read_everything_is_known_as_such(partitions):
    """Its two records may lie on two partitions and arrive in any order."""
    catching_up = PeerRecord("p", "1", "a:1", "z0", 1.0, catching_up=True)
    done = PeerRecord("p", "1", "a:1", "z0", 1.0, catching_up=False)
    replica, key = Replica(), PEER_PREFIX + "p"
    replica.apply(5, key, encode_record(done), partitions[1])
    replica.apply(9, key, encode_record(catching_up), partitions[0])
    assert replica.peers["p"] == done
    restarted = PeerRecord("p", "2", "a:1", "z0", 1.0, catching_up=True)
    replica.apply(10, key, encode_record(restarted), partitions[0])
    assert replica.peers["p"] == restarted


def test_instance_that_unregisters_is_listed_on_no_partition():
    """An instance that unregisters on another partition must not stay listed."""

    async def scenario(cell):
        key = PEER_PREFIX + "i2"
        found = cell.instances["i2"].instance
        value = encode_record(found.replica.peers["i2"])
        cell.store.partition(CELL_TOPIC, 3).add(
            [bytes((len(key),)) + key.encode() + value]
        )
        found.stopping = True
        await Registration(found.services["mesh"], "i2").unregister()
        await pause(3.0)
        for instance in cell.instances.values():
            assert "i2" not in instance.instance.replica.peers

    run_scenario(scenario, instances=3)


def holds_registration(cell, name):
    """Hold the appends that register or unregister an instance."""
    key = PEER_PREFIX + name
    cell.store.holds = lambda append: key in append.keys


def registered(cell, name):
    """Return the registration of an instance as each running one knows it."""
    return [
        i.instance.replica.peers.get(name) for i in cell.instances.values() if i.alive
    ]


def check_late_append(cell, name):
    """Carry out the held append, and check that the present incarnation stays listed.

    It must be listed at all instances, and at one that starts later.
    """

    async def check():
        late = cell.store.held[0]
        end = cell.store.partition(CELL_TOPIC, late.partition).end
        cell.store.carry_out(late)
        assert cell.store.partition(CELL_TOPIC, late.partition).end > end
        await pause(6.0)
        await cell.add_instance("late")
        await pause(1.0)
        own = cell.instances[name].instance.incarnation
        for record in registered(cell, name):
            assert record is not None
            assert (record.incarnation, record.catching_up) == (own, False)

    return check()


def test_late_registration_of_an_old_incarnation_does_not_replace_the_new_one():
    """Others would go by what the old incarnation said of itself."""

    async def scenario(cell):
        cell.drop_share = 0.0
        cell.kill("i2")
        holds_registration(cell, "i2")
        await cell.restart("i2")
        await cell.until(lambda: cell.store.held, 1.0)
        cell.kill("i2")
        cell.store.holds = None
        await cell.restart("i2")
        await pause(1.0)
        await check_late_append(cell, "i2")

    run_scenario(scenario, instances=3)


def test_late_deletion_of_an_old_registration_does_not_hide_the_new_incarnation():
    """An instance that nobody lists is asked nothing and cannot lead."""

    async def scenario(cell):
        cell.drop_share = 0.0
        mesh = cell.instances["i2"].instance.services["mesh"]
        holds_registration(cell, "i2")
        leaving = asyncio.create_task(Registration(mesh, "i2").unregister())
        await cell.until(lambda: cell.store.held, 1.0)
        await cell.stop("i2")
        leaving.cancel()
        cell.store.holds = None
        await cell.restart("i2")
        await pause(1.0)
        await check_late_append(cell, "i2")

    run_scenario(scenario, instances=3)


def test_old_registration_on_another_partition_does_not_replace_the_new_one():
    """The first partition was unavailable when the old incarnation registered.

    An instance that starts reads the partitions in any order.
    """

    async def scenario(cell):
        cell.drop_share = 0.0
        old = PeerRecord("i2", "old", "i2", "z0", catching_up=True)
        for number in range(4):
            partition = cell.store.partition(CELL_TOPIC, number)
            if PEER_PREFIX + "i2" not in partition.newest:
                record = KeyedRecord(PEER_PREFIX + "i2", encode_record(old))
                cell.store.held.append(
                    ModelAppend(
                        CELL_TOPIC, number, [encode_keyed_record(record)], None, None
                    )
                )
        await check_late_append(cell, "i2")

    run_scenario(scenario, instances=3)
