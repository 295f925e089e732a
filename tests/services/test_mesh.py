"""Which connections an instance keeps to the others."""

import pytest

from firhook._instance import Instance
from firhook._peer_messages import LeadOffer
from firhook.cell import PeerRecord
from firhook.errors import PeerUnreachableError
from firhook.services._events import AskInstance, SendToInstance, SendToInstances
from firhook.services._mesh import MeshService
from standins.model import ModelCell, pause, run_virtual

MESSAGE = LeadOffer(1)


class FakeMesh:
    """Remembers who is connected to, and who was told."""

    def __init__(self):
        self.open = set()
        self.told = []

    def connect(self, address):
        self.open.add(address)

    def disconnect(self, address):
        self.open.discard(address)

    def tell(self, address, msg):
        self.told.append(address)

    def tell_all(self, msg, addresses):
        self.told += addresses

    async def ask(self, address, msg, timeout_s):
        return address

    def close(self):
        self.open.clear()


async def _service(peers):
    """Return the mesh of an instance that knows so many others."""
    cell = ModelCell(instances=1)
    await cell.begin()
    known = cell.instances["i0"].instance
    fresh = Instance(known.settings, known.platform, {"mesh": MeshService})
    service = fresh.services["mesh"]
    for n in range(peers):
        record = PeerRecord(f"p{n}", "1", f"10.0.0.{n}:1", "z0")
        fresh.replica.peers[record.name] = record
    service._mesh = FakeMesh()
    service._update_connections()
    return service


def test_instance_connects_to_those_that_it_speaks_with():
    """97 instances kept 9,300 connections alive, ten times their own messages."""

    async def play():
        service = await _service(96)
        assert service._mesh.open == set()
        service.bus.publish(SendToInstance("p1", MESSAGE))
        service.bus.publish(SendToInstances(MESSAGE, ("p2", "p3", "nobody")))
        assert await service.bus.ask(AskInstance("p4", MESSAGE, 1.0)) == "10.0.0.4:1"
        assert service._mesh.told == ["10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"]
        assert service._mesh.open == {f"10.0.0.{n}:1" for n in (1, 2, 3, 4)}

    run_virtual(play())


def test_connection_that_is_not_used_is_closed():
    async def play():
        service = await _service(4)
        service.bus.publish(SendToInstances(MESSAGE, ("p1", "p2")))
        await pause(15.0)
        service.bus.publish(SendToInstance("p2", MESSAGE))
        await pause(10.0)
        service._update_connections()
        assert service._mesh.open == {"10.0.0.2:1"}

    run_virtual(play())


def test_instance_that_moved_or_left_is_not_spoken_with_at_its_old_address():
    async def play():
        service = await _service(3)
        service.bus.publish(SendToInstances(MESSAGE, ("p1", "p2")))
        peers = service.replica.peers
        del peers["p2"]
        peers["p1"] = PeerRecord("p1", "2", "10.0.9.1:1", "z0")
        service._update_connections()
        assert service._mesh.open == set()
        service.bus.publish(SendToInstance("p1", MESSAGE))
        assert service._mesh.open == {"10.0.9.1:1"}
        with pytest.raises(PeerUnreachableError) as caught:
            await service.bus.ask(AskInstance("p2", MESSAGE, 1.0))
        assert caught.value.ran == "no"

    run_virtual(play())
