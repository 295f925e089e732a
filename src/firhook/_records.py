"""Records on the platform's log, and the verdicts of their readers.

The streams are ``config`` (lists and keys), ``cell`` (zone leads, limit transfers,
jobs), ``zone.<zone>`` (assignments and endings) and ``once`` (claims of
non-idempotent requests).
"""

import enum

import attrs

from firhook._codec import record
from firhook._jobs import JobSpec
from firhook._lists import Row


class Verdict(enum.Enum):
    """Effect of a record, the same for every reader of the stream."""

    APPLIED = "applied"
    REPEATED = "repeated"
    CONFLICT = "conflict"
    IGNORED = "ignored"


@record
@attrs.frozen(slots=True)
class Marker:
    """States that its sender has abandoned all earlier records of its lane."""


@record
@attrs.frozen(slots=True)
class SnapshotChunk:
    """One part of a snapshot of a stream, written before its records expire.

    :param upto: the snapshot covers all records before this offset.
    :param part: index of this part, from 0.
    :param parts: number of parts.
    :param data: part of the JSON text of the state.
    """

    upto: int
    part: int
    parts: int
    data: str


@record
@attrs.frozen(slots=True)
class RowsChanged:
    """A change of rows of the two lists, based on version ``base``."""

    base: int
    rows: tuple[Row, ...]
    author: str = ""


@record
@attrs.frozen(slots=True)
class KeyGiven:
    """A new key of a team, or of an operator if ``team`` is empty.

    :param digest: SHA-256 of the key, in hexadecimal.  The key itself is shown
        once by the tool and never stored.
    """

    key_id: str
    team: str
    digest: str


@record
@attrs.frozen(slots=True)
class KeyWithdrawn:
    """Withdraws a key permanently; its id is never reused."""

    key_id: str


@record
@attrs.frozen(slots=True)
class LeadClaimed:
    """Claims the lead of a zone; valid only for the epoch after the current one.

    :param instance: lane of the candidate.
    :param seen: offset of the latest claim, renewal or release of the lead that
        the candidate has read.  A later one invalidates the claim: the lease was
        renewed meanwhile, and its holder relies on it.
    """

    zone: str
    epoch: int
    instance: str
    seen: int


@record
@attrs.frozen(slots=True)
class LeadRenewed:
    """Renews the lead of a zone.

    :param roster: the instances to which the lead may lend capacity from now on.
    :param holders: the number of holders that determines the cap of each loan.
    """

    zone: str
    epoch: int
    instance: str
    roster: tuple[str, ...]
    holders: int


@record
@attrs.frozen(slots=True)
class LeadReleased:
    """Releases the lead of a zone at a graceful stop.

    :param roster: the instances that may still hold capacity.
    """

    zone: str
    epoch: int
    instance: str
    roster: tuple[str, ...]


@record
@attrs.frozen(slots=True)
class LimitMoved:
    """Transfers part of a team's limit from one zone to another.

    The giver's lead appends it after it has reduced its own share, so that the sum
    over the zones never exceeds the limit.

    :param epoch: epoch of the giver's lead; a later lead invalidates the transfer.
    :param limit: the team's limit as known to the giver.
    """

    team: str
    giver: str
    receiver: str
    amount: int
    epoch: int
    limit: int


@record
@attrs.frozen(slots=True)
class JobAccepted:
    """An accepted job and the zone whose lead places it.

    :param accepted_at: wall-clock time of acceptance, in Unix seconds, from which
        deadlines count.  It affects only the order of placement, never safety, so
        that a wrong clock does little harm.
    """

    job: JobSpec
    zone: str
    accepted_at: float = 0.0


@record
@attrs.frozen(slots=True)
class JobCancelled:
    """Cancels jobs; several cancellations are batched into one record."""

    job_ids: tuple[str, ...]


@record
@attrs.frozen(slots=True)
class JobsAdopted:
    """Moves the jobs of a lost zone to another zone.

    :param epoch: epoch of the receiver's lead.
    :param seen: offset of the latest claim, renewal or release of the lost zone's
        lead that the adopter has read; a later one invalidates the adoption.
    """

    giver: str
    receiver: str
    epoch: int
    seen: int


