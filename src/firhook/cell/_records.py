"""The records of a cell's topic, and their encoding.

Each record contains the full new value of its key, so a reader needs only the newest
record of each key, in any order.  The instances that serve callers write the jobs that
they accept and cancel; only the lead writes the state of jobs.

Values are encoded as rows without field names: every instance reads every record, and
the names would be most of the bytes.  A new field is added last and has a default, so
that instances of different versions can read each other's records.
"""

import enum
import hashlib
import types
from collections.abc import Callable, Iterable, Iterator
from functools import cache
from typing import Any, TypeVar, Union, get_args, get_origin, get_type_hints

import attrs
import msgspec

from firhook.cell._config import Queue
from firhook.cell._job_limits import JobSize, job_size
from firhook.cell._spec import JobSpec
from firhook.errors import RecordMalformedError

T = TypeVar("T")

JOB_PREFIX = "job/"
CANCEL_PREFIX = "cancel/"
STATE_PREFIX = "state/"
PEER_PREFIX = "peer/"
#: Key of the newest claim of the lead.  Heartbeats have a key of their own: the store
#: keeps only the newest record of a key, and one that it carries out late must not
#: replace the claim of a successor.
CLAIM_KEY = "claim"
LEAD_KEY = "lead"
MESH_KEY = "mesh"
#: The keys about instances, which are the mesh key and those of the peers, lie between
#: these two in byte order.
INSTANCE_KEYS_AFTER, INSTANCE_KEYS_BEFORE = LEAD_KEY, STATE_PREFIX

#: Number of versions reserved for the records that a lead writes in its epoch; the
#: count restarts with each epoch.
VERSIONS_PER_EPOCH = 10**9


def claim_epoch(offset: int) -> int:
    """Return the epoch of a lead whose claim is stored at an offset.

    The store carries out a claim only at the offset at which it was made, so that no
    two claims share an epoch and each has a higher one than all claims before it,
    whatever the claiming instance had read of them.  Earlier builds counted claims,
    of which a log has fewer than records; so epochs rise across a change of build too.

    :param offset: offset in the partition in which leads claim the cell.
    """
    return offset + 1


def state_version(epoch: int, count: int) -> int:
    """Return the version of a record, higher than any of an earlier epoch.

    :param count: number of the record among those of this epoch.
    """
    return epoch * VERSIONS_PER_EPOCH + count


def epoch_of(version: int) -> int:
    """Return the epoch of the lead that wrote a record with this version."""
    return version // VERSIONS_PER_EPOCH


class JobStatus(enum.IntEnum):
    """The status of a job; the numbers are stored in records.

    A job is queued until a worker reports that it began one of its tasks.  It is
    running from then on, whatever happens to that task.
    """

    QUEUED = 0
    RUNNING = 1
    COMPLETED = 2
    FAILED = 3
    CANCELLED = 4

    @property
    def ended(self) -> bool:
        """Whether the status is final."""
        return self >= JobStatus.COMPLETED


@attrs.frozen(slots=True)
class AcceptedJob:
    """An accepted job, as the accepting instance wrote it.

    :param queue: the queue as it was configured then.  These values apply if the queue
        is later removed.
    :param accepted_at: seconds since 1970 by the accepting instance's clock.
    :param stored_size: what it takes at most on an instance that leads, also if the
        specification is left out; ``None`` if an earlier build accepted it.
    """

    id: str
    team: str
    queue: Queue
    accepted_at: float
    spec: JobSpec
    stored_size: JobSize | None = None

    @property
    def owner(self) -> tuple[str, str]:
        """The address of the queue and the team that own the job."""
        return self.queue.owner(self.team)

    @property
    def is_digest(self) -> bool:
        """Whether the job's specification was left out; a full job has steps."""
        return not self.spec.steps

    @property
    def size(self) -> JobSize:
        """What the job takes at most on an instance that leads."""
        return self.stored_size or job_size(self.spec)


@attrs.frozen(slots=True)
class CancelRequest:
    """A cancellation, which may be stored before the submission of its job.

    :param queue: address of the queue, and
    :param team: the team whose submission it concerns.
    """

    queue: str
    team: str

    @property
    def owner(self) -> tuple[str, str]:
        """The owner of the job."""
        return self.queue, self.team


