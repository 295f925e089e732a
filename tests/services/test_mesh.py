"""Connections between instances."""

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
    """Records the connections and the receivers of messages."""

    def __init__(self):
        self.connected = set()
        self.sent_to = []

    def connect(self, address):
        self.connected.add(address)

    def disconnect(self, address):
        self.connected.discard(address)

    def send(self, address, msg):
        self.sent_to.append(address)

    def broadcast(self, msg, addresses):
        self.sent_to += addresses

    async def request(self, address, msg, timeout_s):
        return address

    def close(self):
        self.connected.clear()


async def _service(peers):
    """Return the mesh service of an instance that knows ``peers`` others."""
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


def test_instance_connects_only_to_peers_that_it_sends_to():
    """A full mesh of 97 instances keeps 9,300 connections alive.

    That took ten times as many messages as the instances had to send.
    """

    async def scenario():
        service = await _service(96)
        assert service._mesh.connected == set()
        service.bus.publish(SendToInstance("p1", MESSAGE))
        service.bus.publish(SendToInstances(MESSAGE, ("p2", "p3", "nobody")))
        assert await service.bus.ask(AskInstance("p4", MESSAGE, 1.0)) == "10.0.0.4:1"
        assert service._mesh.sent_to == ["10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"]
        assert service._mesh.connected == {f"10.0.0.{n}:1" for n in (1, 2, 3, 4)}

    run_virtual(scenario())


def test_idle_connection_is_closed():
    async def scenario():
        service = await _service(4)
        service.bus.publish(SendToInstances(MESSAGE, ("p1", "p2")))
        await pause(15.0)
        service.bus.publish(SendToInstance("p2", MESSAGE))
        await pause(10.0)
        service._update_connections()
        assert service._mesh.connected == {"10.0.0.2:1"}

    run_virtual(scenario())


def test_instance_that_moved_or_left_is_not_reached_at_its_old_address():
    async def scenario():
        service = await _service(3)
        service.bus.publish(SendToInstances(MESSAGE, ("p1", "p2")))
        peers = service.replica.peers
        del peers["p2"]
        peers["p1"] = PeerRecord("p1", "2", "10.0.9.1:1", "z0")
        service._update_connections()
        assert service._mesh.connected == set()
        service.bus.publish(SendToInstance("p1", MESSAGE))
        assert service._mesh.connected == {"10.0.9.1:1"}
        with pytest.raises(PeerUnreachableError) as caught:
            await service.bus.ask(AskInstance("p2", MESSAGE, 1.0))
        assert caught.value.ran == "no"

    run_virtual(scenario())
