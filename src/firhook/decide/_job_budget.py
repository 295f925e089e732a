"""How much memory the cell's jobs may take, and whether another job fits."""

import math
from collections.abc import Iterable

from firhook.cell import PeerRecord
from firhook.cell.job_limits import JobLimits

#: Memory of an instance without jobs, in megabytes, and the part of its memory that is
#: counted as available to it at least.
_IDLE_MB, _LEAST_PART = 75.0, 0.25
#: Parts of the rest for accepted jobs, cancellations of jobs that have not appeared,
#: active tasks and further occurrences.  What is left serves messages, reads of the
#: store and submissions that others accept at the same moment.
_JOBS_PART, _CANCELS_PART, _ACTIVE_PART, _REPEATS_PART = 0.6, 0.05, 0.15, 0.05
_MB = 1_000_000


def smallest_memory_mb(own_mb: float, peers: Iterable[PeerRecord]) -> float:
    """Return the memory of the smallest instance, any of which may have to lead.

    :param own_mb: that of this instance; 0 if it is not limited.
    :return: infinity if no limit is known.
    """
    known = [peer.memory_mb for peer in peers if peer.memory_mb > 0]
    return min([*known, own_mb] if own_mb > 0 else known, default=math.inf)


def job_limits(memory_mb: float, record_bytes: int) -> JobLimits:
    """Return what the jobs of a cell may take.

    :param memory_mb: memory of the smallest instance; infinite if it is not limited.
    :param record_bytes: largest record that the store accepts.
    """
    free = max(memory_mb - _IDLE_MB, memory_mb * _LEAST_PART) * _MB
    return JobLimits(
        record_bytes,
        free * _JOBS_PART,
        free * _CANCELS_PART,
        free * _ACTIVE_PART,
        free * _REPEATS_PART,
    )


def has_room(
    size: int, known: int, unseen: int, instances: int, limits: JobLimits
) -> bool:
    """Return whether an instance may accept a job beside those accepted before.

    The other instances may accept jobs at the same moment, so that what this one
    accepted and has not read yet stays within its share of what is left.

    :param size: memory that the job takes.
    :param known: memory of the jobs that this instance has read.
    :param unseen: memory of those that it accepted and has not read.
    :param instances: number of instances.
    """
    left = limits.jobs_bytes - known
    if known + unseen + size > limits.jobs_bytes:
        return False
    return not unseen or unseen + size <= left / max(instances, 1)
