"""What must hold at all times, checked where the work is done."""

import attrs


@attrs.frozen
class Violation:
    """Something that must never happen, and did."""

    at: float
    what: str
    detail: str


@attrs.define(eq=False)
class Checks:
    """Sees every start and every end in the cell.

    :ivar broken: what went wrong.
    :ivar alone: members of gangs that waited for the others in vain, which a
        fault near them may bring about.
    :ivar running: where each task runs now, with the run.
    :ivar done: tasks whose end ``done`` was acknowledged.
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

    def record_violation(self, at: float, what: str, detail: str) -> None:
        """Take note of something that must never happen."""
        self.violations.append(Violation(at, what, detail))

    def started(
        self, at: float, task: str, worker: str, incarnation: int, run: int
    ) -> None:
        """Take note of a start."""
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
        others[worker, incarnation] = run
        self.last_start[task] = at

    def ended(self, task: str, worker: str, incarnation: int) -> None:
        """Take note that a run is no longer going on."""
        self.running.get(task, {}).pop((worker, incarnation), None)

    def acknowledged(self, at: float, task: str, ended_at: float) -> None:
        """Take note that an end ``done`` was acknowledged.

        Only then does it stand: an end that its worker lost, or whose lease
        lapsed before, may be followed by another start.
        """
        self.done.add(task)
        later = self.last_start.get(task, 0.0) > ended_at
        if later and task.rpartition(".")[0] not in self.duplicates:
            self.record_violation(at, "after_done", f"{task} ended done at {ended_at}")
