"""Registration and discovery of the instances of a cell."""

import asyncio
import math

from firhook.cell import PeerRecord, Replica
from firhook.cell.records import (
    INSTANCE_KEYS_AFTER,
    INSTANCE_KEYS_BEFORE,
    PEER_PREFIX,
    encode_record,
)
from firhook.clock import boot_time
from firhook.decide.election import Candidate
from firhook.errors import FirhookError, RecordMalformedError
from firhook.instance import InstanceService
from firhook.logs import log
from firhook.platform.store import CELL_TOPIC, KeyedRecord, Store, encode_keyed_record
from firhook.services._events import CALLERS_PARTITIONS, AppendRecord, ReplicaAge

#: Timeout of one attempt to register.
_REGISTER_TIMEOUT_S = 2.0
#: Delay between attempts while the store does not answer.
_RETRY_S = 0.2
#: Interval between checks whether all partitions were read.
_CHECK_INTERVAL_S = 0.05


async def read_members(store: Store, replica: Replica) -> int:
    """Read only the records of instances; return the end of their first partition.

    The records of jobs fill the link of a starting instance for seconds.  If it had
    to read all of these first, it would not know its peers and could not ask them for
    what it has not read yet.

    :raises FirhookError: if the store cannot be read.
    """
    first, second = CALLERS_PARTITIONS[:2]
    try:
        await _read_peer_records(store, replica, second)
    except FirhookError as exc:
        # The second partition holds only instances that registered while the first
        # one was slow or unavailable.
        log("members.not_read", level="warning", partition=second, error=exc.detail)
    return await _read_peer_records(store, replica, first)


async def _read_peer_records(store: Store, replica: Replica, partition: int) -> int:
    newest = await store.read_newest(
        CELL_TOPIC, partition, INSTANCE_KEYS_AFTER, INSTANCE_KEYS_BEFORE
    )
    for row in newest.records:
        try:
            replica.apply(row.offset, row.key, row.value, partition)
        except RecordMalformedError as exc:
            log("record.malformed", level="warning", key=row.key, detail=exc.detail)
    return newest.end


class Registration:
    """Registers this instance, and updates the record once the replica is complete.

    :param address: address at which this instance listens for its peers.
    """

    def __init__(self, service: InstanceService, address: str) -> None:
        self._service = service
        self._address = address

    async def run(self) -> None:
        """Register, and register again once all partitions were read."""
        reading = await self._is_reading()
        await self._register(reading)
        if not reading:
            return
        while await self._is_reading():
            await asyncio.sleep(_CHECK_INTERVAL_S)
        if not self._service.instance.stopping:
            await self._register(False)

    async def _is_reading(self) -> bool:
        return await self._service.bus.ask(ReplicaAge()) == math.inf

    async def _register(self, reading: bool) -> None:
        settings = self._service.settings
        own_record = PeerRecord(
            settings.name,
            self._service.instance.incarnation,
            self._address,
            settings.zone,
            settings.strength,
            reading,
        )
        record = KeyedRecord(PEER_PREFIX + own_record.name, encode_record(own_record))
        while True:
            try:
                await self._service.bus.ask(
                    AppendRecord(record, boot_time() + _REGISTER_TIMEOUT_S)
                )
                return
            except FirhookError as exc:
                log("mesh.register_retry", level="debug", error=repr(exc))
                await asyncio.sleep(_RETRY_S)

    async def unregister(self) -> None:
        """Delete the registration, as this instance soon stops answering its peers.

        Its records may lie on several partitions, and any of them would keep the
        instance listed.
        """
        key = PEER_PREFIX + self._service.settings.name
        record = KeyedRecord(key, None)
        try:
            await self._service.bus.ask(
                AppendRecord(record, boot_time() + _REGISTER_TIMEOUT_S)
            )
            for number in self._service.replica.partitions_of(key):
                content = [encode_keyed_record(record)]
                await self._service.store.append(CELL_TOPIC, number, content)
        except FirhookError as exc:
            log("mesh.unregister_failed", level="warning", error=repr(exc))


def candidates(replica: Replica) -> list[Candidate]:
    """Return the registered instances as candidates to lead or to be asked."""
    return [
        Candidate(peer.name, peer.zone, peer.strength)
        for peer in replica.peers.values()
    ]
