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
from functools import lru_cache
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


class JobStatus(enum.IntEnum):
    """Where a job stands; the numbers are on the log."""

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
class WorkerLife:
    """One life of a worker."""

    name: str
    life: int


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
    workers: tuple[WorkerLife, ...] = ()
    steps: tuple[StepState, ...] = ()
    first_occurrence: int = 0
    version: int = 0


@attrs.frozen(slots=True)
class PeerRecord:
    """An instance, for the others to find.

    :param incarnation: unique for each run of the process.
    :param address: where it listens for its peers.
    :param strength: its processors, in cores.
    """

    name: str
    incarnation: str
    address: str
    zone: str
    strength: float = 1.0


@attrs.frozen(slots=True)
class LeadRecord:
    """The instance that leads the cell, for operators and for its peers."""

    name: str
    incarnation: str
    epoch: int


@attrs.frozen(slots=True)
class MeshKeys:
    """The key pair that the instances of the cell share, in Z85."""

    public: str
    secret: str


def encode_record(obj: Any) -> bytes:
    """Encode an attrs object as a row."""
    return msgspec.msgpack.encode(_row(obj))


def decode_record(cls: type[T], raw: bytes) -> T:
    """Decode a row.

    :raises RecordMalformedError: if it is no row of that class.
    """
    try:
        return _object(cls, msgspec.msgpack.decode(raw))
    except (msgspec.MsgspecError, TypeError, ValueError, IndexError) as exc:
        raise RecordMalformedError(f"{cls.__name__}: {exc}") from exc


def _row(obj: Any) -> Any:
    if attrs.has(type(obj)):
        return [_row(getattr(obj, f.name)) for f in attrs.fields(type(obj))]
    if isinstance(obj, tuple):
        return [_row(item) for item in obj]
    return sorted(obj) if isinstance(obj, frozenset) else obj


@lru_cache(maxsize=64)
def _field_types(cls: type) -> tuple[Any, ...]:
    hints = get_type_hints(cls)
    return tuple(hints[f.name] for f in attrs.fields(cls))


def _object(kind: Any, value: Any) -> Any:
    if attrs.has(kind):
        kinds = _field_types(kind)
        # Rows of a newer version may be longer; what they add is unknown here.
        return kind(*(_object(k, v) for k, v in zip(kinds, value, strict=False)))
    origin = get_origin(kind)
    if origin is tuple:
        item = get_args(kind)[0]
        return tuple(_object(item, v) for v in value)
    if origin in (Union, types.UnionType):
        item = next(k for k in get_args(kind) if k is not type(None))
        return None if value is None else _object(item, value)
    if kind is float:
        return float(value)
    if not isinstance(value, kind):
        raise TypeError(f"{value!r} is not {kind.__name__}")
    return value