def cancel_key(job_id: str, owner: tuple[str, str] | None = None) -> str:
    """Return the key of the cancellation of a job.

    :param owner: who cancels the job; ``None`` if the job is known, whose key names no
        owner, so that earlier builds understand it.
    """
    if owner is None:
        return CANCEL_PREFIX + job_id
    name = hashlib.sha256("\n".join(owner).encode()).hexdigest()[:16]
    return f"{CANCEL_PREFIX}{job_id}/{name}"


@attrs.frozen(slots=True)
class RunState:
    """A run that may still be executing.

    :param worker: index into the workers of the job's state.
    """

    number: int
    worker: int


@attrs.frozen(slots=True)
class TaskState:
    """A task that was assigned at least once.

    :param last_run: number of its newest run.
    :param failures: number of failed runs.
    """

    done: bool = False
    last_run: int = 0
    failures: int = 0
    checkpoint: str = ""
    runs: tuple[RunState, ...] = ()


@attrs.frozen(slots=True)
class ActiveTask:
    """A task of a large job that was assigned and is not done, or still has runs."""

    index: int
    state: TaskState


@attrs.frozen(slots=True)
class TaskRanges:
    """The tasks of a step of a large job.

    :param done_before: all tasks before this index are done.
    :param started_before: no task from this index on was ever assigned.
    :param done: a bit for each task in between, the first one lowest; set if done.
    :param active: the active tasks.
    """

    done_before: int
    started_before: int
    done: bytes
    active: tuple[ActiveTask, ...]


@attrs.frozen(slots=True)
class StepState:
    """The state of a step in one occurrence of its job.

    :param tasks: its tasks by index; ``None`` for those that were never assigned.
        A step of a large job has ``ranges`` instead.  Earlier builds take such a state
        for malformed, and leave the job and its runs alone.
    :param failed_run: number of the newest run of a gang that counts as failed.
    """

    occurrence: int
    number: int
    tasks: tuple[TaskState | None, ...] | None
    failed_run: int = 0
    ranges: TaskRanges | None = None

    def rows(self) -> Iterator[tuple[int, TaskState]]:
        """Yield the tasks that the state lists, with their indexes."""
        for index, task in enumerate(self.tasks or ()):
            if task is not None:
                yield index, task
        for row in self.ranges.active if self.ranges is not None else ():
            yield row.index, row.state


@attrs.frozen(slots=True)
class WorkerIncarnation:
    """One incarnation of a worker."""

    name: str
    incarnation: int


@attrs.frozen(slots=True)
class OccurrenceRange:
    """Consecutive occurrences of a job."""

    first: int
    count: int


@attrs.frozen(slots=True)
class Releases:
    """How far the occurrences of a periodic job were released, and which are not done.

    :param next_occurrence: the first occurrence that has not been released.
    :param open_ranges: the released occurrences that are not done.
    """

    next_occurrence: int
    open_ranges: tuple[OccurrenceRange, ...] = ()

    @classmethod
    def of(cls, next_occurrence: int, open_occurrences: Iterable[int]) -> "Releases":
        """Return the releases with these open occurrences."""
        ranges: list[OccurrenceRange] = []
        for number in sorted(open_occurrences):
            last = ranges[-1] if ranges else None
            if last is not None and number == last.first + last.count:
                ranges[-1] = OccurrenceRange(last.first, last.count + 1)
            else:
                ranges.append(OccurrenceRange(number, 1))
        return cls(next_occurrence, tuple(ranges))

    def open_occurrences(self) -> set[int]:
        """Return the released occurrences that are not done."""
        return {
            number
            for row in self.open_ranges
            for number in range(row.first, row.first + row.count)
        }


