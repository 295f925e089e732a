"""Learning from a strong peer what the store would tell over a thin link."""

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

#: Instances that are not listed so long after a start are not there yet.
_MEMBERS_TIMEOUT_S = 0.3
#: A strong peer is waited for so long.  At a start of all it has read the cell's
#: records by then, which the store tells all instances at so many bytes a second.
_COPY_TIMEOUT_S = 2.0
#: One answer is waited for so long.
_ASK_TIMEOUT_S = 0.6
#: Between tries.
_RETRY_S = 0.1
#: Rows in an answer.  Half a core takes some 30 ms to apply them.
_PAGE_ROWS = 500


class ReplicaCopier:
    """Copies what a weak instance needs of the cell's records from a strong one.

    Load: all instances lose power, and 97 read the jobs of a minute from the store,
    most of them over links of 10 Mbit/s, for callers who ask where a job stands.
    Harm: together they read for four seconds at all that the store can tell; the
    strong ones, one of which is to lead, wait among them, and nothing starts.
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
        """Take all rows of a partition from a peer.

        :return: the keys that it holds, and an offset before which all records are
            accounted for; ``None`` if the store is to be read instead.
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
            # Rows of later answers may be newer; what was dropped since the first
            # one is told by the records that follow its end.
            end = reply.end if end is None else end
            for row in reply.rows:
                apply_row(row)
                listed.add(row.key)
            if not reply.has_more:
                log("replica.copied", partition=partition, peer=peer, rows=len(listed))
                return listed, end
            after = reply.rows[-1].key


def build_copy_reply(replica: Replica, ask: CopyAsk, end: int) -> CopyReply:
    """Return the rows that a peer asks for.

    :param end: all records of the partition before it were applied.
    """
    page = replica.page(ask.partition, ask.after, _PAGE_ROWS + 1)
    rows = tuple(
        DigestRow(at, key, digest_value(v)) for at, key, v in page[:_PAGE_ROWS]
    )
    return CopyReply(True, end, rows, len(page) > _PAGE_ROWS)
