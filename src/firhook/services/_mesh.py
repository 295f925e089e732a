"""Messages between the instances of the cell."""

import asyncio
from collections.abc import Callable
from typing import Any

import zmq

from firhook._mesh import Mesh
from firhook.address import Address
from firhook.cell import MeshKeys
from firhook.cell.records import MESH_KEY, encode_record
from firhook.clock import boot_time
from firhook.errors import FirhookError, FrameMalformedError, PeerUnreachableError
from firhook.instance import InstanceService, StopBegun, register_service
from firhook.logs import log
from firhook.platform.store import CELL_TOPIC, KeyedRecord, encode_keyed_record
from firhook.services._events import (
    CALLERS_PARTITIONS,
    AskInstance,
    CatchUp,
    RegisterMessageHandler,
    SendToInstance,
    SendToInstances,
)
from firhook.services._members import Registration, read_members

#: Delay between attempts while the store does not answer.
_RETRY_S = 0.2
#: Interval between comparisons of the connections with the peers in the replica.
_UPDATE_INTERVAL_S = 0.25
#: A connection over which nothing was sent for this time is closed.
_IDLE_TIMEOUT_S = 20.0


@register_service("mesh")
class MeshService(InstanceService):
    """Finds the other instances through the cell's records and connects to them.

    All instances share one CURVE key pair, which the first of them appends to the
    cell's topic: only processes that can read the platform's store can connect.
    """

    def register_handlers(self) -> None:
        """Register the handlers of queries and events."""
        self._mesh: Mesh | None = None
        self._registration: Registration | None = None
        self._handlers: dict[type, Callable[[Any], Any]] = {}
        self._peer_addresses: dict[str, str] = {}
        self._last_used_at: dict[str, float] = {}
        self.bus.register_handler(AskInstance, self._ask)
        self.bus.subscribe(RegisterMessageHandler, self._on_register_handler)
        self.bus.subscribe(SendToInstances, self._on_send_to_instances)
        self.bus.subscribe(SendToInstance, self._on_send_to_instance)
        self.bus.subscribe(StopBegun, self._on_stop_begun)

    def _on_stop_begun(self, event: StopBegun) -> None:
        if self._registration is not None:
            self.add_future(self._registration.unregister())

    def _on_send_to_instances(self, event: SendToInstances) -> None:
        if self._mesh is not None:
            self._mesh.broadcast(event.body, self._connect_to_all(event.names))

    def _connect_to_all(self, names: tuple[str, ...] | None) -> list[str]:
        wanted = self._peer_addresses if names is None else names
        found = (self._connect_to(name) for name in wanted)
        return [address for address in found if address is not None]

    def _connect_to(self, name: str) -> str | None:
        """Connect to a peer and return its address, or ``None`` if it is unknown.

        Connections are opened on demand, as most instances exchange messages only
        with the lead and one or two others.  97 instances that are all connected to
        each other keep 9,300 connections alive, which takes ten times as many messages
        as they have to send, and they open all of them at once when they start.
        """
        address = self._peer_addresses.get(name)
        if self._mesh is None or address is None:
            return None
        self._mesh.connect(address)
        self._last_used_at[name] = boot_time()
        return address

    def _on_send_to_instance(self, event: SendToInstance) -> None:
        address = self._connect_to(event.peer)
        if self._mesh is not None and address is not None:
            self._mesh.send(address, event.body)

    def _on_register_handler(self, event: RegisterMessageHandler) -> None:
        self._handlers[event.kind] = event.handler

    async def on_started(self) -> None:
        """Start to look for peers."""
        self.add_future(self._run())

    async def _run(self) -> None:
        keys = await self._read_or_create_keys()
        mesh = Mesh(keys.public, keys.secret, self._dispatch)
        bound = mesh.bind(Address(self.settings.ip, self.settings.peer_port))
        self._mesh = mesh
        self.meters.counters["messages_sent"] = mesh.counts.sent_by_kind
        self.meters.counters["message_bytes_sent"] = mesh.counts.sent_bytes_by_kind
        self.add_future(mesh.run())
        self._registration = Registration(self, str(bound))
        self.add_future(self._registration.run())
        while not self.should_stop:
            self._update_connections()
            await asyncio.sleep(_UPDATE_INTERVAL_S)

    async def _read_or_create_keys(self) -> MeshKeys:
        """Return the cell's key pair; the first instance creates it."""
        while True:
            try:
                end = await read_members(self.store, self.replica)
                if self.replica.mesh_keys is None:
                    await self.bus.ask(CatchUp(CALLERS_PARTITIONS))
                if self.replica.mesh_keys is not None:
                    return self.replica.mesh_keys
                public, secret = zmq.curve_keypair()
                created = MeshKeys(public.decode(), secret.decode())
                record = KeyedRecord(MESH_KEY, encode_record(created))
                # Of several instances that start at once only one creates the pair:
                # the store refuses the append if the partition grew since the read.
                await self.store.append(
                    CELL_TOPIC,
                    CALLERS_PARTITIONS[0],
                    [encode_keyed_record(record)],
                    expected_end=end,
                )
            except FirhookError as exc:
                log("mesh.keys_retry", level="debug", error=repr(exc))
                await asyncio.sleep(_RETRY_S)

    def _update_connections(self) -> None:
        """Take over the registered peers, and close moved and idle connections."""
        assert self._mesh is not None
        wanted = {
            peer.name: peer.address
            for peer in self.replica.peers.values()
            if peer.name != self.settings.name
        }
        idle_since = boot_time() - _IDLE_TIMEOUT_S
        for name, address in self._peer_addresses.items():
            moved = wanted.get(name) != address
            if moved or self._last_used_at.get(name, 0.0) < idle_since:
                self._mesh.disconnect(address)
                self._last_used_at.pop(name, None)
        self._peer_addresses = wanted

    async def _ask(self, query: AskInstance) -> Any:
        address = self._connect_to(query.peer)
        if self._mesh is None or address is None:
            raise PeerUnreachableError(f"{query.peer}: unknown instance", ran="no")
        return await self._mesh.request(address, query.body, query.timeout_s)

    def _dispatch(self, msg: Any) -> Any:
        handler = self._handlers.get(type(msg))
        if handler is None:
            raise FrameMalformedError(f"{type(msg).__name__}: no handler is registered")
        return handler(msg)

    async def on_stop(self) -> None:
        """Close all sockets."""
        if self._mesh is not None:
            self._mesh.close()