@attrs.frozen(slots=True)
class JobState:
    """The progress of a job, as the lead stores it.

    An unfinished periodic job has ``releases`` and no ``first_occurrence``.  Earlier
    builds take such a state for malformed, and leave the job and its runs alone until
    another instance leads.  They would take steps without a row for new ones.

    :param ended_at: seconds since 1970 when the job ended; 0 if it has not.
    :param workers: the worker incarnations that its runs refer to.
    :param first_occurrence: in states of earlier builds, all occurrences before this
        one are done.
    :param version: combines the lead's epoch and a count.  Of two states of a job, the
        one with the higher version is the newer, whichever partitions they are on.
    :param releases: the occurrences of an unfinished periodic job; else ``None``.
    """

    status: int
    ended_at: float = 0.0
    workers: tuple[WorkerIncarnation, ...] = ()
    steps: tuple[StepState, ...] = ()
    first_occurrence: int | None = 0
    version: int = 0
    releases: Releases | None = None


@attrs.frozen(slots=True)
class PeerRecord:
    """The registration of an instance, by which the others find it.

    :param incarnation: unique for each start of the process.
    :param address: where it listens for its peers.
    :param strength: its processor capacity, in standard cores.
    :param catching_up: whether it has not yet read the cell's records to their end;
        these records may saturate its network link.
    :param memory_mb: its memory; 0 if that is not known.
    """

    name: str
    incarnation: str
    address: str
    zone: str
    strength: float = 1.0
    catching_up: bool = False
    memory_mb: float = 0.0


@attrs.frozen(slots=True)
class LeadRecord:
    """The instance that leads the cell, for operators and for its peers.

    It is a claim or a heartbeat, which a lead writes if it has nothing else to write.

    :param version: like that of a job's state.
    """

    name: str
    incarnation: str
    epoch: int
    version: int = 0


@attrs.frozen(slots=True)
class MeshKeys:
    """The key pair that the instances of the cell share, in Z85."""

    public: str
    secret: str


@attrs.frozen(slots=True)
class StateSummary:
    """The part of a job's stored state that is needed to answer callers.

    The lead writes a job's state with each start and each end of a run, 500 times a
    second in a cell of 176 workers, and every instance receives all of them.  Full
    decoding took half a core on each of 33 instances, and the weakest instances have
    only half a core, so answers to callers were delayed.  Only a new lead needs the
    tasks, which :meth:`decode` returns.

    :param has_no_steps: whether the state lists no steps; if the job has ended, none of
        its runs remains to be stopped.
    :param raw: the encoded state, which may be a digest.
    """

    status: JobStatus
    ended_at: float
    has_no_steps: bool
    version: int
    raw: bytes

    def decode(self) -> JobState:
        """Decode the full state.

        :raises RecordMalformedError: if the record is malformed or a digest.
        """
        state = decode_record(JobState, self.raw)
        tasks = [task for step in state.steps for _, task in step.rows()]
        workers = {run.worker for task in tasks for run in task.runs}
        if not workers <= set(range(len(state.workers))):
            raise RecordMalformedError("JobState: a run on a worker that is not listed")
        return state


def decode_state_summary(raw: bytes) -> StateSummary:
    """Decode the part of a job's state that is needed to answer callers.

    :raises RecordMalformedError: if the bytes are not a state.
    """
    try:
        row = _RAW_ROW_DECODER.decode(raw)
        # A row written by an older version lacks the newest fields.
        row += [msgspec.Raw(default) for default in _STATE_DEFAULTS[len(row) :]]
        return StateSummary(
            JobStatus(_INT_DECODER.decode(row[0])),
            _FLOAT_DECODER.decode(row[1]),
            not _RAW_ROW_DECODER.decode(row[3]),
            _INT_DECODER.decode(row[5]),
            raw,
        )
    except (msgspec.MsgspecError, IndexError, ValueError, RecursionError) as exc:
        raise RecordMalformedError(f"JobState: {exc}") from exc


def digest_state(state: StateSummary) -> bytes:
    """Encode a state without its tasks; the digest cannot be decoded in full."""
    steps = [] if state.has_no_steps else [None]
    return msgspec.msgpack.encode(
        [int(state.status), state.ended_at, None, steps, 0, state.version]
    )


def digest_job(raw: bytes) -> bytes:
    """Return an encoded accepted job without its specification.

    :raises RecordMalformedError: if the bytes are not an accepted job.
    """
    try:
        row = _RAW_ROW_DECODER.decode(raw)
        row[4] = _EMPTY_SPEC
        return msgspec.msgpack.encode(row)
    except (msgspec.MsgspecError, IndexError) as exc:
        raise RecordMalformedError(f"AcceptedJob: {exc}") from exc


