"""A job of the lead's job table, with its steps, tasks and runs."""

import functools
import math
from collections.abc import Iterator

import attrs

from firhook.cell._config import Queue
from firhook.cell._job_limits import (
    MAX_LISTED_TASKS,
    JobLimits,
    checkpoint_bytes,
    task_row_bytes,
)
from firhook.cell._records import (
    AcceptedJob,
    ActiveTask,
    JobState,
    JobStatus,
    Releases,
    RunState,
    StepState,
    TaskRanges,
    TaskState,
    WorkerIncarnation,
)
from firhook.cell._spec import StepSpec
from firhook.cell._start_copies import MAX_ORDER_DELAY_S, StartCopies
from firhook.cell._step_tasks import IdleTasks, StepTasks
from firhook.cell._workers import RunningRow

#: Progress, in percentage points, from which a run's observed speed is used.
_MIN_MEASURED_PERCENT = 5.0
#: A lead sends orders for this time after it sent the last append that the store
#: accepted, and so for as long beside its successor.
PROOF_S = 0.75
#: Each step's part of the critical path, and so of a job's objective, includes an
#: adviser call about this many workers.
_ADVICE_WORKERS = 30


@attrs.define(slots=True, eq=False)
class Run:
    """One start of a task on one worker.

    :param incarnation: the worker's incarnation that the start was sent to, or that
        last listed the run.
    :param started_at: when the run was assigned; once the start order was answered,
        when that answer arrived.
    :ivar restored: whether an earlier lead assigned the run.
    :ivar stored: whether the assignment is on the log; orders are sent only then.
    :ivar confirmed: whether the worker has confirmed a start order or listed the run.
    :ivar copies: the copies of the start order that this lead has sent.
    :ivar absence_conclusive_after: if a poll sent after this time does not list the
        run, it neither runs nor will start.
    :ivar stopped_at: the incarnation that a confirmed stop has reached, or a later one;
        0 if none was confirmed.
    :ivar ticket: the adviser's ticket, if the queue requires one.
    :ivar ticket_until: when the ticket expires, on the boot clock.
    :ivar stop_reason: why the run is to be stopped; empty if it is not.
    """

    task: "Task"
    number: int
    worker: str
    incarnation: int
    started_at: float
    restored: bool = False
    stored: bool = False
    confirmed: bool = False
    copies: StartCopies = attrs.field(factory=StartCopies)
    absence_conclusive_after: float = math.inf
    stopped_at: int = 0
    ticket: str = ""
    ticket_until: float = math.inf
    stop_reason: str = ""
    first_percent: float = -1.0
    first_percent_at: float = 0.0
    percent: float = 0.0
    percent_at: float = 0.0

    @property
    def key(self) -> tuple[str, int]:
        """The task's name and the run's number, which identify it to workers."""
        return (self.task.name, self.number)

    def latest_start_at(self) -> float:
        """Return until when a worker may carry out a start of the run.

        It is minus infinity if the outcome of all starts is known.
        """
        if self.copies.may_arrive:
            return self.copies.latest_arrival
        if self.restored and not self.confirmed:
            return self.started_at + PROOF_S + MAX_ORDER_DELAY_S
        return -math.inf

    def may_reach_restarted(self, now: float) -> bool:
        """Return whether an incarnation that began later may carry out a start.

        It refuses one with a ticket, which was issued to the incarnation before.
        """
        if self.needs_ticket:
            return self.copies.may_arrive
        return now < self.copies.latest_arrival

    @property
    def needs_ticket(self) -> bool:
        """Whether its start names a ticket, which only one incarnation accepts."""
        if self.restored:
            return self.task.step.job.queue.advice is not None
        return bool(self.ticket)

    @property
    def was_carried_out(self) -> bool:
        """Whether a worker has answered that it carried out a start or a stop."""
        return self.absence_conclusive_after < math.inf

    def confirm_stop(self, incarnation: int, now: float) -> None:
        """Record that a worker confirmed a stop, and so refuses later starts.

        :param incarnation: the newest that was known when the stop was sent.
        """
        self.copies.take()
        self.stopped_at, self.absence_conclusive_after = incarnation, now

    def update_progress(self, row: RunningRow, now: float) -> None:
        """Record the progress and the checkpoint that the worker reports."""
        self.confirmed = True
        self.copies.take()
        if row.checkpoint:
            self.task.update_checkpoint(row.checkpoint)
        if self.first_percent < 0:
            self.first_percent, self.first_percent_at = row.percent, now
        if row.percent != self.percent or not self.percent_at:
            self.percent, self.percent_at = row.percent, now

    def remaining_s(
        self, now: float, speed: float = 1.0, cautious: bool = False
    ) -> float:
        """Return an estimate of the remaining duration, in seconds.

        Callers' estimates are off by up to 90%, so the speed that the worker reports
        takes precedence as soon as enough progress was measured.

        :param speed: the worker's speed.
        :param cautious: whether to use a high quantile, if one is known.
        """
        gained = self.percent - self.first_percent
        if self.first_percent >= 0 and gained >= _MIN_MEASURED_PERCENT:
            per_percent = (self.percent_at - self.first_percent_at) / gained
            remaining = (100.0 - self.percent) * per_percent
            return max(remaining - (now - self.percent_at), 0.0)
        step = self.task.step
        total_s = (step.high_s if cautious else 0.0) or step.duration_s
        return max(total_s / speed - (now - self.started_at), 0.05)


