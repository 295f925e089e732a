"""Records on the platform's log, and the verdicts that readers reach on them.

Streams and what they carry: ``config`` (lists and keys), ``cell`` (zone
leads, limit transfers, jobs), ``zone.<zone>`` (assignments and endings),
``once`` (claims of non-idempotent requests).
"""

import enum

import attrs

from firhook._codec import record
from firhook._jobs import JobSpec
from firhook._lists import Row


class Verdict(enum.Enum):
    """What every reader concludes from a record, by its offset alone."""

    APPLIED = "applied"
    REPEATED = "repeated"
    CONFLICT = "conflict"
    IGNORED = "ignored"


@record
@attrs.frozen(slots=True)
class Marker:
    """Says that its sender has given up every earlier record of its lane."""


@record
@attrs.frozen(slots=True)
class SnapshotChunk:
    """One part of a stream's state, carried forward before its records expire.

    :param upto: the offset before which the snapshot holds all records.
    :param part: number of this part, from 0.
    :param parts: how many parts there are.
    :param data: part of the JSON text of the state.
    """

    upto: int
    part: int
    parts: int
    data: str


@record
@attrs.frozen(slots=True)
class RowsChanged:
    """A change of the two lists, made from version ``base``."""

    base: int
    rows: tuple[Row, ...]
    author: str = ""


@record
@attrs.frozen(slots=True)
class KeyGiven:
    """A key of a team, or of an operator if ``team`` is empty.

    :param digest: SHA-256 of the key, in hexadecimal; the key itself is
        shown once by the tool and stored nowhere.
    """

    key_id: str
    team: str
    digest: str


@record
@attrs.frozen(slots=True)
class KeyWithdrawn:
    """Withdraws a key for good; its id is never given again."""

    key_id: str


@record
@attrs.frozen(slots=True)
class LeadClaimed:
    """Claims the lead of a zone; valid only as the successor of the epoch.

    :param seen: offset of the last claim, renewal or release of the lead that
        the claimant has read.  A later one makes the claim void: it was judged
        on a lease that has been renewed since, whose holder relies on it.
    """

    zone: str
    epoch: int
    instance: str
    seen: int


@record
@attrs.frozen(slots=True)
class LeadRenewed:
    """Renews the lead of a zone.

    :param roster: the instances that the lead may lend room to from now on.
    :param holders: the number of holders by which each loan is capped.
    """

    zone: str
    epoch: int
    instance: str
    roster: tuple[str, ...]
    holders: int


@record
@attrs.frozen(slots=True)
class LeadReleased:
    """Hands the lead of a zone back at a graceful stop.

    :param roster: the instances that may still hold room.
    """

    zone: str
    epoch: int
    instance: str
    roster: tuple[str, ...]


@record
@attrs.frozen(slots=True)
class LimitMoved:
    """Moves part of a team's limit from one zone to another.

    The giver's lead appends it after it has lowered its own part, so that the
    sum over the zones never exceeds the limit at any moment.

    :param epoch: of the giver's lead; a later lead makes the transfer void.
    :param limit: the team's limit as the giver knew it.
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
    """A job, and the zone whose lead places it.

    :param accepted_at: wall-clock time of acceptance, in seconds since the
        epoch; deadlines count from it.  It decides about order only, never
        about safety, so that a wrong clock does little harm.
    """

    job: JobSpec
    zone: str
    accepted_at: float = 0.0


@record
@attrs.frozen(slots=True)
class JobCancelled:
    """Cancels jobs, folded into one record when they come in waves."""

    job_ids: tuple[str, ...]


@record
@attrs.frozen(slots=True)
class JobsAdopted:
    """Moves the jobs of a zone that was lost to another one.

    :param seen: offset of the last claim or renewal of the lost zone that the
        adopter has read; a later one makes the adoption void.
    """

    giver: str
    receiver: str
    epoch: int
    seen: int


@attrs.frozen(slots=True)
class JobEnd:
    """How a whole job ended: ``done`` or ``cancelled``."""

    job_id: str
    outcome: str


@record
@attrs.frozen(slots=True)
class JobsEnded:
    """Jobs that have ended, on stream ``cell``, by the lead that placed them."""

    zone: str
    epoch: int
    items: tuple[JobEnd, ...]


@attrs.frozen(slots=True)
class JobNote:
    """A step of a job in words, for explain."""

    job_id: str
    text: str


@record
@attrs.frozen(slots=True)
class ZoneFenced:
    """The first record of a lead in its zone's stream.

    A record of an older epoch that lands after it is void; one that landed
    before it has been read by the time this one is.  The lead appends it
    again after an append whose outcome it does not know: reading it back
    then says that the append before it landed earlier or never will.
    """

    epoch: int
    instance: str


@record
@attrs.frozen(slots=True)
class JobsClosed:
    """Jobs of a zone whose attempts need no longer be remembered."""

    epoch: int
    job_ids: tuple[str, ...]


@attrs.frozen(slots=True)
class CarriedTask:
    """What a lost zone's stream says of a task that another zone adopted."""

    job_id: str
    index: int
    attempt: int
    outcome: str
    progress: float = 0.0
    failures: int = 0


@record
@attrs.frozen(slots=True)
class TasksCarried:
    """Ended attempts of adopted tasks, brought over from a lost zone's stream."""

    epoch: int
    giver: str
    items: tuple[CarriedTask, ...]


@attrs.frozen(slots=True)
class Assignment:
    """One attempt of a task, given to a worker."""

    job_id: str
    index: int
    attempt: int
    worker: str


@record
@attrs.frozen(slots=True)
class Assigned:
    """A batch of assignments by the zone lead of an epoch, and why."""

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
    """A step that was decided for a job, and why; shown by explain."""

    job_id: str
    note: str


@record
@attrs.frozen(slots=True)
class JobsNoted:
    """Steps of several jobs, folded into one record."""

    notes: tuple[JobNote, ...]


@record
@attrs.frozen(slots=True)
class WorkerMarked:
    """A worker quarantined, drained or taken back, and why."""

    worker: str
    mark: str
    reason: str


@record
@attrs.frozen(slots=True)
class OnceClaimed:
    """Claims the single run of a keyed non-idempotent request.

    :param key: digest of team and Idempotency-Key.
    :param body: digest of method, path and body.
    :param holder: incarnation of the instance that will dispatch it.
    :param nonce: tells this claim from others of the same holder.
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

    :param data: the answer's body in base64.
    :param whole: whether the body is there; one that is too long is left out.
    :param holder: whose claim it is; empty matches any.
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
    """Gives a claim back whose request was certainly never sent.

    Appended by the holder, or by a peer that had its word.  It names the
    claim by its nonce: a copy that lands late must not free a later claim of
    the same holder, whose request may be running.
    """

    key: str
    holder: str
    nonce: int = 0
