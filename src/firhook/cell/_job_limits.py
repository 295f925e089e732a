"""What a job may take in the cell's records and in the memory of its instances."""

import math

import attrs

from firhook.cell._spec import JobSpec, StepSpec

#: The most runs that a task has at the same time.
MAX_TASK_RUNS = 4
#: A state lists the tasks of its steps one by one up to this number of tasks.
MAX_LISTED_TASKS = 128
#: Tasks that the open occurrences of a periodic job have at most, unless one
#: occurrence has more.
_MAX_OPEN_TASKS = 10_000

#: Bytes of a state apart from its steps, its open occurrences and its workers.
_HEADER_BYTES = 2048
#: Bytes of a state for an open occurrence, if all others in turn are done.
_OCCURRENCE_BYTES = 9
#: Bytes of a state for a step, apart from its tasks.
_STEP_ROW_BYTES = 32
#: Bytes of a state for an active task, and for its step if that has only this task.
_TASK_ROW_BYTES = 96
#: Limits of the longest checkpoint that is kept of a task.
_MIN_CHECKPOINT_BYTES, _MAX_CHECKPOINT_BYTES = 256, 1024

#: Memory for a job, for each of its steps and for each of its tasks, on an instance
#: that leads, and holds each state on as many partitions as there are.
_JOB_MEMORY_BYTES, _STEP_MEMORY_BYTES, _TASK_MEMORY_BYTES = 3072, 2560, 1
#: Memory for an active task with one run, in addition to its row in the state.
_ACTIVE_MEMORY_BYTES = 1024
#: Memory for a job that has ended, and for the cancellation of an unknown job.
_ENDED_MEMORY_BYTES, CANCEL_MEMORY_BYTES = 1600, 1024


@attrs.frozen(slots=True)
class JobSize:
    """What one or more jobs take on an instance that leads.

    :param memory_bytes: memory, apart from active tasks and further occurrences.
    :param steps: steps, which a takeover adds and a round looks at in one piece.
    """

    memory_bytes: float = 0
    steps: float = 0

    def __add__(self, other: "JobSize") -> "JobSize":
        return JobSize(self.memory_bytes + other.memory_bytes, self.steps + other.steps)

    def __sub__(self, other: "JobSize") -> "JobSize":
        return JobSize(self.memory_bytes - other.memory_bytes, self.steps - other.steps)

    def fits_in(self, limit: "JobSize", share: float = 1.0) -> bool:
        """Return whether this is within a share of a limit."""
        return (
            self.memory_bytes <= limit.memory_bytes * share
            and self.steps <= limit.steps * share
        )


#: What a job takes that has ended.
ENDED_SIZE = JobSize(_ENDED_MEMORY_BYTES, 0)


@attrs.frozen(slots=True)
class JobLimits:
    """Limits on what the jobs of a cell take together.

    :param record_bytes: largest record that the store accepts.
    :param jobs: what accepted jobs may take, with ended ones that are kept.
    :param cancels_bytes: memory for cancellations of jobs that have not appeared.
    :param active_bytes: memory for active tasks.
    :param repeat_bytes: memory for the open occurrences of jobs beyond the first.
    """

    record_bytes: int = 262_144
    jobs: JobSize = JobSize(math.inf, math.inf)
    cancels_bytes: float = math.inf
    active_bytes: float = math.inf
    repeat_bytes: float = math.inf

    @property
    def steps_bytes(self) -> int:
        """Bytes of a job's state for its steps, and as many for its active tasks.

        A quarter of the record is left to the names of the workers.
        """
        return (self.record_bytes * 3 // 4 - _HEADER_BYTES) // 2


def checkpoint_bytes(spec: JobSpec, limits: JobLimits) -> int:
    """Return the length of the longest checkpoint that is kept of a job's task."""
    share = limits.steps_bytes // spec.tasks - _TASK_ROW_BYTES
    return min(max(share, _MIN_CHECKPOINT_BYTES), _MAX_CHECKPOINT_BYTES)


def task_row_bytes(step: StepSpec, checkpoint: int) -> int:
    """Return the bytes that an active task takes in its job's state at most.

    :param checkpoint: length of the longest checkpoint that is kept.
    """
    # The members of a large gang share one checkpoint, which is stored once.
    own = step.checkpoints and not (step.gang and step.count > MAX_LISTED_TASKS)
    return _TASK_ROW_BYTES + (checkpoint if own else 0)


def active_memory_bytes(row_bytes: int) -> int:
    """Return the memory that an active task takes on the lead.

    :param row_bytes: what it takes in its job's state.
    """
    return _ACTIVE_MEMORY_BYTES + row_bytes


def occurrence_bytes(spec: JobSpec, limits: JobLimits) -> int:
    """Return the bytes that an open occurrence takes in its job's state at most.

    These are the rows of its steps, with a bit for each task, but no active tasks.
    """
    if spec.tasks == 1:
        return _OCCURRENCE_BYTES
    shared = checkpoint_bytes(spec, limits)
    return _OCCURRENCE_BYTES + sum(
        _STEP_ROW_BYTES
        + (step.count + 7) // 8
        + (shared if step.gang and step.checkpoints else 0)
        for step in spec.steps
    )


def max_open_occurrences(spec: JobSpec, limits: JobLimits) -> int:
    """Return how many occurrences of a job may be open at the same time."""
    by_state = limits.steps_bytes // occurrence_bytes(spec, limits)
    return max(min(_MAX_OPEN_TASKS // spec.tasks, by_state), 1)


def find_excess(spec: JobSpec, limits: JobLimits) -> str:
    """Return why a job's state could outgrow a record; an empty string if it cannot.

    The state of any other job fits, whatever its tasks do, as long as only so many of
    its occurrences are open and so many of its tasks are active at the same time.
    """
    room = limits.steps_bytes
    if occurrence_bytes(spec, limits) > room:
        return (
            f"steps: {spec.tasks} tasks in {len(spec.steps)} steps; the state of a job "
            f"has room for about {8 * room} tasks less {8 * _STEP_ROW_BYTES} a step"
        )
    checkpoint = checkpoint_bytes(spec, limits)
    for number, step in enumerate(spec.steps):
        most = room // task_row_bytes(step, checkpoint)
        if step.gang and step.count > most:
            return (
                f"steps.{number}.count: {step.count} tasks that run only together; "
                f"at most {most}"
            )
    return ""


def job_size(spec: JobSpec) -> JobSize:
    """Return what a job takes at most on an instance that leads."""
    text = len(spec.text) + sum(
        len(s.label) + len(s.data_rack) + len(s.image) for s in spec.steps
    )
    links = sum(len(step.after) for step in spec.steps)
    memory_bytes = (
        _JOB_MEMORY_BYTES
        + _STEP_MEMORY_BYTES * len(spec.steps)
        + _TASK_MEMORY_BYTES * spec.tasks
        + 4 * text
        + 16 * links
    )
    return JobSize(memory_bytes, len(spec.steps))


def repeat_memory_bytes(spec: JobSpec) -> int:
    """Return the memory that each further open occurrence of a job takes."""
    return _STEP_MEMORY_BYTES * len(spec.steps) + _TASK_MEMORY_BYTES * spec.tasks
