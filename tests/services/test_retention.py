"""Expired jobs stay deleted, whatever an instance missed meanwhile."""

import asyncio

import attrs
import pytest

from firhook._instance import Instance
from firhook.cell import JobState, MeshKeys, PeerRecord, Replica
from firhook.cell.records import MESH_KEY, PEER_PREFIX, encode_record
from firhook.platform.instance import Bounds
from firhook.platform.store import CELL_TOPIC
from firhook.services._events import LEAD_PARTITIONS, RELAYED_PARTITIONS, CatchUp
from firhook.services._members import read_members
from firhook.services._retention import _delete_everywhere
from standins.model import ModelCell, ModelRequest, pause, run_virtual
from tests.services.scenarios import step

STEP = step(1)


def stored_records(cell, job):
    """Return the partitions and keys under which the store holds a job's records."""
    return [
        (number, key)
        for (topic, number), part in cell.store.partitions.items()
        if topic == CELL_TOPIC
        for key in part.newest
        if key.partition("/")[2] == job
    ]


async def check_deleted(cell, job, found, leads):
    """Check that an instance does not know a job, even once it leads."""
    if leads:
        for name in list(cell.instances):
            if cell.instances[name] is not found:
                cell.kill(name)
        await cell.until(lambda: cell.lead() is found, 10.0)
        await pause(3.0)
    assert await cell.status(job, found) == "410"
    status, body = await found.call(ModelRequest("GET", "/plan/"))
    assert (status, body["pending"]) == (200, 0)
    assert cell.checks.violations == []


@pytest.mark.parametrize("leads", [False, True])
def test_job_deleted_while_an_instance_was_cut_off_is_deleted_there_too(leads):
    async def scenario():
        cell = ModelCell(instances=3, bounds=Bounds(status_s=1.0))
        await cell.begin()
        behind = next(n for n in cell.instances if n != cell.lead_name())
        found = cell.instances[behind]
        job, _ = await cell.submit([STEP], work_s=1.0)
        await cell.until(lambda: found.instance.replica.find(job), 1.0)
        cell.store.mode[behind] = "silent"
        cell.cut_links += [
            {behind, other} for other in cell.instances if other != behind
        ]
        await cell.until(lambda: not stored_records(cell, job), 30.0)
        await pause(1.0)
        cell.store.expire_history()
        cell.store.mode.pop(behind)
        cell.cut_links.clear()
        await pause(4.0)
        await check_deleted(cell, job, found, leads)

    run_virtual(scenario())


@pytest.mark.parametrize("leads", [False, True])
def test_job_deleted_while_the_newest_records_are_read_stays_deleted(leads):
    async def scenario():
        cell = ModelCell(instances=3, bounds=Bounds(status_s=1.0))
        await cell.begin()
        job, _ = await cell.submit([STEP], work_s=0.2)
        await cell.all_done(5.0)
        behind = next(n for n in cell.instances if n != cell.lead_name())
        cell.kill(behind)
        await pause(0.5)
        cell.store.partition_read_s[behind, 1] = 12.0
        cell.store.partition_read_s[behind, 0] = 8.0
        await cell.restart(behind)
        found = cell.instances[behind]
        await cell.until(lambda: not stored_records(cell, job), 20.0)
        readers = found.instance.services["follower"]._readers
        assert not readers[1].is_complete
        await cell.until(lambda: readers[1].is_complete, 30.0)
        cell.store.partition_read_s.clear()
        await pause(5.0)
        await check_deleted(cell, job, found, leads)

    run_virtual(scenario())


