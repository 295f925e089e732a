"""What a job may take in the cell's records and in the memory of its instances."""

from firhook.cell._job_limits import (
    CANCEL_MEMORY_BYTES,
    MAX_TASK_RUNS,
    JobLimits,
    JobSize,
    active_memory_bytes,
    find_excess,
    job_size,
)

__all__ = [
    "CANCEL_MEMORY_BYTES",
    "MAX_TASK_RUNS",
    "JobLimits",
    "JobSize",
    "active_memory_bytes",
    "find_excess",
    "job_size",
]
