"""Fan-out of records and heartbeats from the lead to the other instances."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

import attrs

from firhook._peer_messages import (
    DigestBatch,
    DigestPush,
    DigestRow,
    LeadAlive,
    PassedOn,
    PushedBatch,
    RecordsPush,
)
from firhook.cell import Replica
from firhook.cell.records import (
    JOB_PREFIX,
    STATE_PREFIX,
    decode_state_summary,
    digest_job,
    digest_state,
)
from firhook.clock import boot_time
from firhook.decide.fan_out import FanOut, digest_delay_s, plan_fan_out
from firhook.errors import PeerUnreachableError, RecordMalformedError
from firhook.instance import InstanceService
from firhook.logs import log
from firhook.services._batches import split_by_size
from firhook.services._events import (
    AnnounceLead,
    AskInstance,
    SendToInstances,
)
from firhook.services._members import candidates

#: Batches are split into messages of at most this size.  One append takes at most
#: 2 MB, and a message between instances at most 4 MB.
_MAX_MESSAGE_BYTES = 1 << 20
#: A relay that does not confirm in this time that it forwarded a message has failed.
_RELAY_TIMEOUT_S = 0.3
#: Time for which a relay that failed is not used.
_RELAY_RETRY_S = 2.0
#: Interval at which the fan-out plan is computed again, as instances come and go.
_PLAN_INTERVAL_S = 0.25


class FanOutSender:
    """Sends records from the lead to the other instances, in batches.

    33 instances accept 70 jobs a second, and the lead writes job states.  If each
    of them sent its records to all others, every instance would receive 115
    messages a second, each encrypted and decoded.  So an instance sends its records
    to the lead, which needs them at once, and the lead sends them to the others.
    Until they arrive, an instance that is asked for an unknown job reads the log.

    :param spawn: runs a coroutine in the background.
    """

    def __init__(
        self,
        service: InstanceService,
        spawn: Callable[[Coroutine[Any, Any, None]], object],
    ) -> None:
        self._service = service
        self._bus = service.bus
        self._replica = service.replica
        self._spawn = spawn
        self._records: list[PushedBatch] = []
        self._digests: list[DigestBatch] = []
        self._added = asyncio.Event()
        self._failed_until: dict[str, float] = {}
        self._cached_plan: FanOut | None = None
        self._planned_at = 0.0
        self._bus.subscribe(AnnounceLead, self._on_announce_lead)

    def add(self, records: PushedBatch, digest: DigestBatch) -> None:
        """Queue a batch and its digest, made by :func:`digest_batch`, for sending."""
        self._records.append(records)
        self._digests.append(digest)
        self._added.set()

    async def run(self) -> None:
        """Send queued batches until cancelled.

        Several instances may append large jobs at the same moment.  One message with
        all of them could exceed the size limit.  The failed send would end the
        process of the lead, and after it that of its successor.
        """
        while True:
            await self._added.wait()
            self._added.clear()
            await asyncio.sleep(digest_delay_s(len(self._replica.peers)))
            records, self._records = self._records, []
            digests, self._digests = self._digests, []
            plan = self._plan()
            for chunk in split_by_size(records, _record_bytes, _MAX_MESSAGE_BYTES):
                message = RecordsPush(tuple(chunk), standby=True)
                self._bus.publish(SendToInstances(message, plan.standbys))
            digests = _merge_adjacent(digests)
            for digest in split_by_size(digests, _digest_bytes, _MAX_MESSAGE_BYTES):
                self._send_digests(plan, tuple(digest))

    def _on_announce_lead(self, event: AnnounceLead) -> None:
        """Send a heartbeat to all other instances.

        The likely successors receive it from the lead itself, so that none of them
        campaigns because a relay is gone.  The others wait longer and check the store
        before they do.
        """
        plan = self._plan()
        message = event.message
        self._bus.publish(SendToInstances(message, (*plan.standbys, *plan.direct)))
        for relay, members in plan.relays:
            forwarded = attrs.evolve(message, relay_to=members)
            self._spawn(self._send_through_relay(forwarded, relay))

    def _send_digests(self, plan: FanOut, batches: tuple[DigestBatch, ...]) -> None:
        if plan.direct:
            self._bus.publish(SendToInstances(DigestPush(batches), plan.direct))
        for relay, members in plan.relays:
            self._spawn(self._send_through_relay(DigestPush(batches, members), relay))

    def _plan(self) -> FanOut:
        now = boot_time()
        if self._cached_plan is None or now - self._planned_at >= _PLAN_INTERVAL_S:
            failed = {
                n: until for n, until in self._failed_until.items() if until > now
            }
            # An instance that starts fills its link with the records that it reads.
            reading = {
                p.name: now for p in self._replica.peers.values() if p.catching_up
            }
            lead = self._service.settings.name
            others = candidates(self._replica)
            self._cached_plan = plan_fan_out(others, lead, {**reading, **failed})
            self._planned_at = now
        return self._cached_plan

    async def _send_through_relay(
        self, message: DigestPush | LeadAlive, relay: str
    ) -> None:
        """Have a relay forward a message, and avoid the relay if it does not confirm.

        The instances of its zone read from the store what they did not receive.  A
        second message from the lead would be late, and would use a link that may be
        the cause of the relay's delay.
        """
        try:
            reply = await self._bus.ask(AskInstance(relay, message, _RELAY_TIMEOUT_S))
        except PeerUnreachableError as exc:
            log("relay.failed", level="warning", relay=relay, error=exc.detail)
            reply = None
        if not isinstance(reply, PassedOn):
            self._failed_until[relay] = boot_time() + _RELAY_RETRY_S
            self._cached_plan = None


def digest_batch(replica: Replica, batch: PushedBatch) -> DigestBatch:
    """Return the part of a batch that instances need only to answer callers.

    A job's state is written with each start and each end of a task, but what
    callers can see of it changes only three times per job.

    :param replica: the replica as it was before the batch was applied.
    """
    rows = []
    for at, record in enumerate(batch.records, batch.offset):
        try:
            row = _digest_record(replica, batch.partition, at, record.key, record.value)
        except RecordMalformedError as exc:
            log("record.malformed", level="warning", key=record.key, detail=exc.detail)
            row = DigestRow(at, record.key, record.value)
        if row is not None:
            rows.append(row)
    return DigestBatch(batch.partition, batch.offset, len(batch.records), tuple(rows))


def _digest_record(
    replica: Replica, partition: int, offset: int, key: str, value: bytes | None
) -> DigestRow | None:
    """Return what callers can see of a record, or ``None`` if that is known."""
    if value is not None and key.startswith(JOB_PREFIX):
        value = digest_job(value)
    elif value is not None and key.startswith(STATE_PREFIX):
        state = decode_state_summary(value)
        if replica.is_known_state(partition, key, state):
            return None
        value = digest_state(state)
    return DigestRow(offset, key, value)


def _merge_adjacent(batches: list[DigestBatch]) -> list[DigestBatch]:
    """Merge batches that follow each other without a gap."""
    merged: list[DigestBatch] = []
    for batch in batches:
        last = merged[-1] if merged else None
        follows = (
            last is not None
            and last.partition == batch.partition
            and last.offset + last.count == batch.offset
        )
        if last is None or not follows:
            merged.append(batch)
            continue
        merged[-1] = attrs.evolve(
            last, count=last.count + batch.count, rows=last.rows + batch.rows
        )
    return merged


def _record_bytes(batch: PushedBatch) -> int:
    return sum(len(row.key) + len(row.value or b"") for row in batch.records)


def _digest_bytes(batch: DigestBatch) -> int:
    return sum(len(row.key) + len(row.value or b"") for row in batch.rows)
