"""What a zone's lead orders of workers, and what they report."""

import hashlib
from collections.abc import Iterable

import attrs


def running_digest(refs: Iterable[tuple[str, int, int]]) -> str:
    """Return a digest of attempts, by which a lead and a worker compare notes.

    It is BLAKE2b with 8 bytes, in hexadecimal, of the lines
    ``job index attempt``, sorted and each ended by a newline.
    """
    lines = sorted(f"{job} {index} {attempt}\n" for job, index, attempt in refs)
    return hashlib.blake2b("".join(lines).encode(), digest_size=8).hexdigest()


@attrs.frozen(slots=True)
class StartOrder:
    """Starts an attempt of a task."""

    job_id: str
    index: int
    attempt: int
    cpus: float
    memory_mb: int
    accelerators: int
    run_s: float
    exclusive: bool
    progress: float = 0.0
    command: str = ""


@attrs.frozen(slots=True)
class StopOrder:
    """Checkpoints and stops an attempt."""

    job_id: str
    index: int
    attempt: int
    reason: str = ""


@attrs.frozen(slots=True)
class Order:
    """Everything a zone lead wants of a worker, in one idempotent message.

    :param epoch: the lead's epoch; a worker refuses older ones.
    :param not_after: a time on the *worker's* clock, worked out from the
        stamp of its last report, after which it must refuse this order.  It
        keeps an order that left a paused process late from doing harm.
    :param lease_s: how long tasks go on without another order.
    :param renew: attempts to go on, as (job, index, attempt).
    :param forget: ended attempts whose end is on the log.
    :param boot: the run of the worker that the order is for.  A restarted
        worker has forgotten the highest epoch and its clock may start anew,
        so that it could not tell an old order by either; it refuses one that
        names another run.
    :param renew_all: instead of ``renew``, the digest of all attempts that are
        to be running.  A worker that runs just these renews them and answers
        with ``same``; any other renews nothing and reports in full.
    """

    epoch: int
    not_after: float
    lease_s: float
    start: tuple[StartOrder, ...] = ()
    stop: tuple[StopOrder, ...] = ()
    renew: tuple[tuple[str, int, int], ...] = ()
    forget: tuple[tuple[str, int, int], ...] = ()
    boot: str = ""
    renew_all: str = ""


@attrs.frozen(slots=True)
class TaskReport:
    """An attempt at a worker.

    :param state: ``running``, ``done``, ``failed``, ``stopped`` or ``refused``.
    :param progress: checkpointed share of the work, 0 to 1.
    """

    job_id: str
    index: int
    attempt: int
    state: str
    reason: str = ""
    progress: float = 0.0


@attrs.frozen(slots=True)
class Report:
    """A worker's answer: all attempts it knows and its own clock.

    :param stamp: the worker's monotonic clock when it answered, in seconds.
    :param epoch: the highest epoch it has seen.
    :param same: whether it runs just what ``renew_all`` named, and ``tasks``
        is left out.
    :param brief: whether it understands ``renew_all``.
    :param boot: changes when the worker restarts and so has lost its tasks.
    """

    worker: str
    stamp: float
    epoch: int
    boot: str
    tasks: tuple[TaskReport, ...]
    used_cpus: float = 0.0
    used_memory_mb: int = 0
    same: bool = False
    brief: bool = False
