"""Messages between instances, carried by zmq."""

import attrs

from firhook._codec import message


@attrs.frozen(slots=True)
class TeamUse:
    """What a team uses at one instance.

    :param running: requests and tasks running.
    :param waiting: requests waiting.
    :param served_s: seconds of slot time served lately, decayed.
    """

    team: str
    running: int
    waiting: int
    served_s: float


@attrs.frozen(slots=True)
class RunnerLoad:
    """What one instance has in flight at a runner, and how it finds it.

    :param leaving: whether the runner said that it is leaving.
    """

    runner: str
    in_flight: int
    leaving: bool = False


@message
@attrs.frozen(slots=True)
class Gossip:
    """An instance's regular word to its peers.

    :param incarnation: the sender's lane; changes with each restart.
    :param log_age_s: seconds since the sender last saw the log's end.
    :param withdrawn: key ids withdrawn lately, passed on so that an instance
        that cannot reach the log learns of them all the same.
    :param every_s: when the next word comes, in seconds.
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
    """An empty answer."""


@attrs.frozen(slots=True)
class TeamRoom:
    """Room of one team at one instance.

    :param wanted: how much the instance wants to hold in all.
    :param held: the most that it may have running before its next answer.
    """

    team: str
    wanted: int
    held: int


@message
@attrs.frozen(slots=True)
class GrantAsk:
    """Asks the zone lead for room under the limits of several teams at once.

    It is also a promise not to claim the zone's lead until ``ttl_s`` after
    the lead made the stamp that is sent back here.

    :param instance: the asker's lane.
    :param seq: rises with each ask of the lane.
    :param epoch: of the lead that is asked.
    :param echo: the stamp of the last answer, or -1 if there was none.
    :param leaving: whether the asker holds nothing and takes no more.
    :param guests: what the asker, as a lead before, lent without the log.
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
    """Room lent for one team."""

    team: str
    granted: int


@message
@attrs.frozen(slots=True)
class GrantAnswer:
    """The room lent, for so long from when the asker sent its question.

    :param stamp: the lead's clock when it answered.
    :param lent: whether the lead may lend at all now; if not, what the asker
        holds is left as it is.
    :param teams: those that did not get just what they wanted.
    """

    epoch: int
    stamp: float
    ttl_s: float
    lent: bool
    teams: tuple[TeamGrant, ...] = ()


@attrs.frozen(slots=True)
class TeamShort:
    """Room that a team wants in a zone and that the zone cannot lend."""

    team: str
    amount: int


@message
@attrs.frozen(slots=True)
class ZoneShort:
    """A zone lead tells the other zones' leads what its teams are short of.

    It goes from lead to lead and not with the gossip, which becomes rare in a
    large cell; a team should get its room within a couple of seconds there too.
    """

    zone: str
    teams: tuple[TeamShort, ...]


@message
@attrs.frozen(slots=True)
class HoldingsAsk:
    """A new lead asks what an instance holds.

    Whoever answers takes no more room from a lead of an older epoch.

    :param epoch: of the new lead.
    :param lead: lane of the new lead.
    :param instance: the lane that is asked.
    """

    epoch: int
    lead: str
    instance: str


@message
@attrs.frozen(slots=True)
class Holdings:
    """The most that an instance may have running, by team.

    :param guests: what instances that it lent to without the log may have.
    """

    instance: str
    teams: tuple[TeamRoom, ...]
    guests: tuple[TeamRoom, ...] = ()


@message
@attrs.frozen(slots=True)
class ClaimInquiry:
    """Asks a claim's holder whether it sent the request."""

    key: str
    holder: str
    nonce: int = 0


@message
@attrs.frozen(slots=True)
class ClaimInquiryAnswer:
    """Whether the request was sent.

    :param sent: ``never`` for certain and for good, ``running``, ``done`` if
        its outcome is on its way to the log, or ``unknown`` if its outcome was
        lost or the holder has gone.
    """

    key: str
    sent: str


@message
@attrs.frozen(slots=True)
class JobInquiry:
    """Asks a zone's lead for its view of a job."""

    job_id: str


@message
@attrs.frozen(slots=True)
class JobInquiryAnswer:
    """A zone lead's view of a job, as JSON text for the caller."""

    job_id: str
    view: str


@message
@attrs.frozen(slots=True)
class SnapshotAsk:
    """Asks a peer for its state of a stream, at boot without the log."""

    stream: str


@message
@attrs.frozen(slots=True)
class SnapshotAnswer:
    """A peer's state of a stream, as of an offset."""

    stream: str
    offset: int
    data: str


@message
@attrs.frozen(slots=True)
class StatsAsk:
    """Asks a peer for its counters and histograms."""


@message
@attrs.frozen(slots=True)
class StatsAnswer:
    """A peer's counters and histograms, as JSON text."""

    data: str
