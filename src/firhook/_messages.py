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


@message
@attrs.frozen(slots=True)
class Ack:
    """An empty answer."""


@message
@attrs.frozen(slots=True)
class PeerError:
    """A refusal, with the code of the error."""

    code: str
    detail: str


@message
@attrs.frozen(slots=True)
class GrantAsk:
    """Asks the zone lead for room under a team's limit.

    :param wanted: how much the asker wants to hold in all.
    :param running: how much it has running and cannot give back now.
    """

    instance: str
    incarnation: str
    team: str
    wanted: int
    running: int


@message
@attrs.frozen(slots=True)
class GrantAnswer:
    """The room lent, for so long from when the asker sent its question."""

    team: str
    granted: int
    ttl_s: float
    epoch: int


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
class ZoneView:
    """A zone lead's word on its room, so that jobs go where they fit."""

    zone: str
    epoch: int
    free_cpus: float
    free_memory_mb: int
    free_accelerators: int
    pending_tasks: int


@message
@attrs.frozen(slots=True)
class StatsAsk:
    """Asks a peer for its counters and histograms."""


@message
@attrs.frozen(slots=True)
class StatsAnswer:
    """A peer's counters and histograms, as JSON text."""

    data: str
