"""The cell: its configuration, jobs, workers and state, without I/O."""

from firhook.cell._book import Book, Job, Run, Step, Task
from firhook.cell._config import (
    AdvicePolicy,
    CellConfig,
    Pool,
    Queue,
    Team,
    key_digest,
)
from firhook.cell._records import (
    AcceptedJob,
    JobState,
    JobStatus,
    LeadRecord,
    MeshKeys,
    PeerRecord,
    RunState,
    StepState,
    TaskState,
)
from firhook.cell._replica import JobView, Replica
from firhook.cell._resources import NOTHING, Resources
from firhook.cell._spec import JobSpec, StepSpec
from firhook.cell._workers import (
    Advice,
    End,
    EndedRow,
    Look,
    OrderAnswer,
    OrderOutcome,
    RunningRow,
    StartOrder,
    WorkerEntry,
)

__all__ = [
    "NOTHING",
    "AcceptedJob",
    "Advice",
    "AdvicePolicy",
    "Book",
    "CellConfig",
    "End",
    "EndedRow",
    "Job",
    "JobSpec",
    "JobState",
    "JobStatus",
    "JobView",
    "LeadRecord",
    "Look",
    "MeshKeys",
    "OrderAnswer",
    "OrderOutcome",
    "PeerRecord",
    "Pool",
    "Queue",
    "Replica",
    "Resources",
    "Run",
    "RunState",
    "RunningRow",
    "StartOrder",
    "Step",
    "StepSpec",
    "StepState",
    "Task",
    "TaskState",
    "Team",
    "WorkerEntry",
    "key_digest",
]
