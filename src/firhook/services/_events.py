"""Events and queries exchanged between the services of an instance."""

import math
from collections.abc import Callable, Mapping
from typing import Any

import attrs

from firhook._bus import Query
from firhook._peer_messages import LeadAlive
from firhook.cell import CellConfig
from firhook.decide.waiting import ReasonTotal
from firhook.platform.store import KeyedRecord

#: The partitions of the cell's topic in order of preference.  A partition handles
#: one append at a time, so the lead has a preferred partition of its own and does
#: not queue behind the records of callers.  The store may lose some partitions
#: for seconds; without the fallbacks no task would start in that time.
LEAD_PARTITIONS = (0, 2, 1, 3)
#: For records that an instance appends itself, as no lead does it.
CALLERS_PARTITIONS = (1, 3, 0, 2)
#: For records that the lead appends on behalf of other instances, the usual way.
RELAYED_PARTITIONS = (3, 1, 0, 2)


@attrs.frozen(slots=True)
class JobChanged:
    """A record of a job was applied to the replica."""

    job_id: str


@attrs.frozen(slots=True)
class RecordsAppended:
    """This instance appended consecutive records to the cell's topic."""

    partition: int
    offset: int
    records: tuple[KeyedRecord, ...]


@attrs.frozen(slots=True)
class SendToInstances:
    """Send a one-way message to peers; unreachable ones do not receive it.

    :param names: names of the peers, or ``None`` for all of them.
    """

    body: Any
    names: tuple[str, ...] | None = None


@attrs.frozen(slots=True)
class SendToInstance:
    """Send a one-way message to one peer; it is lost if the peer is unreachable."""

    peer: str
    body: Any


@attrs.frozen(slots=True)
class AnnounceLead:
    """Announce to all other instances that this one leads."""

    message: LeadAlive


@attrs.frozen(slots=True)
class LeadHeard:
    """The lead's heartbeat arrived, or was sent by this instance.

    :param load: the encoded load table; empty if the heartbeat contains none.
    """

    epoch: int
    load: bytes


@attrs.frozen(slots=True)
class ConfigApplied:
    """A newer version of the configuration took effect on this instance."""

    config: CellConfig


@attrs.frozen(slots=True)
class DrainedZonesChanged:
    """A zone was drained or returned to service."""


@attrs.frozen(slots=True)
class CatchUp(Query[None]):
    """Read the cell's records up to the current end of the log.

    :param partitions: the partitions of the cell's topic to read.
    :raises LogUnavailableError: if the store cannot be read.
    """

    partitions: tuple[int, ...]


@attrs.frozen(slots=True)
class ReadToEnd(Query[int]):
    """Read one partition to its current end and return the end offset.

    :raises LogUnavailableError: if the store cannot be read.
    """

    partition: int


@attrs.frozen(slots=True)
class HoldFullReplica(Query[None]):
    """Load the full records of all digests, and apply only full records from now on.

    A digest contains only what callers can see of a record.

    :param reload: whether to read all partitions, even those without known digests.
    :raises LogUnavailableError: if the store cannot be read.
    """

    reload: bool = False


@attrs.frozen(slots=True)
class TermEnded:
    """This instance stopped leading; digests of records suffice again."""


@attrs.frozen(slots=True)
class PartitionRebuilt:
    """The newest record of each key of a partition was read."""

    partition: int


@attrs.frozen(slots=True)
class LeadRecordSeen:
    """A record written by a lead was read from the store or received from a peer.

    :param epoch: the epoch of the lead that wrote it.
    :param version: the version of the record.
    """

    epoch: int
    version: int


@attrs.frozen(slots=True)
class AppendRecord(Query[int]):
    """Append a keyed record to the cell's topic and return its offset.

    :param until: time on the boot clock after which to give up.
    :raises LogUnavailableError: if the record is certainly not stored.
    :raises LogOutcomeUnknownError: if the record may be, or may yet get, stored.
    """

    record: KeyedRecord
    until: float


@attrs.frozen(slots=True)
class AskInstance(Query[Any]):
    """Send a message to a peer and wait for its answer.

    :param peer: name of the peer.

    :raises PeerUnreachableError: if no answer arrives in time.
    """

    peer: str
    body: Any
    timeout_s: float


@attrs.frozen(slots=True)
class RegisterMessageHandler:
    """Register the handler of a type of peer message.

    :ivar handler: returns the answer, if there is one, or an awaitable of it.
    """

    kind: type
    handler: Callable[[Any], Any]


@attrs.frozen(slots=True)
class IsFollowingStore(Query[bool]):
    """Whether all partitions were read once and the store answered a read lately.

    This does not say how stale the replica is; see :class:`ReplicaAge`.
    """


@attrs.frozen(slots=True)
class LiveLead(Query[str]):
    """The name of another instance that leads and is reachable, or an empty string."""


@attrs.frozen(slots=True)
class LastLead(Query[tuple[str, int]]):
    """The name and the epoch of the newest lead that is known; it need not be alive.

    Without one the name is empty and the epoch 0.
    """


@attrs.frozen(slots=True)
class StoreLatency(Query[float]):
    """The recent latency of the store, in seconds.

    It is infinite while no partition of the cell's topic answers this instance.
    """


@attrs.frozen(slots=True)
class ReplicaAge(Query[float]):
    """The age of the replica in seconds: all records older than this are applied.

    It is infinite until every partition of the cell's topic was read to its end.

    :param refresh_after_s: partitions that were last read to their end longer ago
        than this are read first, unless the store does not answer or one of them
        is still being rebuilt.
    :param timeout_s: time limit of that read; partitions that are not read by then
        count with the age that they have.
    """

    refresh_after_s: float = math.inf
    timeout_s: float = 0.0


@attrs.frozen(slots=True)
class WaitingTotals:
    """The waiting steps, and the jobs that the lead does not know, by reason."""

    steps: Mapping[str, ReasonTotal]
    unknown_jobs: Mapping[str, int]


@attrs.frozen(slots=True)
class CountWaiting(Query[WaitingTotals | None]):
    """What waits, according to this instance's term; ``None`` if it does not lead."""


@attrs.frozen(slots=True)
class DescribeWaiting(Query[dict[str, Any]]):
    """Why steps wait, according to the lead, in a form that can be encoded as JSON.

    :param limit: largest number of steps to describe.
    :param job_id: the job whose steps to describe as well; empty for none.
    :param teams: whether to describe the teams as well.
    """

    limit: int
    job_id: str = ""
    teams: bool = False


@attrs.frozen(slots=True)
class CountRefused(Query[Mapping[str, int]]):
    """How many submissions of each team this instance refused as too late."""


@attrs.frozen(slots=True)
class DescribeWorkers(Query[dict[str, Any]]):
    """The workers, according to the lead, in a form that can be encoded as JSON.

    :param limit: largest number of workers to describe.
    """

    limit: int
