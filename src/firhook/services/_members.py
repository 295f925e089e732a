"""Who the other instances are."""

from firhook.cell import Replica
from firhook.cell.records import MEMBERS_AFTER, MEMBERS_UNTIL
from firhook.decide.election import Candidate
from firhook.errors import RecordMalformedError
from firhook.logs import log
from firhook.platform.store import CELL_TOPIC, Store
from firhook.services._events import CALLERS_PARTITIONS


async def read_members(store: Store, replica: Replica) -> int:
    """Read the records of instances alone; return where their partition ends.

    Load: an instance starts on a link that the records of jobs fill for seconds.
    Harm: until all of these are read it would have no way to its peers, and could
    ask none of them for what it does not know yet.

    :raises FirhookError: if the store cannot be read.
    """
    partition = CALLERS_PARTITIONS[0]
    newest = await store.newest(CELL_TOPIC, partition, MEMBERS_AFTER, MEMBERS_UNTIL)
    for row in newest.records:
        try:
            replica.apply(row.offset, row.key, row.value, partition)
        except RecordMalformedError as exc:
            log("record.malformed", level="warning", key=row.key, detail=exc.detail)
    return newest.end


def candidates(replica: Replica) -> list[Candidate]:
    """Return the registered instances, as those that may lead or be asked."""
    return [
        Candidate(peer.name, peer.zone, peer.strength)
        for peer in replica.peers.values()
    ]
