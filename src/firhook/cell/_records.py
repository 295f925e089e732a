"""The records of a cell's topic, and how they are encoded.

Each record is the whole new value of its key, so that a reader needs only the
newest record of each key, in any order.  Callers' instances write what they
accepted and cancelled; only the lead writes the state of jobs.

Values are encoded as rows, without the names of fields: every instance reads
every record, and the names would be most of the bytes.  A new field goes last
and has a default, so that instances of two versions read each other's records.
"""

import enum
import types
from collections.abc import Callable
from functools import cache
from typing import Any, TypeVar, Union, get_args, get_origin, get_type_hints

import attrs
import msgspec

from firhook.cell._config import Queue
from firhook.cell._spec import JobSpec
from firhook.errors import RecordMalformedError

T = TypeVar("T")

JOB_PREFIX = "job/"
CANCEL_PREFIX = "cancel/"
STATE_PREFIX = "state/"
PEER_PREFIX = "peer/"
LEAD_KEY = "lead"
MESH_KEY = "mesh"
#: The keys between these two, in the order of their bytes, are of instances.
INSTANCE_KEYS_AFTER, INSTANCE_KEYS_BEFORE = LEAD_KEY, STATE_PREFIX


#: States that a lead may write; versions begin anew with each epoch.
VERSIONS_PER_EPOCH = 10**9


def state_version(epoch: int, count: int) -> int:
    """Return the version of a lead's state, above that of every lead before."""
    return epoch * VERSIONS_PER_EPOCH + count


def epoch_of(version: int) -> int:
    """Return the epoch of the lead that wrote a record with this version."""
    return version // VERSIONS_PER_EPOCH


class JobStatus(enum.IntEnum):
    """Where a job stands; the numbers are on the log.

    A job is queued until a worker has said that it began one of its tasks, and
    running from then on, whatever becomes of that task.
    """

    QUEUED = 0
    RUNNING = 1
    COMPLETED = 2
    FAILED = 3
    CANCELLED = 4

    @property
    def ended(self) -> bool:
        """Whether it never changes again."""
        return self >= JobStatus.COMPLETED


@attrs.frozen(slots=True)
class AcceptedJob:
    """A job that was accepted, as the accepting instance wrote it.

    :param queue: the queue as it was configured then; a queue that is taken
        away later leaves its jobs with these values.
    :param accepted_at: seconds since 1970 by the accepting instance's clock.
    """

    id: str
    team: str
    queue: Queue
    accepted_at: float
    spec: JobSpec

    @property
    def owner(self) -> tuple[str, str]:
        """Whose job it is, by queue and team."""
        return self.queue.owner(self.team)

    @property
    def is_digest(self) -> bool:
        """Whether it lacks what the job runs; a job has a step at least."""
        return not self.spec.steps


@attrs.frozen(slots=True)
class RunState:
    """A run that may be going on.

    :param worker: index into the workers of the job's state.
    """

    number: int
    worker: int


@attrs.frozen(slots=True)
class TaskState:
    """A task that was begun."""

    done: bool = False
    last_run: int = 0
    failures: int = 0
    checkpoint: str = ""
    runs: tuple[RunState, ...] = ()


@attrs.frozen(slots=True)
class StepState:
    """The tasks of a step of one occurrence, by index; ``None``: not begun."""

    occurrence: int
    number: int
    tasks: tuple[TaskState | None, ...]


@attrs.frozen(slots=True)
class WorkerIncarnation:
    """One life of a worker."""

    name: str
    incarnation: int


@attrs.frozen(slots=True)
class JobState:
    """How far a job is.

    :param ended_at: seconds since 1970 when it ended; 0 if it has not.
    :param first_occurrence: all occurrences before this one are done.
    :param version: of two states of one job the one with the higher version is
        the newer, whichever partition they are on; it holds the lead's epoch and
        a count.
    """

    status: int
    ended_at: float = 0.0
    workers: tuple[WorkerIncarnation, ...] = ()
    steps: tuple[StepState, ...] = ()
    first_occurrence: int = 0
    version: int = 0


@attrs.frozen(slots=True)
class PeerRecord:
    """An instance, for the others to find.

    :param incarnation: unique for each run of the process.
    :param address: where it listens for its peers.
    :param strength: its processors, in cores.
    :param catching_up: whether it has not read the cell's records to their end yet; its
        link may be full of them.
    """

    name: str
    incarnation: str
    address: str
    zone: str
    strength: float = 1.0
    catching_up: bool = False


