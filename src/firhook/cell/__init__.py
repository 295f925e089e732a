"""The configuration, jobs, workers and stored state of a cell, without I/O."""

from firhook.cell._config import (
    AdvicePolicy,
    CellConfig,
    Pool,
    Queue,
    Team,
    key_digest,
)
from firhook.cell._drained_zones import DrainedZones, ZoneDrain
from firhook.cell._job import Job, Run, Step, Task
from firhook.cell._job_table import JobTable
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
from firhook.cell._resources import NO_RESOURCES, Resources
from firhook.cell._spec import JobSpec, StepSpec
from firhook.cell._workers import (
    MAX_LISTED_ENDS,
    Advice,
    EndCursor,
    EndedRow,
    OrderAnswer,
    OrderOutcome,
    PollReply,
    RunEnd,
    RunningRow,
    StartOrder,
    WorkerEntry,
)

__all__ = [
    "MAX_LISTED_ENDS",
    "NO_RESOURCES",
    "AcceptedJob",
    "Advice",
    "AdvicePolicy",
    "CellConfig",
    "DrainedZones",
    "EndCursor",
    "EndedRow",
    "Job",
    "JobSpec",
    "JobState",
    "JobStatus",
    "JobTable",
    "JobView",
    "LeadRecord",
    "MeshKeys",
    "OrderAnswer",
    "OrderOutcome",
    "PeerRecord",
    "PollReply",
    "Pool",
    "Queue",
    "Replica",
    "Resources",
    "Run",
    "RunEnd",
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
    "ZoneDrain",
    "key_digest",
]
