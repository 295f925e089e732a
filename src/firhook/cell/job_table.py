"""The lead's in-memory state of the cell's jobs, tasks and runs."""

from firhook.cell._job import PROOF_S, Job, Run, Step, Task, critical_paths_s
from firhook.cell._job_table import BEGUN_STORE_DELAY_S, JobTable
from firhook.cell._start_copies import MAX_ORDER_DELAY_S, StartCopies

__all__ = [
    "BEGUN_STORE_DELAY_S",
    "MAX_ORDER_DELAY_S",
    "PROOF_S",
    "Job",
    "JobTable",
    "Run",
    "StartCopies",
    "Step",
    "Task",
    "critical_paths_s",
]
