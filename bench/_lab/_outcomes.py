"""What became of a day's jobs, as their callers saw it."""

import enum
from collections.abc import Iterable, Iterator

import attrs
from hdrh.histogram import HdrHistogram

from bench._lab._workload import Job, Workload

_MAX_WAIT_MS = 600_000
#: The groups that are told of: of what kind, and a job's name in it.
GROUPS = {
    "all": lambda job: "all",
    "class": lambda job: job.kind.name,
    "account": lambda job: job.account,
    "zone": lambda job: job.zone,
}


class OutcomeKind(enum.Enum):
    """What a caller got."""

    #: Done within the objective.
    IN_TIME = "in_time"
    #: Done later, before the caller gave up.
    LATE = "late"
    #: Accepted, and not done when the caller gave up.
    ABANDONED = "in_vain"
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
    def kind(self) -> OutcomeKind:
        """What its caller got."""
        if self.done_at is not None and self.done_at <= self.job.due:
            return OutcomeKind.IN_TIME
        if self.done_at is not None and self.done_at <= self.job.abandoned_at:
            return OutcomeKind.LATE
        return OutcomeKind.ABANDONED if self.accepted else OutcomeKind.REFUSED

    @property
    def start_delay_s(self) -> float:
        """How long it waited to begin; until its caller gave up if it did not."""
        waited_until = self.job.abandoned_at
        if self.started_at is not None:
            waited_until = min(waited_until, self.started_at)
        return waited_until - self.job.at


@attrs.frozen
class Summary:
    """The figures of a group of jobs on one day; ``None`` where none is known.

    :param shares: the part of the jobs that met each fate.
    :param p50_s: of the waits until the first task began.
    """

    jobs: int
    shares: dict[OutcomeKind, float | None]
    p50_s: float | None = None
    p99_s: float | None = None


def iter_groups(workload: Workload) -> Iterator[tuple[str, str, list[Job]]]:
    """Return the groups of a day's jobs: kind, name and jobs."""
    for kind, name_of in GROUPS.items():
        for name in sorted({name_of(job) for job in workload.jobs}):
            yield kind, name, [job for job in workload.jobs if name_of(job) == name]


def summarize_groups(
    workload: Workload, outcomes: Iterable[Outcome]
) -> dict[tuple[str, str], Summary]:
    """Return the figures of each group."""
    by_id = {outcome.job.id: outcome for outcome in outcomes}
    return {
        (kind, name): summarize([by_id[job.id] for job in jobs])
        for kind, name, jobs in iter_groups(workload)
    }


def summarize(outcomes: list[Outcome]) -> Summary:
    """Return the figures of some jobs."""
    waits = HdrHistogram(1, _MAX_WAIT_MS, 3)
    counts = dict.fromkeys(OutcomeKind, 0)
    for outcome in outcomes:
        counts[outcome.kind] += 1
        waits.record_value(
            min(max(round(outcome.start_delay_s * 1000), 1), _MAX_WAIT_MS)
        )
    return Summary(
        len(outcomes),
        {kind: count / len(outcomes) for kind, count in counts.items()},
        waits.get_value_at_percentile(50) / 1000,
        waits.get_value_at_percentile(99) / 1000,
    )
