"""Specifications of jobs, as callers submit them."""

import attrs

from firhook.cell._resources import Resources


@attrs.frozen(slots=True)
class StepSpec:
    """A step of a job: a number of identical tasks.

    :param count: number of tasks.
    :param need: resources that each task needs.
    :param estimate_s: the caller's rough estimate of a task's duration, in seconds.
    :param after: numbers of the earlier steps that must be done first.
    :param checkpoints: whether the tasks save their progress.
    :param gang: whether the tasks make progress only if all of them run.
    :param same_rack: whether the tasks are slower when spread over racks.
    :param label: label that the worker must have; empty if any worker will do.
    :param data_rack: the rack on which the tasks are not slowed down; may be empty.
    :param per_worker: largest number of the step's tasks on one worker; 0 for no limit.
    :param duplicates: whether copies of a task may run at the same time.
    :param long_running: whether the tasks run until the job is cancelled.
    :param image: what the tasks run; tasks of one image behave alike.
    :param target_s: limit on the tail latency of a serving task, in seconds.
    :param fills: whether the tasks use only processor time that others leave idle, so
        that their need for processors does not count against the worker's capacity.
    :param max_unavailable: largest number of long-running tasks that the scheduler may
        interrupt at the same time.
    """

    count: int
    need: Resources
    estimate_s: float = 1.0
    after: tuple[int, ...] = ()
    checkpoints: bool = False
    gang: bool = False
    same_rack: bool = False
    label: str = ""
    data_rack: str = ""
    per_worker: int = 0
    duplicates: bool = False
    long_running: bool = False
    image: str = ""
    target_s: float = 0.0
    fills: bool = False
    max_unavailable: int = 0

    @property
    def reserved(self) -> Resources:
        """The part of a worker's capacity that each task reserves."""
        if not self.fills:
            return self.need
        return attrs.evolve(self.need, cpu_m=0)


@attrs.frozen(slots=True)
class JobSpec:
    """What a job runs, and when.

    :param text: what workers receive to run; opaque to the scheduler.
    :param steps: its steps, in an order in which each follows those it depends on.
    :param first_due: when the first occurrence is due, in seconds since 1970.
    :param interval_s: seconds from one occurrence to the next.
    :param occurrences: number of times that the steps run at set times; 0 if they run
        once, as soon as possible.
    """

    text: str
    steps: tuple[StepSpec, ...]
    first_due: float = 0.0
    interval_s: float = 0.0
    occurrences: int = 0

    @property
    def tasks(self) -> int:
        """The number of tasks of one occurrence."""
        return sum(step.count for step in self.steps)

    @property
    def periodic(self) -> bool:
        """Whether the job's occurrences are due at set times."""
        return self.occurrences > 0

    def due(self, occurrence: int) -> float:
        """Return when an occurrence is due, in seconds since 1970.

        The result is 0 for a job that is not periodic.
        """
        return self.first_due + occurrence * self.interval_s if self.periodic else 0.0