def digest_of(job: AcceptedJob) -> AcceptedJob:
    """Return an accepted job without its specification."""
    return attrs.evolve(job, spec=_NO_SPEC)


def digest_value(value: Any) -> bytes:
    """Return the encoded digest of a record's decoded value."""
    if isinstance(value, StateSummary):
        return digest_state(value)
    if isinstance(value, AcceptedJob):
        return encode_record(digest_of(value))
    # ``True`` stands for the value of a key of which only the existence matters.
    return b"\x01" if value is True else encode_record(value)


_NO_SPEC = JobSpec("", ())
_EMPTY_SPEC = msgspec.Raw(msgspec.msgpack.encode(["", []]))
_RAW_ROW_DECODER = msgspec.msgpack.Decoder(list[msgspec.Raw])
_INT_DECODER = msgspec.msgpack.Decoder(int)
_FLOAT_DECODER = msgspec.msgpack.Decoder(float)
#: The encoded default of each field of a state, by index.  The status has no default.
_STATE_DEFAULTS = tuple(
    msgspec.msgpack.encode(default) for default in (None, 0.0, (), (), 0, 0)
)


def encode_record(obj: Any) -> bytes:
    """Encode an attrs object as a row."""
    return msgspec.msgpack.encode(_row_encoder(type(obj))(obj))


def decode_record(cls: type[T], raw: bytes) -> T:
    """Decode a row.

    :raises RecordMalformedError: if the bytes are not a row of that class.
    """
    try:
        return _row_decoder(cls)(msgspec.msgpack.decode(raw))
    except (
        msgspec.MsgspecError,
        TypeError,
        ValueError,
        IndexError,
        RecursionError,
    ) as exc:
        raise RecordMalformedError(f"{cls.__name__}: {exc}") from exc


# The field types of a class are inspected once, when its first record is encoded or
# decoded.  Inspecting them for each value took nine tenths of the time.

Converter = Callable[[Any], Any]


def _field_types(cls: type) -> dict[str, Any]:
    hints = get_type_hints(cls)
    return {f.name: hints[f.name] for f in attrs.fields(cls)}


def _optional_type(cls: Any) -> Any:
    """Return the type ``T`` of ``T | None``; ``None`` for any other type."""
    if get_origin(cls) not in (Union, types.UnionType):
        return None
    return next(k for k in get_args(cls) if k is not type(None))


@cache
def _row_encoder(cls: Any) -> Converter:
    """Return a function that converts values of a type to rows."""
    if attrs.has(cls):
        fields = [(name, _row_encoder(k)) for name, k in _field_types(cls).items()]
        return lambda obj: [convert(getattr(obj, name)) for name, convert in fields]
    origin = get_origin(cls)
    if origin is tuple:
        item = _row_encoder(get_args(cls)[0])
        return lambda values: [item(value) for value in values]
    if origin is frozenset:
        return sorted
    inner = _optional_type(cls)
    if inner is not None:
        convert_value = _row_encoder(inner)
        return lambda value: None if value is None else convert_value(value)
    return lambda value: value


@cache
def _row_decoder(cls: Any) -> Converter:
    """Return a function that converts rows to values of a type."""
    if attrs.has(cls):
        decoders = [_row_decoder(k) for k in _field_types(cls).values()]
        # A row written by a newer version may have more fields, which are ignored.
        return lambda row: cls(
            *(convert(value) for convert, value in zip(decoders, row, strict=False))
        )
    origin = get_origin(cls)
    if origin is tuple:
        item = _row_decoder(get_args(cls)[0])
        return lambda row: tuple(item(value) for value in row)
    inner = _optional_type(cls)
    if inner is not None:
        convert_value = _row_decoder(inner)
        return lambda value: None if value is None else convert_value(value)
    if cls is float:
        return float
    return lambda value: _check_type(cls, value)


def _check_type(cls: type, value: Any) -> Any:
    if not isinstance(value, cls):
        raise TypeError(f"a {type(value).__name__} is not {cls.__name__}")
    return value
