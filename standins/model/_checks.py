"""Invariants that are checked on every event of the workers."""

import math

import attrs

#: Time after the request to drain a zone from which no task may start there.
ZONE_DRAIN_S = 5.0
#: Time within which a lead that acts handles each accepted job in its replica.
JOB_HANDLED_S = 3.0
#: Time after the answer to a cancellation from which no task of the job may start.
CANCEL_S = 3.0


@attrs.frozen
class Violation:
    """A violated invariant."""

    at: float
    what: str
    detail: str


@attrs.define(eq=False)
class Checks:
    """Observes every start and every end of a run in the cell.

    :ivar violations: violated invariants.
    :ivar incomplete_gangs: runs that timed out waiting for the rest of their gang,
        which a fault nearby may cause.
    :ivar running: runs in progress by task, worker and incarnation.
    :ivar done: tasks whose end ``done`` was acknowledged.
    :ivar last_start: time of the last start of each task.
    :ivar duplicates: steps whose tasks may run more than once.
    :ivar cancelled: when the cancellation of each job was answered.
    :ivar refused: jobs that were refused and must not run.
    :ivar drained_at: when each drained zone was drained.
    :ivar unhandled_since: since when the lead does not handle a job, by its epoch and
        the job's id.
    """

    violations: list[Violation] = attrs.field(factory=list)
    incomplete_gangs: list[str] = attrs.field(factory=list)
    running: dict[str, dict[tuple[str, int], int]] = attrs.field(factory=dict)
    done: set[str] = attrs.field(factory=set)
    last_start: dict[str, float] = attrs.field(factory=dict)
    duplicates: set[str] = attrs.field(factory=set)
    failed: dict[str, int] = attrs.field(factory=dict)
    cancelled: dict[str, float] = attrs.field(factory=dict)
    refused: set[str] = attrs.field(factory=set)
    drained_at: dict[str, float] = attrs.field(factory=dict)
    unhandled_since: dict[tuple[int, str], float] = attrs.field(factory=dict)

    def record_violation(self, at: float, what: str, detail: str) -> None:
        """Record a violated invariant."""
        self.violations.append(Violation(at, what, detail))

    def started(
        self, at: float, task: str, worker: str, incarnation: int, run: int
    ) -> None:
        """Record that a run started."""
        others = self.running.setdefault(task, {})
        step = task.rpartition(".")[0]
        if others and step not in self.duplicates:
            self.record_violation(
                at, "twice", f"{task} run {run} on {worker}, also {others}"
            )
        if task in self.done and step not in self.duplicates:
            self.record_violation(at, "after_done", f"{task} run {run} on {worker}")
        job = task.partition(".")[0]
        if job in self.refused:
            self.record_violation(at, "refused_runs", task)
        if at - self.cancelled.get(job, math.inf) > CANCEL_S:
            self.record_violation(at, "after_cancel", task)
        others[worker, incarnation] = run
        self.last_start[task] = at

    def started_on_time(self, at: float, task: str, zone: str) -> None:
        """Record that a start began a run in a zone without delay at the worker."""
        drained_at = self.drained_at.get(zone)
        if drained_at is not None and at - drained_at > ZONE_DRAIN_S:
            self.record_violation(
                at, "drained_zone", f"{task} in {zone}, drained at {drained_at:.2f}"
            )

    def ended(self, task: str, worker: str, incarnation: int) -> None:
        """Record that a run ended."""
        self.running.get(task, {}).pop((worker, incarnation), None)

    def acknowledged(self, at: float, task: str, ended_at: float) -> None:
        """Record that an end ``done`` was acknowledged.

        An end counts only from then on: if the worker lost it, or its lease expired
        before the acknowledgement, the task may start again.
        """
        self.done.add(task)
        later = self.last_start.get(task, 0.0) > ended_at
        if later and task.rpartition(".")[0] not in self.duplicates:
            self.record_violation(at, "after_done", f"{task} ended done at {ended_at}")

    def unhandled(self, at: float, epoch: int, jobs: set[str]) -> None:
        """Record which accepted jobs the lead that acts now does not handle."""
        before = self.unhandled_since
        self.unhandled_since = {
            (epoch, job): before.get((epoch, job), at) for job in jobs
        }
        for (_, job), since in self.unhandled_since.items():
            if at - since > JOB_HANDLED_S:
                self.record_violation(at, "unhandled", f"{job} by lead {epoch}")
                self.unhandled_since[epoch, job] = math.inf
