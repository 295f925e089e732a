"""Finds accepted jobs that the replica has and the lead's job table lacks."""

import heapq
import itertools
from collections import Counter
from collections.abc import Container, Iterator
from enum import StrEnum

import attrs

from firhook.cell import JobView, Replica
from firhook.cell.records import digest_state
from firhook.errors import RecordMalformedError


class UnknownReason(StrEnum):
    """Why the job table lacks a job."""

    #: The replica has only a digest of the submission or of the state.
    DIGEST_ONLY = "digest_only"
    #: The job's state cannot be decoded.
    MALFORMED = "malformed"
    #: The job ended in this term, but the replica does not have its end.
    END_NOT_STORED = "end_not_stored"
    #: Several owners submitted the job's id.
    CONTESTED = "contested"
    #: The term was not notified of the job.
    NOT_NOTIFIED = "not_notified"


@attrs.frozen(slots=True)
class UnknownJob:
    """An accepted, unfinished job that the job table lacks.

    :param since: when this was found, on the boot clock.
    """

    id: str
    reason: UnknownReason
    since: float


class UnknownJobs:
    """Compares the replica with the job table, a part at a time.

    A replica holds tens of thousands of jobs, most of which have ended.  Comparing
    all of them at once would delay the lead's rounds.

    :param table: the ids of the jobs in the job table.
    :param notified: the ids of the jobs that were added in this term, also of those
        that ended since.
    :param visibility_s: time within which an accepted job is visible.  A job is counted
        after it: it is added, or its end stored, a moment later than the replica or
        the job table shows it.
    """

    def __init__(
        self,
        replica: Replica,
        table: Container[str],
        notified: Container[str],
        visibility_s: float,
    ) -> None:
        self._replica = replica
        self._visibility_s = visibility_s
        self._table = table
        self._notified = notified
        self._left: Iterator[str] = iter(())
        self._found: dict[str, UnknownJob] = {}
        self._jobs: dict[str, UnknownJob] = {}

    def scan(self, count: int, now: float) -> None:
        """Compare the next jobs.

        :param count: largest number of jobs to compare.
        """
        compared = 0
        for job_id in itertools.islice(self._left, count):
            compared += 1
            view = self._replica.jobs.get(job_id)
            if view is not None and self._is_unknown(job_id, view):
                known = self._jobs.get(job_id)
                since = now if known is None else known.since
                reason = self._reason(job_id, view)
                self._found[job_id] = UnknownJob(job_id, reason, since)
        if compared < count:
            self._jobs, self._found = self._found, {}
            self._left = iter(list(self._replica.jobs))

    def counts(self, now: float) -> Counter[UnknownReason]:
        """Return the number of unknown jobs by reason."""
        return Counter(job.reason for job in self._current(now))

    def oldest(self, limit: int, now: float) -> list[UnknownJob]:
        """Return the jobs that have been unknown for longest, up to a limit."""
        return heapq.nsmallest(
            limit, self._current(now), key=lambda job: (job.since, job.id)
        )

    def find(self, job_id: str, now: float) -> UnknownJob | None:
        """Return a job if it is unknown now; ``None`` if not."""
        view = self._replica.jobs.get(job_id)
        if view is None or not self._is_unknown(job_id, view):
            return None
        known = self._jobs.get(job_id) or self._found.get(job_id)
        since = now if known is None else known.since
        return UnknownJob(job_id, self._reason(job_id, view), since)

    def _current(self, now: float) -> Iterator[UnknownJob]:
        for job in self._jobs.values():
            if now - job.since >= self._visibility_s and job.id not in self._table:
                yield job

    def _is_unknown(self, job_id: str, view: JobView) -> bool:
        if view.accepted is None or job_id in self._table:
            return False
        state = view.state
        return state is None or not state.status.ended or not state.has_no_steps

    def _reason(self, job_id: str, view: JobView) -> UnknownReason:
        assert view.accepted is not None
        if view.accepted.is_digest:
            return UnknownReason.DIGEST_ONLY
        if view.state is not None:
            try:
                view.state.decode()
            except RecordMalformedError:
                is_digest = view.state.raw == digest_state(view.state)
                return (
                    UnknownReason.DIGEST_ONLY if is_digest else UnknownReason.MALFORMED
                )
        if job_id in self._notified:
            return UnknownReason.END_NOT_STORED
        if view.owners:
            return UnknownReason.CONTESTED
        return UnknownReason.NOT_NOTIFIED