def test_peer_deleted_between_the_reads_of_peers_and_of_all_keys_is_not_kept():
    async def scenario():
        cell = ModelCell(instances=1)
        await cell.begin()
        keys, peer = MeshKeys("public", "secret"), PeerRecord("p", "1", "a:1", "z0")
        partition = cell.store.partition(CELL_TOPIC, 1)
        for key, record in ((MESH_KEY, keys), (PEER_PREFIX + "p", peer)):
            partition.add([bytes((len(key),)) + key.encode() + encode_record(record)])
        known = cell.instances["i0"].instance
        fresh = Instance(known.settings, known.platform)
        await read_members(fresh.store, fresh.replica)
        assert "p" in fresh.replica.peers
        partition.add([bytes((len("peer/p"),)) + b"peer/p"])
        await fresh.bus.ask(CatchUp((1, 3, 0, 2)))
        assert "p" not in fresh.replica.peers

    run_virtual(scenario())


@pytest.mark.parametrize("rerun", [False, True])
def test_job_accepted_on_another_partition_stays_deleted_after_restarts(rerun):
    async def scenario():
        cell = ModelCell(bounds=Bounds(status_s=1.0))
        await cell.begin()
        cell.store.down_partitions = {1}
        job, status = await cell.submit([STEP], work_s=0.2)
        assert status == 200
        await cell.all_done(5.0)
        cell.store.down_partitions = set()
        await pause(12.0)
        assert stored_records(cell, job) == []
        names = list(cell.instances)
        if not rerun:
            names = [next(n for n in names if n != cell.lead_name())]
        for name in names:
            cell.kill(name)
        await pause(0.1)
        for name in names:
            await cell.restart(name)
        await pause(3.0)
        await check_deleted(cell, job, cell.instances[names[0]], False)

    run_virtual(scenario())


def test_records_of_a_job_on_several_partitions_are_all_deleted():
    async def scenario():
        cell = ModelCell(bounds=Bounds(status_s=1.0))
        await cell.begin()
        job, _ = await cell.submit([STEP], work_s=5.0)
        await cell.until(lambda: stored_records(cell, job), 1.0)
        await pause(1.0)
        # The preferred partitions of the lead's records and of callers' records.
        cell.store.down_partitions = {LEAD_PARTITIONS[0], RELAYED_PARTITIONS[0]}
        assert await cell.cancel(job) == 200
        await pause(2.0)
        assert {number for number, _ in stored_records(cell, job)} == {0, 1, 2, 3}
        cell.store.down_partitions = set()
        await cell.until(lambda: not stored_records(cell, job), 20.0)
        await pause(1.0)
        assert all(job not in i.instance.replica.jobs for i in cell.instances.values())
        assert cell.checks.violations == []

    run_virtual(scenario())


def test_job_is_not_partly_deleted_while_a_partition_is_unavailable():
    async def scenario():
        cell = ModelCell(bounds=Bounds(status_s=1.0))
        await cell.begin()
        cell.store.down_partitions = {1}
        job, _ = await cell.submit([STEP], work_s=0.2)
        await cell.all_done(5.0)
        cell.store.down_partitions = {3}
        await pause(15.0)
        assert {key.partition("/")[0] for _, key in stored_records(cell, job)} >= {
            "job",
            "state",
        }
        cell.store.down_partitions = set()
        await cell.until(lambda: not stored_records(cell, job), 10.0)
        assert cell.checks.violations == []

    run_virtual(scenario())


def test_older_state_does_not_outlive_the_newest_while_its_partition_is_unavailable():
    state = JobState(0, 0.0, (), ())
    replica, unavailable, deleted = Replica(), {2}, []
    for partition, version in ((0, 9), (2, 4)):
        value = encode_record(attrs.evolve(state, version=version))
        replica.apply(0, "state/1", value, partition)

    async def delete(partition, keys):
        if partition in unavailable:
            return False
        deleted.append((partition, *keys))
        for key in keys:
            replica.apply(1, key, None, partition)
        return True

    asyncio.run(_delete_everywhere(replica, ["state/1"], delete))
    assert deleted == []
    unavailable.clear()
    asyncio.run(_delete_everywhere(replica, ["state/1"], delete))
    assert deleted == [(2, "state/1"), (0, "state/1")]
    assert replica.jobs == {}