@attrs.define(slots=True, eq=False)
class Task:
    """One task of a step of one occurrence of a job."""

    step: "Step"
    index: int
    done: bool = False
    last_run: int = 0
    failures: int = 0
    checkpoint: str = ""
    runs: list[Run] = attrs.field(factory=list)

    @property
    def name(self) -> str:
        """The task's name in the workers' interface."""
        return f"{self.step.name}.{self.index}"

    def update_checkpoint(self, checkpoint: str) -> None:
        """Keep the newest checkpoint; the members of a gang share one.

        One that is too long is not kept, so that the task would resume from an earlier
        one or start anew.
        """
        if not self.step.spec.checkpoints:
            return
        if len(checkpoint.encode()) > self.step.job.checkpoint_bytes:
            return
        if self.step.spec.gang:
            self.step.checkpoint = checkpoint
        else:
            self.checkpoint = checkpoint

    def to_state(self, workers: dict[tuple[str, int], int]) -> TaskState | None:
        """Return the record of the task; ``None`` if it was never assigned.

        :param workers: index of each worker incarnation in the job's record;
            those of this task's runs are added.
        """
        if not self.last_run and not self.done:
            return None
        rows = tuple(
            RunState(
                r.number, workers.setdefault((r.worker, r.incarnation), len(workers))
            )
            for r in self.runs
        )
        checkpoint = "" if self.done else self.step.start_checkpoint(self)
        return TaskState(self.done, self.last_run, self.failures, checkpoint, rows)


