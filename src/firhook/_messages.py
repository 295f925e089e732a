"""Messages between instances that run as a :class:`firhook.kernel.Kernel`.

:mod:`firhook._peer_messages` defines those of the users' platform.
"""

import attrs

from firhook._codec import message


@attrs.frozen(slots=True)
class TeamUse:
    """Usage of one team at one instance.

    :param running: number of running requests and tasks.
    :param waiting: number of waiting requests.
    :param served_s: recent slot time in seconds, exponentially decayed.
    """

    team: str
    running: int
    waiting: int
    served_s: float


@attrs.frozen(slots=True)
class RunnerLoad:
    """Load of one instance at a runner.

    :param runner: the runner and its address.
    :param in_flight: requests in flight beyond the instance's part of its slots.
    :param leaving: whether the runner has announced that it shuts down.
    """

    runner: str
    in_flight: int
    leaving: bool = False


@message
@attrs.frozen(slots=True)
class Gossip:
    """Periodic state message of an instance to its peers.

    :param incarnation: the sender's lane; changes with each restart.
    :param log_age_s: seconds since the sender last saw the end of the log.
    :param withdrawn: recently withdrawn key ids, relayed so that an instance
        without access to the log receives them as well.
    :param every_s: interval until the next message, in seconds.
    """

    instance: str
    zone: str
    incarnation: str
    config_version: int
    config_offset: int
    log_age_s: float
    ready: bool
    stopping: bool
    withdrawn: tuple[str, ...] = ()
    teams: tuple[TeamUse, ...] = ()
    runners: tuple[RunnerLoad, ...] = ()
    every_s: float = 0.0


@message
@attrs.frozen(slots=True)
class Ack:
    """Empty reply that acknowledges a message."""


@attrs.frozen(slots=True)
class TeamRoom:
    """Capacity of one team at one instance.

    :param wanted: total capacity that the instance wants to hold.
    :param held: maximum that it may have running before the next answer.
    """

    team: str
    wanted: int
    held: int


@message
@attrs.frozen(slots=True)
class GrantAsk:
    """Request to the zone's lead for capacity under the limits of several teams.

    With an echoed stamp it is also a promise not to claim the zone's lead until
    the ``ttl_s`` of the :class:`GrantAnswer` has passed since the lead made that
    stamp.

    :param instance: lane of the sender.
    :param seq: increases with each request of the lane.
    :param epoch: epoch of the addressed lead.
    :param echo: stamp of the last answer, or -1 for no promise.
    :param teams: wanted and held capacity of each team.
    :param leaving: whether the sender holds nothing and stops borrowing.
    :param guests: capacity that the sender, when it was lead, lent to guests:
        instances that started during an outage of the log and so are not on the
        roster.
    """

    instance: str
    seq: int
    epoch: int
    echo: float
    teams: tuple[TeamRoom, ...]
    leaving: bool = False
    guests: tuple[TeamRoom, ...] = ()


@attrs.frozen(slots=True)
class TeamGrant:
    """Capacity lent for one team."""

    team: str
    granted: int


@message
@attrs.frozen(slots=True)
class GrantAnswer:
    """Answer to a :class:`GrantAsk`: the capacity lent.

    :param stamp: the lead's clock when it answered, in seconds.
    :param ttl_s: lifetime of the grants, from when the request was sent.
    :param lent: whether the lead may lend now; otherwise the holdings of the
        requester stay unchanged.
    :param teams: grants that differ from the wanted capacity.
    """

    epoch: int
    stamp: float
    ttl_s: float
    lent: bool
    teams: tuple[TeamGrant, ...] = ()


@attrs.frozen(slots=True)
class TeamShort:
    """Capacity that a team wants in a zone and that the zone cannot lend."""

    team: str
    amount: int


@message
@attrs.frozen(slots=True)
class ZoneShort:
    """Announcement of a zone's capacity shortages to the leads of the other zones.

    It is sent from lead to lead and not as part of the gossip, whose interval grows
    with the cell: a team should get its capacity within a few seconds in a large
    cell too.
    """

    zone: str
    teams: tuple[TeamShort, ...]


@message
@attrs.frozen(slots=True)
class HoldingsAsk:
    """Request of a new lead for the holdings of an instance.

    An instance that answers accepts no more capacity from leads of older epochs.

    :param epoch: epoch of the new lead.
    :param lead: lane of the new lead.
    :param instance: lane of the addressed instance.
    """

    epoch: int
    lead: str
    instance: str


@message
@attrs.frozen(slots=True)
class Holdings:
    """The maximum that an instance may have running, by team.

    :param instance: lane of the instance.
    :param guests: the maximum that its guests may have running, by team.
    """

    instance: str
    teams: tuple[TeamRoom, ...]
    guests: tuple[TeamRoom, ...] = ()


@message
@attrs.frozen(slots=True)
class ClaimInquiry:
    """Request to a claim's holder to report whether it sent the claimed request."""

    key: str
    holder: str
    nonce: int = 0


@message
@attrs.frozen(slots=True)
class ClaimInquiryAnswer:
    """Answer to a :class:`ClaimInquiry`.

    :param sent: ``never`` if the request certainly was not and will not be sent,
        ``running``, ``done`` if its outcome is being recorded, or ``unknown`` if
        its outcome was lost or the holder has stopped.
    """

    key: str
    sent: str


@message
@attrs.frozen(slots=True)
class JobInquiry:
    """Request to a zone's lead for its view of a job."""

    job_id: str


@message
@attrs.frozen(slots=True)
class JobInquiryAnswer:
    """View of a job by its zone's lead, as JSON text for the caller."""

    job_id: str
    view: str


@message
@attrs.frozen(slots=True)
class SnapshotAsk:
    """Request to a peer for its state of a stream, at startup without the log."""

    stream: str


@message
@attrs.frozen(slots=True)
class SnapshotAnswer:
    """State of a stream at an offset, from a peer."""

    stream: str
    offset: int
    data: str


@message
@attrs.frozen(slots=True)
class StatsAsk:
    """Request to a peer for its counters and histograms."""


@message
@attrs.frozen(slots=True)
class StatsAnswer:
    """Counters and histograms of a peer, as JSON text."""

    data: str
