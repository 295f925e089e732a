"""Orders of a zone's lead to its workers, and the workers' reports."""

import hashlib
from collections.abc import Iterable

import attrs


def running_digest(refs: Iterable[tuple[str, int, int]]) -> str:
    """Return a digest of running attempts, for comparison by lead and worker.

    The digest is BLAKE2b with 8 bytes, in hexadecimal, over the sorted lines
    ``job index attempt``, each terminated by a newline.
    """
    lines = sorted(f"{job} {index} {attempt}\n" for job, index, attempt in refs)
    return hashlib.blake2b("".join(lines).encode(), digest_size=8).hexdigest()


@attrs.frozen(slots=True)
class StartOrder:
    """Start an attempt of a task.

    :param progress: share of the work that earlier attempts checkpointed, 0 to 1.
    """

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
    """Checkpoint and stop an attempt."""

    job_id: str
    index: int
    attempt: int
    reason: str = ""


@attrs.frozen(slots=True)
class Order:
    """All instructions of a zone's lead to a worker, in one idempotent message.

    :param epoch: the lead's epoch; workers refuse older epochs.
    :param not_after: time on the *worker's* clock, computed from the stamp of its
        last report, after which it must refuse this order.  It makes an order
        harmless that a paused process sends late.
    :param lease_s: how long tasks keep running without another order, in seconds.
    :param start: attempts to start.
    :param stop: attempts to stop.
    :param renew: attempts to keep running, as (job, index, attempt).
    :param forget: ended attempts whose end is recorded on the log.
    :param boot: incarnation of the worker that the order is for.  A restarted
        worker has lost the highest epoch and its clock may restart, so it cannot
        recognize an old order by either; it refuses orders for other incarnations.
    :param renew_all: replaces ``renew`` by the digest of all attempts that should
        be running.  A worker that runs exactly these renews them and answers with
        ``same``; any other worker renews nothing and sends a full report.
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
    """State of an attempt at a worker.

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
    """Answer of a worker to an order: its known attempts and its clock.

    :param stamp: the worker's monotonic clock when it answered, in seconds.
    :param epoch: the highest epoch that it has seen.
    :param boot: incarnation of the worker; a restarted worker has lost its tasks.
    :param tasks: all attempts that the worker knows.
    :param same: whether it runs exactly the attempts of ``renew_all``, so that
        ``tasks`` is omitted.
    :param brief: whether it supports ``renew_all``.
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