@attrs.frozen(slots=True)
class LeadRecord:
    """The instance that leads the cell, for operators and for its peers.

    :param version: like that of a job's state; a lead that has nothing else to
        write writes this record again, which tells that it lives.
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
    """The state of a job as it lies on the log, read as far as callers need it.

    Load: the lead writes a job's state anew with each start and each end, 500
    times a second in a cell of 176 workers, and every instance gets all of them.
    Harm: decoded whole they took half a core on each of 33 instances, where the
    weakest have half a core; an answer to a caller waited behind them.  Only a
    new lead needs the tasks.

    :param has_no_steps: whether nothing of the job is left to stop.
    :param raw: the state as it was read, which may be a digest.
    """

    status: JobStatus
    ended_at: float
    has_no_steps: bool
    version: int
    raw: bytes

    def decode(self) -> JobState:
        """Return all of it.

        :raises RecordMalformedError: if it cannot be read.
        """
        return decode_record(JobState, self.raw)


def decode_state_summary(raw: bytes) -> StateSummary:
    """Read of a job's state what callers are told.

    :raises RecordMalformedError: if it is no state.
    """
    try:
        row = _RAW_ROW.decode(raw)
        # Rows may end early, where what follows has its default.
        row += [msgspec.Raw(default) for default in _STATE_DEFAULTS[len(row) :]]
        return StateSummary(
            JobStatus(_INT.decode(row[0])),
            _FLOAT.decode(row[1]),
            not _RAW_ROW.decode(row[3]),
            _INT.decode(row[5]),
            raw,
        )
    except (msgspec.MsgspecError, IndexError, ValueError) as exc:
        raise RecordMalformedError(f"JobState: {exc}") from exc


def digest_state(state: StateSummary) -> bytes:
    """Return a state without the tasks; its whole cannot be read any more."""
    steps = [] if state.has_no_steps else [None]
    return msgspec.msgpack.encode(
        [int(state.status), state.ended_at, None, steps, 0, state.version]
    )


def digest_job(raw: bytes) -> bytes:
    """Return an accepted job without what it runs.

    :raises RecordMalformedError: if it is no accepted job.
    """
    try:
        row = _RAW_ROW.decode(raw)
        row[4] = _NO_SPEC
        return msgspec.msgpack.encode(row)
    except (msgspec.MsgspecError, IndexError) as exc:
        raise RecordMalformedError(f"AcceptedJob: {exc}") from exc


def digest_value(value: Any) -> bytes:
    """Return what is told of a record's value that was read."""
    if isinstance(value, StateSummary):
        return digest_state(value)
    if isinstance(value, AcceptedJob):
        return encode_record(attrs.evolve(value, spec=JobSpec("", ())))
    # Of most keys it matters only that they are there.
    return b"\x01" if value is True else encode_record(value)


_NO_SPEC = msgspec.Raw(msgspec.msgpack.encode(["", []]))
_RAW_ROW = msgspec.msgpack.Decoder(list[msgspec.Raw])
_INT = msgspec.msgpack.Decoder(int)
_FLOAT = msgspec.msgpack.Decoder(float)
#: The fields of a state that a row may leave out, encoded; the status has none.
_STATE_DEFAULTS = tuple(
    msgspec.msgpack.encode(default) for default in (None, 0.0, (), (), 0, 0)
)


def encode_record(obj: Any) -> bytes:
    """Encode an attrs object as a row."""
    return msgspec.msgpack.encode(_row_maker(type(obj))(obj))


def decode_record(cls: type[T], raw: bytes) -> T:
    """Decode a row.

    :raises RecordMalformedError: if it is no row of that class.
    """
    try:
        return _object_maker(cls)(msgspec.msgpack.decode(raw))
    except (msgspec.MsgspecError, TypeError, ValueError, IndexError) as exc:
        raise RecordMalformedError(f"{cls.__name__}: {exc}") from exc


# The types of a class's fields are looked at once, when its first record is
# encoded or decoded.  Looking at them for each value took nine tenths of the time.

Maker = Callable[[Any], Any]


def _field_types(cls: type) -> dict[str, Any]:
    hints = get_type_hints(cls)
    return {f.name: hints[f.name] for f in attrs.fields(cls)}


def _optional_kind(kind: Any) -> Any:
    """Return what a value is if it is not ``None``; ``None`` if it must be."""
    if get_origin(kind) not in (Union, types.UnionType):
        return None
    return next(k for k in get_args(kind) if k is not type(None))


@cache
def _row_maker(kind: Any) -> Maker:
    """Return what makes rows of values of a type."""
    if attrs.has(kind):
        fields = [(name, _row_maker(k)) for name, k in _field_types(kind).items()]
        return lambda obj: [make(getattr(obj, name)) for name, make in fields]
    origin = get_origin(kind)
    if origin is tuple:
        item = _row_maker(get_args(kind)[0])
        return lambda values: [item(value) for value in values]
    if origin is frozenset:
        return sorted
    inner = _optional_kind(kind)
    if inner is not None:
        some = _row_maker(inner)
        return lambda value: None if value is None else some(value)
    return lambda value: value


@cache
def _object_maker(kind: Any) -> Maker:
    """Return what makes values of a type of rows."""
    if attrs.has(kind):
        makers = [_object_maker(k) for k in _field_types(kind).values()]
        # Rows of a newer version may be longer; what they add is unknown here.
        return lambda row: kind(
            *(make(value) for make, value in zip(makers, row, strict=False))
        )
    origin = get_origin(kind)
    if origin is tuple:
        item = _object_maker(get_args(kind)[0])
        return lambda row: tuple(item(value) for value in row)
    inner = _optional_kind(kind)
    if inner is not None:
        some = _object_maker(inner)
        return lambda value: None if value is None else some(value)
    if kind is float:
        return float
    return lambda value: _checked(kind, value)


def _checked(kind: type, value: Any) -> Any:
    if not isinstance(value, kind):
        raise TypeError(f"{value!r} is not {kind.__name__}")
    return value
