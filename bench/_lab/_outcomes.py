"""Outcomes of jobs from the view of their callers, and summaries by group."""

import enum
from collections.abc import Iterable, Iterator

import attrs
from hdrh.histogram import HdrHistogram

from bench._lab._workload import Job, Workload

_MAX_WAIT_MS = 600_000
#: Ways to group jobs: from each kind of group to the name of a job's group.
GROUPS = {
    "all": lambda job: "all",
    "class": lambda job: job.kind.name,
    "account": lambda job: job.account,
    "zone": lambda job: job.zone,
}


class OutcomeKind(enum.Enum):
    """The outcome of a job for its caller."""

    #: Completed within the objective.
    IN_TIME = "in_time"
    #: Completed after the objective, before the caller gave up.
    LATE = "late"
    #: Accepted, but not complete when the caller gave up.
    ABANDONED = "in_vain"
    #: Never accepted while the caller tried.
    REFUSED = "refused"


@attrs.define
class Outcome:
    """The progress of a job, as its caller could see it.

    :ivar accepted: whether its caller received the acceptance.
    :ivar started_at: when its first task started; ``None`` if none did.
    :ivar done_at: when an instance first reported it complete; ``None`` if none did.
    """

    job: Job
    accepted: bool = False
    started_at: float | None = None
    done_at: float | None = None

    @property
    def kind(self) -> OutcomeKind:
        """The outcome for the caller."""
        if self.done_at is not None and self.done_at <= self.job.due:
            return OutcomeKind.IN_TIME
        if self.done_at is not None and self.done_at <= self.job.abandoned_at:
            return OutcomeKind.LATE
        return OutcomeKind.ABANDONED if self.accepted else OutcomeKind.REFUSED

    @property
    def start_delay_s(self) -> float:
        """The wait until the first task started, at most until the caller gave up."""
        waited_until = self.job.abandoned_at
        if self.started_at is not None:
            waited_until = min(waited_until, self.started_at)
        return waited_until - self.job.at


@attrs.frozen
class Summary:
    """A summary of a group of jobs in one simulation; ``None`` where unknown.

    :param shares: fraction of the jobs with each outcome.
    :param p50_s: median wait until the first task started.
    :param p99_s: 99th percentile of that wait.
    """

    jobs: int
    shares: dict[OutcomeKind, float | None]
    p50_s: float | None = None
    p99_s: float | None = None


def iter_groups(workload: Workload) -> Iterator[tuple[str, str, list[Job]]]:
    """Yield the kind, the name and the jobs of each group."""
    for kind, name_of in GROUPS.items():
        for name in sorted({name_of(job) for job in workload.jobs}):
            yield kind, name, [job for job in workload.jobs if name_of(job) == name]


def summarize_groups(
    workload: Workload, outcomes: Iterable[Outcome]
) -> dict[tuple[str, str], Summary]:
    """Return the summary of each group, by kind and name."""
    by_id = {outcome.job.id: outcome for outcome in outcomes}
    return {
        (kind, name): summarize([by_id[job.id] for job in jobs])
        for kind, name, jobs in iter_groups(workload)
    }


def summarize(outcomes: list[Outcome]) -> Summary:
    """Return the summary of a list of outcomes."""
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
