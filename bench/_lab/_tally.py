"""What became of a day's jobs, as their callers saw it."""

import enum
from collections.abc import Iterable, Iterator

import attrs
from hdrh.histogram import HdrHistogram

from bench._lab._load import Day, Job

_LONGEST_MS = 600_000
#: The groups that are told of: of what kind, and a job's name in it.
GROUPS = {
    "all": lambda job: "all",
    "class": lambda job: job.kind.name,
    "account": lambda job: job.account,
    "zone": lambda job: job.zone,
}


class Fate(enum.Enum):
    """What a caller got."""

    #: Done within the objective.
    IN_TIME = "in_time"
    #: Done later, before the caller gave up.
    LATE = "late"
    #: Accepted, and not done when the caller gave up.
    IN_VAIN = "in_vain"
    #: Not accepted as long as the caller tried.
    REFUSED = "refused"


@attrs.define
class Outcome:
    """What became of a job.

    :ivar accepted: whether its caller was told that it is accepted.
    :ivar started_at: when its first task began to run.
    :ivar done_at: when its end could be asked for.
    """

    job: Job
    accepted: bool = False
    started_at: float | None = None
    done_at: float | None = None

    @property
    def fate(self) -> Fate:
        """What its caller got."""
        if self.done_at is not None and self.done_at <= self.job.due:
            return Fate.IN_TIME
        if self.done_at is not None and self.done_at <= self.job.given_up_at:
            return Fate.LATE
        return Fate.IN_VAIN if self.accepted else Fate.REFUSED

    @property
    def wait_s(self) -> float:
        """How long it waited to begin; until its caller gave up if it did not."""
        until = self.job.given_up_at
        if self.started_at is not None:
            until = min(until, self.started_at)
        return until - self.job.at


@attrs.frozen
class Figures:
    """The figures of a group of jobs on one day; ``None`` where none is known.

    :param shares: the part of the jobs that met each fate.
    :param p50_s: of the waits until the first task began.
    """

    jobs: int
    shares: dict[Fate, float | None]
    p50_s: float | None = None
    p99_s: float | None = None


def groups_of(day: Day) -> Iterator[tuple[str, str, list[Job]]]:
    """Return the groups of a day's jobs: kind, name and jobs."""
    for kind, name_of in GROUPS.items():
        for name in sorted({name_of(job) for job in day.jobs}):
            yield kind, name, [job for job in day.jobs if name_of(job) == name]


def tally(day: Day, outcomes: Iterable[Outcome]) -> dict[tuple[str, str], Figures]:
    """Return the figures of each group."""
    by_id = {outcome.job.id: outcome for outcome in outcomes}
    return {
        (kind, name): figures([by_id[job.id] for job in jobs])
        for kind, name, jobs in groups_of(day)
    }


def figures(outcomes: list[Outcome]) -> Figures:
    """Return the figures of some jobs."""
    waits = HdrHistogram(1, _LONGEST_MS, 3)
    counts = dict.fromkeys(Fate, 0)
    for outcome in outcomes:
        counts[outcome.fate] += 1
        waits.record_value(min(max(round(outcome.wait_s * 1000), 1), _LONGEST_MS))
    return Figures(
        len(outcomes),
        {fate: count / len(outcomes) for fate, count in counts.items()},
        waits.get_value_at_percentile(50) / 1000,
        waits.get_value_at_percentile(99) / 1000,
    )