@attrs.frozen(slots=True)
class JobEnd:
    """The outcome of a job: ``done`` or ``cancelled``."""

    job_id: str
    outcome: str


@record
@attrs.frozen(slots=True)
class JobsEnded:
    """Ended jobs, recorded on stream ``cell`` by the lead that placed them."""

    zone: str
    epoch: int
    items: tuple[JobEnd, ...]


@attrs.frozen(slots=True)
class JobNote:
    """Description of a step of a job, shown by ``explain``."""

    job_id: str
    text: str


@record
@attrs.frozen(slots=True)
class ZoneFenced:
    """The first record of a lead in its zone's stream.

    Records of older epochs are invalid after it, and those before it have been read
    when this one is read.  The lead appends it again after an append with an
    unknown outcome: when it is read back, that append has landed before it or
    never will.
    """

    epoch: int
    instance: str


@record
@attrs.frozen(slots=True)
class JobsClosed:
    """Jobs of a zone whose attempts can be deleted from the state."""

    epoch: int
    job_ids: tuple[str, ...]


@attrs.frozen(slots=True)
class CarriedTask:
    """State of an adopted task according to the stream of its lost zone."""

    job_id: str
    index: int
    attempt: int
    outcome: str
    progress: float = 0.0
    failures: int = 0


@record
@attrs.frozen(slots=True)
class TasksCarried:
    """Ended attempts of adopted tasks, copied from the stream of a lost zone."""

    epoch: int
    giver: str
    items: tuple[CarriedTask, ...]


@attrs.frozen(slots=True)
class Assignment:
    """Assignment of one attempt of a task to a worker."""

    job_id: str
    index: int
    attempt: int
    worker: str


@record
@attrs.frozen(slots=True)
class Assigned:
    """A batch of assignments by the zone's lead, with notes on their reasons."""

    epoch: int
    items: tuple[Assignment, ...]
    notes: tuple[JobNote, ...] = ()


@attrs.frozen(slots=True)
class Ending:
    """The end of one attempt.

    :param outcome: ``done``, ``failed``, ``preempted``, ``lost``, ``refused``
        or ``cancelled``.
    :param progress: checkpointed share of the work, 0 to 1.
    """

    job_id: str
    index: int
    attempt: int
    outcome: str
    reason: str = ""
    progress: float = 0.0


@record
@attrs.frozen(slots=True)
class Ended:
    """A batch of ended attempts."""

    epoch: int
    items: tuple[Ending, ...]


@record
@attrs.frozen(slots=True)
class JobNoted:
    """A scheduling decision for a job with its reason, shown by ``explain``."""

    job_id: str
    note: str


@record
@attrs.frozen(slots=True)
class JobsNoted:
    """Scheduling decisions for several jobs, batched into one record."""

    notes: tuple[JobNote, ...]


@record
@attrs.frozen(slots=True)
class WorkerMarked:
    """Quarantines, drains or restores a worker, with the reason."""

    worker: str
    mark: str
    reason: str


@record
@attrs.frozen(slots=True)
class OnceClaimed:
    """Claims the single execution of a non-idempotent request with a key.

    :param key: digest of team and Idempotency-Key.
    :param body: digest of method, service, path and body.
    :param holder: lane of the instance that will dispatch the request.
    :param nonce: distinguishes the claims of one holder.
    """

    key: str
    team: str
    body: str
    holder: str
    nonce: int = 0


@record
@attrs.frozen(slots=True)
class OnceDone:
    """The outcome of a claimed request.

    :param data: the response body in base64.
    :param whole: whether the body is included; one that is too long is omitted.
    :param holder: lane of the holder of the claim; empty matches any.
    """

    key: str
    status: int
    content_type: str
    data: str
    whole: bool = True
    holder: str = ""
    nonce: int = 0


@record
@attrs.frozen(slots=True)
class OnceReleased:
    """Releases the claim of a request that certainly was never sent.

    The holder appends it, or a peer to which the holder has confirmed this.  The
    nonce identifies the claim: a copy that lands late must not release a later claim
    of the same holder, whose request may be running.
    """

    key: str
    holder: str
    nonce: int = 0
