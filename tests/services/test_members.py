"""How an instance finds the others when it starts."""

from firhook._instance import Instance
from firhook.cell import MeshKeys, PeerRecord
from firhook.cell.records import MESH_KEY, PEER_PREFIX, encode_record
from firhook.platform.store import CELL_TOPIC
from firhook.services._mesh import MeshService
from standins.model import ModelCell, now, run_virtual


def test_instance_finds_its_peers_before_it_has_read_the_jobs():
    """Over a link that the jobs fill it would have nobody to ask for seconds."""

    async def play():
        cell = ModelCell(instances=1)
        await cell.begin()
        keys, peer = MeshKeys("public", "secret"), PeerRecord("p", "1", "a:1", "z0")
        cell.store.put(CELL_TOPIC, "job/ff", b"x")
        partition = cell.store.partition(CELL_TOPIC, 1)
        for key, record in ((MESH_KEY, keys), (PEER_PREFIX + "p", peer)):
            content = bytes((len(key),)) + key.encode() + encode_record(record)
            partition.add([content])
        known = cell.instances["i0"].instance
        cell.store.transfer_s["i0", 1] = 12.0
        fresh = Instance(known.settings, known.platform, {"mesh": MeshService})
        began = now()
        assert await fresh.services["mesh"]._keys() == keys
        assert now() - began < 0.1
        assert fresh.replica.peers["p"] == peer
        assert not fresh.replica.jobs

    run_virtual(play())