@attrs.define(slots=True, eq=False)
class Step:
    """A step of one occurrence of a job.

    :param critical_path_s: estimated duration of the longest chain of steps from this
        one to the end of the job.
    :param is_done: whether its tasks were done before this lead's term.
    :ivar name: its name in requests to the adviser.
    :ivar tasks: its tasks by index.
    :ivar idle: tasks that wait for a worker, by index.
    :ivar ready_at: when all steps that it depends on were done; ``None`` before.
    :ivar is_closed: whether its job or its occurrence has ended.
    :ivar checkpoint: newest checkpoint of a gang, valid for each member.
    :ivar failed_run: number of the newest run of a gang that counts as failed.
    :ivar expected_s: learned duration of a task at speed 1; 0 if it is not known.
    :ivar high_s: a high quantile of that duration; 0 if it is not known.
    """

    job: "Job"
    occurrence: int
    number: int
    spec: StepSpec
    critical_path_s: float
    is_done: bool = False
    ready_at: float | None = None
    is_closed: bool = False
    checkpoint: str = ""
    failed_run: int = 0
    expected_s: float = 0.0
    high_s: float = 0.0
    # Composing the name took a tenth of a round with 2,000 waiting steps.
    name: str = attrs.field(init=False)
    tasks: StepTasks[Task] = attrs.field(init=False)
    idle: IdleTasks[Task] = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.name = f"{self.job.id}.{self.occurrence}.{self.number}"
        make_task = functools.partial(Task, self)
        self.tasks = StepTasks(make_task, self.spec.count, self.is_done)
        self.idle = IdleTasks(self.tasks)

    @property
    def duration_s(self) -> float:
        """The expected duration of a task at speed 1."""
        return self.expected_s or self.spec.estimate_s

    @property
    def remaining(self) -> int:
        """The number of tasks that are not done."""
        return self.tasks.remaining

    @property
    def started(self) -> bool:
        """Whether any of its tasks was ever assigned."""
        return self.tasks.started_before > 0

    @property
    def row_bytes(self) -> int:
        """The bytes that each active task takes in the job's state at most."""
        return task_row_bytes(self.spec, self.job.checkpoint_bytes)

    @property
    def is_open(self) -> bool:
        """Whether neither its job nor its occurrence has ended."""
        job = self.job
        return not job.status.ended and self.occurrence in job.open_occurrences

    def runs(self) -> Iterator[Run]:
        """Yield the runs that may still be executing."""
        for task in list(self.tasks.active.values()):
            yield from task.runs

    def update_task(self, task: Task) -> int:
        """Record that a task was started, is done, or got or lost a run.

        :return: by how much the number of active tasks grew.
        """
        grown = self.tasks.update(task)
        self.job.active_row_bytes += grown * self.row_bytes
        self.refresh_idle()
        return grown

    def refresh_idle(self) -> None:
        """Update the idle tasks; those of a gang wait until all of them do."""
        is_whole = not self.spec.gang or self.tasks.waiting == self.spec.count
        self.idle.refresh(is_whole and not self.is_closed)

    def start_checkpoint(self, task: Task) -> str:
        """Return the checkpoint that the task's next run resumes from."""
        return self.checkpoint if self.spec.gang else task.checkpoint

    def latest_start(self) -> float:
        """Return the latest start time at which the job still meets its objective."""
        return self.job.objective_at(self.occurrence) - self.critical_path_s

    def to_state(
        self, workers: dict[tuple[str, int], int], is_large: bool = False
    ) -> StepState:
        """Return the record of the step; see :meth:`Task.to_state`.

        :param is_large: whether to list only the active tasks.
        """
        if not is_large:
            rows = tuple(task.to_state(workers) for task in self.tasks)
            return StepState(self.occurrence, self.number, rows, self.failed_run)
        tasks = self.tasks
        active = tuple(
            ActiveTask(index, state)
            for index, task in tasks.active.items()
            if (state := task.to_state(workers)) is not None
        )
        if self.spec.gang:
            active = active[:1] + tuple(
                attrs.evolve(row, state=attrs.evolve(row.state, checkpoint=""))
                for row in active[1:]
            )
        ranges = TaskRanges(
            tasks.done_before, tasks.started_before, tasks.done_bits(), active
        )
        return StepState(self.occurrence, self.number, None, self.failed_run, ranges)


