"""Events and queries that the roles exchange over the kernel's bus."""

from typing import Any

import attrs

from firhook._bus import Query
from firhook.model import Envelope, Verdict


@attrs.frozen(slots=True)
class RecordApplied:
    """A record was read from the log and applied to the state of its stream."""

    stream: str
    offset: int
    envelope: Envelope
    verdict: Verdict


@attrs.frozen(slots=True)
class StreamRebuilt:
    """The state of a stream was replaced by a snapshot."""

    stream: str
    offset: int


@attrs.frozen(slots=True)
class PeerMessage:
    """A one-way message from a peer."""

    peer: str
    body: Any


@attrs.frozen(slots=True)
class LoopStalled:
    """The event loop stalled, so leases may have expired unnoticed."""

    stall_s: float


@attrs.frozen(slots=True)
class LeadChanged:
    """This instance won or lost the lead of its zone."""

    epoch: int
    held: bool


@attrs.frozen(slots=True)
class InstancesListed:
    """The platform returned a new list of instances."""

    instances: tuple[Any, ...]


@attrs.frozen(slots=True)
class Applied:
    """The offset of an appended record and the verdict of its readers."""

    offset: int
    verdict: Verdict


@attrs.frozen(slots=True)
class Append(Query[Applied]):
    """Append a record and wait until it is read back and applied.

    :param deadline_s: timeout in seconds.
    :param urgent: whether it takes precedence over other appends at the rate limit.
    :raises NotReadyError: if the stream's state is incomplete; nothing was sent.
    :raises LogUnavailableError: after the timeout, if the record certainly is not
        and never will be in the log.
    :raises LogOutcomeUnknownError: after the timeout otherwise.
    """

    stream: str
    body: Any
    deadline_s: float = 5.0
    urgent: bool = False


@attrs.frozen(slots=True)
class LogAge(Query[float]):
    """Seconds since the end of a stream was last seen; inf if never."""

    stream: str


@attrs.frozen(slots=True)
class StreamReady(Query[bool]):
    """Whether a stream's state is complete, so that decisions may rely on it.

    It becomes complete when the end of the stream is read, or when a peer's state
    is installed during an outage of the log.  It becomes incomplete when records
    expire unread.
    """

    stream: str


@attrs.frozen(slots=True)
class AskPeer(Query[Any]):
    """Send a message to a peer and wait for its reply.

    :raises PeerUnreachableError: if no reply arrives in time.
    """

    peer: str
    body: Any
    timeout_s: float = 1.0


@attrs.frozen(slots=True)
class RegisterPeerHandler:
    """Registers the handler of a peer message type with the members role."""

    kind: type
    handler: Any


@attrs.frozen(slots=True)
class Member:
    """A peer as seen by the members role.

    :param age_s: seconds since its last gossip message.
    """

    name: str
    zone: str
    incarnation: str
    age_s: float
    gossip: Any


@attrs.frozen(slots=True)
class Members(Query[tuple[Member, ...]]):
    """The peers with recent gossip, without this instance."""


@attrs.frozen(slots=True)
class Lead:
    """The lead of this instance's zone.

    :param held: whether this instance certainly holds the lead now.
    :param hold_left_s: remaining time in which this instance may renew tasks, with
        or without the log, in seconds.
    :param lease_left_s: remaining time of the lease by the log, in seconds.
    """

    epoch: int
    instance: str
    held: bool
    hold_left_s: float
    lease_left_s: float = 0.0


@attrs.frozen(slots=True)
class LeadView(Query[Lead]):
    """The lead of this zone as known to this instance."""


@attrs.frozen(slots=True)
class CapacityWanted:
    """Work of a team waits for capacity.

    :param wanted: total capacity that the team could use at this instance.
    """

    team: str
    wanted: int


@attrs.frozen(slots=True)
class CapacityChanged:
    """The capacity of a team at this instance changed."""

    team: str
