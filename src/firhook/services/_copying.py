"""Copies the replica from a strong peer instead of reading the store."""

import asyncio
from collections.abc import Callable

from firhook._peer_messages import CopyAsk, CopyReply, DigestRow
from firhook.cell import Replica
from firhook.cell.records import digest_value
from firhook.clock import boot_time
from firhook.decide.copy_sources import choose_copy_sources
from firhook.errors import PeerUnreachableError
from firhook.instance import InstanceService
from firhook.logs import log
from firhook.services._events import AskInstance
from firhook.services._members import candidates

#: Time for which a starting instance waits for the first peer to be listed.
_MEMBERS_TIMEOUT_S = 0.3
#: Time limit for finding a strong peer that can be copied.  When all instances start
#: at once, strong ones have read the cell's records by then.  The store limits the
#: bytes a second that all instances together read.
_COPY_TIMEOUT_S = 2.0
#: Timeout of one page.
_ASK_TIMEOUT_S = 0.6
#: Delay between attempts.
_RETRY_S = 0.1
#: Rows per page.  Applying them takes some 30 ms on half a core.
_PAGE_ROWS = 500


class ReplicaCopier:
    """Copies the records that a weak instance needs from a strong peer.

    To answer callers' queries for the status of a job, an instance needs the jobs
    that the store holds.  After a power loss, 97 instances would read the jobs of
    a minute from the store, most over links of 10 Mbit/s, and together saturate it
    for four seconds.  The strong instances, one of which has to lead, would wait
    among them, and no task would start.
    """

    def __init__(self, service: InstanceService) -> None:
        self._name = service.settings.name
        self._strength = service.settings.strength
        self._zone = service.settings.zone
        self._bus = service.bus
        self._replica = service.replica

    async def copy(
        self, partition: int, apply_row: Callable[[DigestRow], None]
    ) -> tuple[set[str], int] | None:
        """Copy all rows of a partition from a peer.

        :param apply_row: called with each row.
        :return: the keys that the peer holds and an offset before which all records
            are covered, or ``None`` if the store has to be read instead.
        """
        began = boot_time()
        while not self._replica.peers and boot_time() - began < _MEMBERS_TIMEOUT_S:
            await asyncio.sleep(_RETRY_S)
        tries = 0
        while boot_time() - began < _COPY_TIMEOUT_S:
            names = choose_copy_sources(
                self._name, self._zone, self._strength, candidates(self._replica)
            )
            if not names:
                return None
            copied = await self._copy_from(
                names[tries % len(names)], partition, apply_row
            )
            if copied is not None:
                return copied
            tries += 1
            await asyncio.sleep(_RETRY_S)
        log("replica.not_copied", partition=partition, tries=tries)
        return None

    async def _copy_from(
        self, peer: str, partition: int, apply_row: Callable[[DigestRow], None]
    ) -> tuple[set[str], int] | None:
        listed: set[str] = set()
        end, after = None, ""
        while True:
            try:
                ask = CopyAsk(partition, after)
                reply = await self._bus.ask(AskInstance(peer, ask, _ASK_TIMEOUT_S))
            except PeerUnreachableError as exc:
                log("replica.copy_failed", level="debug", peer=peer, error=exc.detail)
                return None
            if not isinstance(reply, CopyReply) or not reply.known:
                return None
            # Later pages may hold newer rows.  Deletions since the first page are
            # among the records that follow its end.
            end = reply.end if end is None else end
            for row in reply.rows:
                apply_row(row)
                listed.add(row.key)
            if not reply.has_more:
                log("replica.copied", partition=partition, peer=peer, rows=len(listed))
                return listed, end
            after = reply.rows[-1].key


def build_copy_reply(replica: Replica, ask: CopyAsk, end: int) -> CopyReply:
    """Return the page of rows that a peer requests.

    :param end: all records of the partition before this offset were applied.
    """
    page = replica.page(ask.partition, ask.after, _PAGE_ROWS + 1)
    rows = tuple(
        DigestRow(at, key, digest_value(v)) for at, key, v in page[:_PAGE_ROWS]
    )
    return CopyReply(True, end, rows, len(page) > _PAGE_ROWS)
