"""Jobs as callers submit them."""

import attrs

from firhook.cell._resources import Resources


@attrs.frozen(slots=True)
class StepSpec:
    """A step of a job: a number of like tasks.

    :param need: what each task needs.
    :param estimate_s: the caller's rough guess at a task's duration.
    :param after: numbers of the earlier steps that must be done before.
    :param checkpoints: whether the tasks save their progress.
    :param gang: whether the tasks only work all at once.
    :param same_rack: whether they are slower when spread over racks.
    :param label: a label that the worker must have; empty for any.
    :param data_rack: the rack on which the tasks are not slowed down.
    :param per_worker: the most tasks of the step on one worker; 0 for any.
    :param duplicates: whether copies of a task may run at the same time.
    :param lasting: whether the tasks run until the job is cancelled.
    :param image: what the tasks run; those of one image behave alike.
    :param target_s: what the tail of a serving task's answers must stay below.
    :param fills: whether the tasks live on the processor time that others leave,
        so that their processors do not count against the worker.
    :param max_unavailable: the most lasting tasks that the scheduler may have
        away from work at the same time.
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
        """What each task takes from a worker's room."""
        if not self.fills:
            return self.need
        return attrs.evolve(self.need, cpu_m=0)


@attrs.frozen(slots=True)
class JobSpec:
    """What a job runs.

    :param text: what workers are told to run, opaque to the scheduler.
    :param first_due: when the first occurrence is due, in seconds since 1970.
    :param interval_s: seconds from one occurrence to the next.
    :param occurrences: how often the steps run; 0 for once and at once.
    """

    text: str
    steps: tuple[StepSpec, ...]
    first_due: float = 0.0
    interval_s: float = 0.0
    occurrences: int = 0

    @property
    def periodic(self) -> bool:
        """Whether its occurrences are due at set times."""
        return self.occurrences > 0

    def due(self, occurrence: int) -> float:
        """Return when an occurrence is due, in seconds since 1970."""
        return self.first_due + occurrence * self.interval_s if self.periodic else 0.0
