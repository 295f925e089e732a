"""Events and queries that the services of an instance exchange."""

import math
from collections.abc import Callable
from typing import Any

import attrs

from firhook._bus import Query
from firhook._peer_messages import LeadAlive
from firhook.cell import CellConfig
from firhook.platform.store import KeyedRecord

#: The partitions of the cell's topic, of which the first is used as long as it
#: can be.  A partition takes its appends one after the other; with one of its own
#: the lead does not wait behind the callers'.  The store may lose some of its
#: partitions for seconds, in which without the others no task would start.
LEAD_PARTITIONS = (0, 2, 1, 3)
CALLERS_PARTITIONS = (1, 3, 0, 2)
#: Of what the lead appends for other instances.
RELAYED_PARTITIONS = (3, 1, 0, 2)


@attrs.frozen(slots=True)
class JobChanged:
    """A record of a job was applied to the replica."""

    job_id: str


@attrs.frozen(slots=True)
class RecordsAppended:
    """This instance appended records to the cell's topic, without a gap."""

    partition: int
    offset: int
    records: tuple[KeyedRecord, ...]


@attrs.frozen(slots=True)
class SendToInstances:
    """Send a one-way message to peers; those that are away miss it.

    :param names: the peers; all of them if ``None``.
    """

    body: Any
    names: tuple[str, ...] | None = None


@attrs.frozen(slots=True)
class SendToInstance:
    """Send a one-way message to one peer, which misses it if it is away."""

    peer: str
    body: Any


@attrs.frozen(slots=True)
class AnnounceLead:
    """This instance leads, and has all others told so."""

    message: LeadAlive


@attrs.frozen(slots=True)
class ConfigApplied:
    """Another version of the configuration is in force here."""

    config: CellConfig


@attrs.frozen(slots=True)
class CatchUp(Query[None]):
    """Read the cell's records up to the end that they have now.

    :param partitions: of the cell's topic.
    :raises LogUnavailableError: if the store cannot be read.
    """

    partitions: tuple[int, ...]


@attrs.frozen(slots=True)
class ReadToEnd(Query[int]):
    """Read one partition up to its end, and return the offset of that end.

    :raises LogUnavailableError: if the store cannot be read.
    """

    partition: int


@attrs.frozen(slots=True)
class HoldFullReplica(Query[None]):
    """Hold all of each record from here on, also of those applied as digests.

    :raises LogUnavailableError: if the store cannot be read.
    """


@attrs.frozen(slots=True)
class TermEnded:
    """This instance does not lead any more; digests of records will do."""


@attrs.frozen(slots=True)
class PartitionRebuilt:
    """All newest records of a partition of the cell's topic were read."""

    partition: int


@attrs.frozen(slots=True)
class LeadRecordSeen:
    """A record that a lead wrote was read from the store, or came from a peer.

    :param version: of the record.
    """

    epoch: int
    version: int


@attrs.frozen(slots=True)
class AppendRecord(Query[int]):
    """Append a keyed record to the cell's topic, and return its offset.

    :param until: on the boot clock, until when to try.
    :raises LogUnavailableError: if it certainly was not and will not be taken.
    :raises LogOutcomeUnknownError: if it may have been, or may yet be.
    """

    record: KeyedRecord
    until: float


@attrs.frozen(slots=True)
class AskInstance(Query[Any]):
    """Send a message to a peer, by name, and wait for its answer.

    :raises PeerUnreachableError: if no answer came in time.
    """

    peer: str
    body: Any
    timeout_s: float


@attrs.frozen(slots=True)
class RegisterMessageHandler:
    """Registers the handler of a kind of peer message.

    :ivar handler: returns the answer, if any, or an awaitable of it.
    """

    kind: type
    handler: Callable[[Any], Any]


@attrs.frozen(slots=True)
class IsFollowingStore(Query[bool]):
    """Whether all was read once, and the store answered a reading lately.

    It says nothing of how old the replica is; see :class:`ReplicaAge`.
    """


@attrs.frozen(slots=True)
class LiveLead(Query[str]):
    """The name of another instance that leads and was heard just now, or empty."""


@attrs.frozen(slots=True)
class StoreLatency(Query[float]):
    """How long the store's answers took lately, in seconds.

    It is infinite while no partition of the cell's topic serves this instance.
    """


@attrs.frozen(slots=True)
class ReplicaAge(Query[float]):
    """How old the replica is, in seconds: all older records were applied.

    It is infinite until every partition of the cell's topic was read to its end.

    :param wanted_s: what was read to its end longer ago than this is read on first,
        unless the store did not answer just now or all is still read from the start.
    :param within_s: how long that may take; what is not read by then stays as it is.
    """

    refresh_after_s: float = math.inf
    timeout_s: float = 0.0
