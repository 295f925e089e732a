"""What the cell's jobs may take, and whether another job fits."""

import math
from collections.abc import Iterable

from firhook.cell import PeerRecord
from firhook.cell.job_limits import JobLimits, JobSize

#: Memory of an instance without jobs, in megabytes, and the part of its memory that is
#: counted as available to it at least.
_IDLE_MB, _LEAST_PART = 75.0, 0.25
#: Parts of the rest for accepted jobs, cancellations of jobs that have not appeared,
#: active tasks and further occurrences.  What is left serves messages, reads of the
#: store and submissions that others accept at the same moment.
_JOBS_PART, _CANCELS_PART, _ACTIVE_PART, _REPEATS_PART = 0.6, 0.05, 0.15, 0.05
_MB = 1_000_000
#: Steps that a lead with one standard core adds, and looks at for the first time, in
#: a third of the time for which it may act without a proof.
_STEPS_PER_CORE = 12_500
#: Steps that are accepted however weak the instances are.
_LEAST_STEPS = 2_500


def smallest_memory_mb(own_mb: float, peers: Iterable[PeerRecord]) -> float:
    """Return the memory of the smallest instance, any of which may have to lead.

    :param own_mb: that of this instance; 0 if it is not limited.
    :return: infinity if no limit is known.
    """
    known = [peer.memory_mb for peer in peers if peer.memory_mb > 0]
    return min([*known, own_mb] if own_mb > 0 else known, default=math.inf)


def job_limits(memory_mb: float, strength: float, record_bytes: int) -> JobLimits:
    """Return what the jobs of a cell may take.

    :param memory_mb: memory of the smallest instance; infinite if it is not limited.
    :param strength: processor capacity of the strongest instance, in standard cores.
    :param record_bytes: largest record that the store accepts.
    """
    free = max(memory_mb - _IDLE_MB, memory_mb * _LEAST_PART) * _MB
    steps = max(_STEPS_PER_CORE * min(strength, 1.0), _LEAST_STEPS)
    return JobLimits(
        record_bytes,
        JobSize(free * _JOBS_PART, steps),
        free * _CANCELS_PART,
        free * _ACTIVE_PART,
        free * _REPEATS_PART,
    )


def has_room(
    size: JobSize, known: JobSize, unseen: JobSize, instances: int, limit: JobSize
) -> bool:
    """Return whether an instance may accept a job beside those accepted before.

    The other instances may accept jobs at the same moment, so that what this one
    accepted and has not read yet stays within its share of what is left.

    :param known: what the jobs take that this instance has read.
    :param unseen: what those take that it accepted and has not read.
    :param instances: number of instances.
    """
    if not (known + unseen + size).fits_in(limit):
        return False
    is_first = unseen == JobSize()
    return is_first or (unseen + size).fits_in(limit - known, 1 / max(instances, 1))