@attrs.define(slots=True, eq=False)
class Job:
    """A job with the state of its steps.

    :param queue: current configuration of its queue, or the last one if the queue
        was removed.
    :param accepted_at: on the lead's boot clock.
    :param limits: limits on what the cell's jobs take.
    :ivar checkpoint_bytes: length of the longest checkpoint that is kept of a task.
    :ivar active_row_bytes: bytes that its active tasks take in its state at most.
    :ivar repeat_bytes: memory counted for its open occurrences beyond the first.
    :ivar status: queued until a worker reports the first run of one of its tasks.
    :ivar ended_at: seconds since 1970; 0 if the job has not ended.
    :ivar steps: steps by occurrence and number.
    :ivar next_occurrence: first occurrence that has not been released.
    :ivar open_occurrences: the released occurrences that are not done.
    :ivar due_at: when each occurrence with steps was due, on the boot clock.
    :ivar critical_path_s: estimated duration of the job's longest chain of steps.
    :ivar durations_at: when the durations of its steps were last updated.
    """

    accepted: AcceptedJob
    queue: Queue
    accepted_at: float
    limits: JobLimits = attrs.field(factory=JobLimits)
    status: JobStatus = JobStatus.QUEUED
    ended_at: float = 0.0
    steps: dict[tuple[int, int], Step] = attrs.field(factory=dict)
    next_occurrence: int = 0
    open_occurrences: set[int] = attrs.field(factory=set)
    due_at: dict[int, float] = attrs.field(factory=dict)
    critical_path_s: float = 0.0
    reported: bool = False
    durations_at: float = -math.inf
    active_row_bytes: int = 0
    repeat_bytes: int = 0
    checkpoint_bytes: int = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.checkpoint_bytes = checkpoint_bytes(self.accepted.spec, self.limits)

    @property
    def id(self) -> str:
        """The job's id, chosen by the caller."""
        return self.accepted.id

    @property
    def team(self) -> str:
        """Name of the team that submitted the job."""
        return self.accepted.team

    def released_at(self, occurrence: int) -> float:
        """Return when an occurrence was due, on the boot clock.

        For a job that is not periodic this is when it was accepted.
        """
        return self.due_at.get(occurrence, self.accepted_at)

    def objective_at(self, occurrence: int) -> float:
        """Return when an occurrence should be done at the latest, on the boot clock."""
        start = self.released_at(occurrence)
        return (
            start + self.queue.slack_factor * self.critical_path_s + self.queue.target_s
        )

    def critical_paths_s(self) -> list[float]:
        """Return each step's critical path to the end of the job, in seconds."""
        advice = self.queue.advice
        advice_s = advice.answer_s(_ADVICE_WORKERS) if advice else 0.0
        durations_s = [step.estimate_s for step in self.accepted.spec.steps]
        for step in self.steps.values():
            durations_s[step.number] = step.duration_s
        return critical_paths_s(self.accepted.spec.steps, durations_s, advice_s)

    def update_critical_paths(self) -> None:
        """Compute the critical paths from the steps' current durations."""
        paths_s = self.critical_paths_s()
        self.critical_path_s = max(paths_s, default=0.0)
        for step in self.steps.values():
            step.critical_path_s = paths_s[step.number]

    def startable_tasks(self, step: Step) -> int:
        """Return for how many more active tasks of a step the job's state has room."""
        left = self.limits.steps_bytes - self.active_row_bytes
        return max(left // step.row_bytes, 0)

    def runs(self) -> Iterator[Run]:
        """Yield the runs that may still be executing."""
        for step in self.steps.values():
            yield from step.runs()

    def to_state(self, version: int = 0) -> JobState:
        """Return the record of the job.

        The state of a large job lists only the active tasks one by one.

        A step without a row was never started if its occurrence is open, and is done
        if it is not.  A job or an occurrence that ended has rows only of the steps that
        still have runs: the next lead has to continue stopping them.
        """
        workers: dict[tuple[str, int], int] = {}
        open_occurrences = set() if self.status.ended else self.open_occurrences
        listed = [
            step
            for step in self.steps.values()
            if any(step.runs())
            or (step.started and step.occurrence in open_occurrences)
        ]
        is_large = sum(step.spec.count for step in listed) > MAX_LISTED_TASKS
        steps = tuple(step.to_state(workers, is_large) for step in listed)
        incarnations = tuple(
            WorkerIncarnation(name, incarnation) for name, incarnation in workers
        )
        releases = None
        if self.accepted.spec.periodic and not self.status.ended:
            releases = Releases.of(self.next_occurrence, open_occurrences)
        return JobState(
            int(self.status),
            self.ended_at,
            incarnations,
            steps,
            0 if releases is None else None,
            version,
            releases,
        )


def critical_paths_s(
    job_steps: tuple[StepSpec, ...], durations_s: list[float], advice_s: float
) -> list[float]:
    """Return each step's critical path to the end of the job, in seconds.

    :param durations_s: the expected duration of a task of each step.
    :param advice_s: duration of the adviser call that each step needs.
    """
    paths_s = [0.0] * len(job_steps)
    for number in range(len(job_steps) - 1, -1, -1):
        # So far this is the longest path of the steps that depend on it.
        paths_s[number] += durations_s[number] + advice_s
        for earlier in job_steps[number].after:
            paths_s[earlier] = max(paths_s[earlier], paths_s[number])
    return paths_s
