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
#: Interval between checks of the registration of a running instance.
_REPAIR_CHECK_INTERVAL_S = 0.5
#: A registration that another record replaced is appended again after this time.  All
#: partitions are read at least once within it.
_REPAIR_DELAY_S = 2.5


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
    """Keeps this instance registered, with the state of its replica.

    The store may carry out an append seconds after it was sent, also that of an
    earlier incarnation of this instance.  Its registration would replace the present
    one, and its deletion would hide this instance from all others until it restarts.
    A record that was appended to another partition may do the same.

    :param address: address at which this instance listens for its peers.
    """

    def __init__(self, service: InstanceService, address: str) -> None:
        self._service = service
        self._address = address
        self._key = PEER_PREFIX + service.settings.name
        self._appending = asyncio.Lock()

    async def run(self) -> None:
        """Register, and again once all partitions were read; then keep registered."""
        reading = await self._is_reading()
        own_record = self._own_record(reading)
        await self._register(own_record)
        if reading:
            while await self._is_reading():
                await asyncio.sleep(_CHECK_INTERVAL_S)
            own_record = self._own_record(False)
            await self._register(own_record)
        await self._keep_listed(own_record)

    async def _keep_listed(self, own_record: PeerRecord) -> None:
        """Repair the registration whenever another record replaced it."""
        listed_at = boot_time()
        while not self._service.instance.stopping:
            await asyncio.sleep(_REPAIR_CHECK_INTERVAL_S)
            if self._is_listed_as(own_record):
                listed_at = boot_time()
            elif boot_time() - listed_at > _REPAIR_DELAY_S:
                await self._repair(own_record)
                listed_at = boot_time()

    async def _is_reading(self) -> bool:
        return await self._service.bus.ask(ReplicaAge()) == math.inf

    def _own_record(self, reading: bool) -> PeerRecord:
        settings = self._service.settings
        return PeerRecord(
            settings.name,
            self._service.instance.incarnation,
            self._address,
            settings.zone,
            settings.strength,
            reading,
            settings.memory_mb,
        )

    def _is_listed_as(self, own_record: PeerRecord) -> bool:
        """Return whether every partition that lists this instance has this record."""
        listed = self._service.replica.values_of(self._key).values()
        return bool(listed) and all(value == own_record for value in listed)

    async def _register(self, own_record: PeerRecord) -> None:
        """Append the registration, unless the instance stops before that succeeds."""
        record = KeyedRecord(self._key, encode_record(own_record))
        while True:
            async with self._appending:
                if self._service.instance.stopping:
                    return
                try:
                    await self._service.bus.ask(
                        AppendRecord(record, boot_time() + _REGISTER_TIMEOUT_S)
                    )
                    return
                except FirhookError as exc:
                    log("mesh.register_retry", level="debug", error=repr(exc))
            await asyncio.sleep(_RETRY_S)

    async def _repair(self, own_record: PeerRecord) -> None:
        """Replace the records that other appends left, or register again."""
        listed = self._service.replica.values_of(self._key)
        wrong = [n for n, value in listed.items() if value != own_record]
        log("mesh.registration_replaced", level="warning", partitions=wrong)
        if not listed:
            await self._register(own_record)
            return
        record = KeyedRecord(self._key, encode_record(own_record))
        content = [encode_keyed_record(record)]
        async with self._appending:
            for number in wrong if not self._service.instance.stopping else ():
                try:
                    await self._service.store.append(CELL_TOPIC, number, content)
                except FirhookError as exc:
                    log("mesh.register_retry", level="debug", error=repr(exc))

    async def unregister(self) -> None:
        """Delete the registration, as this instance soon stops answering its peers.

        Its records may lie on several partitions, and any of them would keep the
        instance listed.
        """
        record = KeyedRecord(self._key, None)
        # A registration that is under way would be appended after the deletion.
        async with self._appending:
            try:
                await self._service.bus.ask(
                    AppendRecord(record, boot_time() + _REGISTER_TIMEOUT_S)
                )
                for number in self._service.replica.partitions_of(self._key):
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
