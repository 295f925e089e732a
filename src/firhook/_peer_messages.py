"""Messages between the instances of a cell on the users' platform.

:class:`PeerError` is also the error reply to the messages of
:mod:`firhook._messages`.
"""

import attrs

from firhook._codec import message


@message
@attrs.frozen(slots=True)
class PeerError:
    """An error reply.

    :param code: code of the :class:`firhook.errors.FirhookError`, or ``internal``.
    """

    code: str
    detail: str


@attrs.frozen(slots=True)
class WorkerTicket:
    """A ticket with which the adviser permits the use of one worker."""

    worker: str
    ticket: str


@message
@attrs.frozen(slots=True)
class AdviceAsk:
    """Request the adviser's answer for a step through the receiver.

    :param timeout_s: how long the adviser may take, in seconds.
    """

    step: str
    workers: tuple[str, ...]
    timeout_s: float


@message
@attrs.frozen(slots=True)
class AdviceReply:
    """The adviser's answer.

    :param answered: whether the adviser answered.
    :param valid_s: how long the tickets are valid, in seconds.
    """

    answered: bool
    tickets: tuple[WorkerTicket, ...] = ()
    valid_s: float = 0.0


@attrs.frozen(slots=True)
class PushedRecord:
    """A record that was appended to the cell's topic.

    :param value: ``None`` if the record deletes its key.
    """

    key: str
    value: bytes | None


@attrs.frozen(slots=True)
class PushedBatch:
    """Consecutive records of one partition.

    :param offset: the first record's offset.
    """

    partition: int
    offset: int
    records: tuple[PushedRecord, ...]


@message
@attrs.frozen(slots=True)
class RecordsPush:
    """Newly appended records, for the replicas of peers.

    :param standby: whether the receiver is a likely successor of the lead, which
        receives every record in full instead of its digest.
    """

    batches: tuple[PushedBatch, ...]
    standby: bool = False


@attrs.frozen(slots=True)
class DigestRow:
    """The digest of one record: the part that callers may query.

    :param offset: the record's offset.
    """

    offset: int
    key: str
    value: bytes | None


@attrs.frozen(slots=True)
class DigestBatch:
    """Digests of consecutive records of one partition.

    :param offset: the first record's offset.
    :param count: the number of records.  Records without a row change nothing
        that callers may query.
    """

    partition: int
    offset: int
    count: int
    rows: tuple[DigestRow, ...]


@message
@attrs.frozen(slots=True)
class DigestPush:
    """Digests of newly appended records.

    :param relay_to: names of the peers to which the receiver forwards them.
    """

    batches: tuple[DigestBatch, ...]
    relay_to: tuple[str, ...] = ()


@message
@attrs.frozen(slots=True)
class PassedOn:
    """Reply to a message after forwarding it to the peers in its ``relay_to``."""


@message
@attrs.frozen(slots=True)
class CopyAsk:
    """Request a page of a partition's digests from an instance.

    :param after: the last key of the previous page; empty for the first page.
    """

    partition: int
    after: str = ""


@message
@attrs.frozen(slots=True)
class CopyReply:
    """A page of a partition's digests, ordered by key.

    :param known: whether the instance holds a recent copy of the whole partition;
        otherwise the page is empty.
    :param end: an offset; the page reflects every record before it.
    :param has_more: whether there are further pages.
    """

    known: bool
    end: int = 0
    rows: tuple[DigestRow, ...] = ()
    has_more: bool = False


@message
@attrs.frozen(slots=True)
class LeadAlive:
    """The lead's heartbeat.

    :param newest: version of the newest record that the lead has written.
    :param relay_to: names of the peers to which the receiver forwards it.
    :param load: an encoded :class:`firhook.cell.load.LoadTable`; empty if none is due.
    """

    epoch: int
    name: str
    newest: int
    relay_to: tuple[str, ...] = ()
    load: bytes = b""


#: A row of learned values.
HintRow = tuple[str | int | float, ...]


@attrs.frozen(slots=True)
class HintRows:
    """What one estimator of the lead has learned.

    :param name: the estimator's name.
    :param rows: values that only the estimator interprets.
    """

    name: str
    rows: tuple[HintRow, ...]


