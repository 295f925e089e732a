"""Events and queries that the roles exchange through the kernel's bus."""

from typing import Any

import attrs

from firhook._bus import Query
from firhook.model import Envelope, Verdict


@attrs.frozen(slots=True)
class RecordApplied:
    """A record was read from the log and applied to the state."""

    stream: str
    offset: int
    envelope: Envelope
    verdict: Verdict


@attrs.frozen(slots=True)
class StreamRebuilt:
    """A stream's state was replaced by a snapshot."""

    stream: str
    offset: int


@attrs.frozen(slots=True)
class PeerMessage:
    """A one-way message from a peer."""

    peer: str
    body: Any


@attrs.frozen(slots=True)
class LoopStalled:
    """The event loop stood still, so every lease believed held is in doubt."""

    stall_s: float


@attrs.frozen(slots=True)
class LeadChanged:
    """This instance won or lost the lead of its zone."""

    epoch: int
    held: bool


@attrs.frozen(slots=True)
class InstancesListed:
    """A fresh instance list came from the platform."""

    instances: tuple[Any, ...]


@attrs.frozen(slots=True)
class Applied:
    """Where a record landed and what readers made of it."""

    offset: int
    verdict: Verdict


@attrs.frozen(slots=True)
class Append(Query[Applied]):
    """Append a record and wait until it has been read back and applied.

    :param deadline_s: after so many seconds the asker gets an error:
        ``LogUnavailableError`` if the record certainly is not and never will
        be recorded, else ``LogOutcomeUnknownError``.
    :param urgent: goes before others under the append budget.
    :raises NotReadyError: if the stream's state is not whole; nothing was sent.
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
    """Whether a stream's state is whole, so that it may be acted upon.

    It is from when the end of the stream was seen, or a peer's state was
    taken over while the log was out, and until records expired unread.
    """

    stream: str


@attrs.frozen(slots=True)
class AskPeer(Query[Any]):
    """Send a message to a peer and wait for its answer.

    :raises PeerUnreachableError: if no answer came in time.
    """

    peer: str
    body: Any
    timeout_s: float = 1.0


@attrs.frozen(slots=True)
class RegisterPeerHandler:
    """Registers the handler of a kind of peer message, by the members role."""

    kind: type
    handler: Any


@attrs.frozen(slots=True)
class Member:
    """A peer as the members role sees it."""

    name: str
    zone: str
    incarnation: str
    age_s: float
    gossip: Any


@attrs.frozen(slots=True)
class Members(Query[tuple[Member, ...]]):
    """The peers heard lately, without this instance."""


@attrs.frozen(slots=True)
class Lead:
    """The lead of this instance's zone.

    :param held: whether this instance holds it for certain at this moment.
    :param hold_left_s: how long the holder may go on renewing tasks.
    :param lease_left_s: how long this instance holds it at least.
    """

    epoch: int
    instance: str
    held: bool
    hold_left_s: float
    lease_left_s: float = 0.0


@attrs.frozen(slots=True)
class LeadView(Query[Lead]):
    """Who leads this zone, as far as this instance knows."""


@attrs.frozen(slots=True)
class CapacityWanted:
    """Work of a team waits for room; ``wanted`` is what it could use in all."""

    team: str
    wanted: int


@attrs.frozen(slots=True)
class CapacityChanged:
    """The room of a team at this instance changed."""

    team: str