@message
@attrs.frozen(slots=True)
class LearnedHints:
    """What the lead has learned, for its likely successors.

    :param epoch: the epoch of the lead that sends it.
    :param sequence: number of the message in that epoch, from 1.
    """

    epoch: int
    sequence: int
    sources: tuple[HintRows, ...] = ()


@message
@attrs.frozen(slots=True)
class LeadOffer:
    """The lead's request that the receiver take over the cell."""

    epoch: int


@message
@attrs.frozen(slots=True)
class LeadOfferReply:
    """Reply to an offer of the lead.

    :param taken: whether the instance takes over the cell now.
    """

    taken: bool


@message
@attrs.frozen(slots=True)
class StrongerHere:
    """Notifies the lead that a much stronger instance is ready to lead.

    :param name: the stronger instance.
    """

    name: str


@message
@attrs.frozen(slots=True)
class AppendAsk:
    """Request that the receiver append a record for the sender.

    Sent to the lead, which appends the records of all instances in few calls.

    :ivar within_s: how long the sender waits for the reply, in seconds.
    """

    record: PushedRecord
    within_s: float


@message
@attrs.frozen(slots=True)
class SubmissionUnresolved:
    """The sender does not know whether a job's submission was or will be stored."""

    job_id: str


@message
@attrs.frozen(slots=True)
class AppendReply:
    """Reply to a request to append a record.

    :ivar taken: whether the record was appended.  If false, it was certainly not.
    :ivar offset: the record's offset.
    """

    taken: bool
    offset: int = 0


@message
@attrs.frozen(slots=True)
class ConfigAsk:
    """Request the configuration and the drained zones as the receiver last read them.

    :param version: the version that the sender has.
    """

    version: int


@attrs.frozen(slots=True)
class DrainRow:
    """A drained zone.

    :param offset: offset of the operator's record.
    :param age_s: maximum number of seconds since the record was stored; ``None`` if
        that is not known.
    """

    zone: str
    offset: int
    age_s: float | None


@message
@attrs.frozen(slots=True)
class ConfigReply:
    """The configuration and the drained zones as an instance last read them.

    :param age_s: seconds since that read was sent.
    :param raw: the operators' original text; empty if it is not newer than the
        requested version.
    :param drains: the drained zones.
    :param drains_end: offset before which every record is reflected in the drained
        zones; 0 if the sender does not know them.
    """

    age_s: float
    raw: bytes = b""
    drains: tuple[DrainRow, ...] = ()
    drains_end: int = 0


@message
@attrs.frozen(slots=True)
class PendingAsk:
    """Request the number of a queue's jobs that wait for their first start.

    :param queue: the queue's address.
    """

    queue: str


@message
@attrs.frozen(slots=True)
class PendingReply:
    """The number of a queue's waiting jobs.

    :param age_s: age in seconds of the replica in which they were counted.
    """

    count: int
    age_s: float


@message
@attrs.frozen(slots=True)
class JobAsk:
    """Request the status of a job."""

    job_id: str


@message
@attrs.frozen(slots=True)
class JobReply:
    """The status of a job.

    :param found: whether the job exists.  If false, it certainly does not.
    :param status: a :class:`firhook.cell.JobStatus`.
    :param queue: the address of the job's queue.
    """

    found: bool
    status: int = 0
    queue: str = ""
    team: str = ""


@message
@attrs.frozen(slots=True)
class WaitingAsk:
    """Request the lead's report on the steps that wait.

    :param limit: largest number of steps to describe.
    :param job_id: the job whose steps to describe as well; empty for none.
    :param teams: whether to describe the teams as well.
    """

    limit: int
    job_id: str = ""
    teams: bool = False


@message
@attrs.frozen(slots=True)
class WaitingReply:
    """The lead's report on the steps that wait.

    :param report: the report in JSON; empty if the receiver does not lead.
    """

    report: bytes


@message
@attrs.frozen(slots=True)
class WorkersAsk:
    """Request the lead's report on the workers.

    :param limit: largest number of workers to describe.
    """

    limit: int


@message
@attrs.frozen(slots=True)
class WorkersReply:
    """The lead's report on the workers.

    :param report: the report in JSON; empty if the receiver does not lead.
    """

    report: bytes
