"""What failed where: retries, poison jobs and sick workers.

Made for a night in which nobody watches: a worker that fails everything it
starts, beside a job that fails wherever it starts.  The first, left alone,
would fail the whole fleet's work, since it always has room; the second would
have worker after worker blamed for it.
"""

from collections.abc import Callable

import attrs

from firhook.model import Ending
from firhook.state import JobEntry, ZoneState

#: A failed task is tried again after so long, doubled with each failure, ...
RETRY_S = 1.0
#: ... but at least this often: what it depends on may be back by dawn.
MAX_RETRY_S = 300.0
#: Jobs that must have failed at a worker, ...
SICK_JOBS = 3
#: ... and how many of them must run elsewhere, before the worker is blamed.
RUN_ELSEWHERE = 2
#: Failures longer ago than this say little about a worker's present state.
SICK_WINDOW_S = 900.0
#: A quarantined worker gets one task to show that it is well, after so long,
#: doubled with each that fails.
PROBE_S = 30.0
MAX_PROBE_S = 600.0


def retry_delay_s(failures: int) -> float:
    """Return how long a task waits after its last failure."""
    return min(RETRY_S * 2.0 ** max(min(failures, 30) - 1, 0), MAX_RETRY_S)


@attrs.define(slots=True)
class _Probe:
    """When a quarantined worker may next show that it is well."""

    at: float
    delay_s: float = PROBE_S


class FailureTracker:
    """What this lead saw fail, and where.

    It is kept in memory only.  A new lead starts it empty, and so at worst
    retries a task early, or takes a sick worker's next failures to blame it;
    the quarantine itself is on the log.
    """

    def __init__(self) -> None:
        self._failed_at: dict[tuple[str, int], float] = {}
        self._by_worker: dict[str, dict[str, float]] = {}
        self._by_job: dict[str, dict[str, float]] = {}
        self._probes: dict[str, _Probe] = {}

    def record(self, ending: Ending, worker: str, now: float) -> None:
        """Note an end that the log holds."""
        if ending.outcome == "done":
            self._by_worker.pop(worker, None)
            return
        if ending.outcome not in ("failed", "refused"):
            return
        self._failed_at[(ending.job_id, ending.index)] = now
        self._by_worker.setdefault(worker, {})[ending.job_id] = now
        self._by_job.setdefault(ending.job_id, {})[worker] = now
        probe = self._probes.get(worker)
        if probe is not None:
            probe.delay_s = min(2 * probe.delay_s, MAX_PROBE_S)
            probe.at = now + probe.delay_s

    def remove_job(self, job_id: str) -> None:
        """Drop what is known of a job that has ended."""
        self._by_job.pop(job_id, None)
        for key in [k for k in self._failed_at if k[0] == job_id]:
            del self._failed_at[key]

    def may_retry(self, job_id: str, index: int, failures: int, now: float) -> bool:
        """Return whether a failed task has waited long enough."""
        failed_at = self._failed_at.get((job_id, index))
        return failed_at is None or now >= failed_at + retry_delay_s(failures)

    def workers_to_avoid(self, job_id: str, now: float) -> frozenset[str]:
        """Return the workers that a job just failed on, unless it fails everywhere."""
        failed = self._by_job.get(job_id, {})
        recent = {w for w, at in failed.items() if now - at < MAX_RETRY_S}
        return frozenset(recent) if len(recent) < SICK_JOBS else frozenset()

    def workers_to_quarantine(
        self, zone: ZoneState, now: float
    ) -> list[tuple[str, str]]:
        """Return the workers to quarantine, and why.

        A job that fails at several workers proves nothing against any.  Only
        jobs that run elsewhere tell that it is the worker that fails them.
        """
        found = []
        for worker, failed in self._by_worker.items():
            if worker in zone.marks:
                continue
            recent = [j for j, at in failed.items() if now - at < SICK_WINDOW_S]
            if len(recent) < SICK_JOBS:
                continue
            elsewhere = [j for j in recent if _runs_elsewhere(zone, j, worker)]
            if len(elsewhere) >= RUN_ELSEWHERE:
                reason = (
                    f"{len(recent)} jobs failed here lately, "
                    f"of which {len(elsewhere)} run elsewhere"
                )
                found.append((worker, reason))
        return found

    def may_probe(self, worker: str, now: float) -> bool:
        """Return whether a quarantined worker may be given one task."""
        probe = self._probes.setdefault(worker, _Probe(now + PROBE_S))
        return now >= probe.at

    def note_recovered(self, worker: str) -> None:
        """Note that a worker's quarantine has ended."""
        self._probes.pop(worker, None)
        self._by_worker.pop(worker, None)


def _runs_elsewhere(zone: ZoneState, job_id: str, worker: str) -> bool:
    tasks = zone.tasks.get(job_id, {}).values()
    return any(t.worker != worker and t.outcome in ("", "done") for t in tasks)


def pending_tasks(
    entry: JobEntry, zone: ZoneState, may_retry: Callable[[str, int, int], bool]
) -> tuple[int, ...]:
    """Return the tasks of a job that are to be placed now.

    A gang waits until none of its tasks runs, since it starts all at once.
    """
    job = entry.job
    if entry.cancelled or entry.ended:
        return ()
    tasks = zone.tasks.get(job.key)
    if tasks is None:
        return tuple(range(job.tasks))
    wanted = []
    for index in range(job.tasks):
        task = tasks.get(index)
        if task is None:
            wanted.append(index)
        elif task.live:
            if job.gang:
                return ()
        elif task.outcome in ("failed", "refused"):
            if may_retry(job.key, index, task.failures):
                wanted.append(index)
            elif job.gang:
                return ()
        elif task.outcome != "done" or job.priority == "service":
            wanted.append(index)
    return tuple(wanted)


def outcome_of(entry: JobEntry, zone: ZoneState) -> str:
    """Return how a job has ended, or nothing if it has not."""
    tasks = zone.tasks.get(entry.job.key, {})
    if zone.live_tasks.get(entry.job.key):
        return ""
    if entry.cancelled:
        return "cancelled"
    if entry.job.priority == "service" or len(tasks) < entry.job.tasks:
        return ""
    done = all(task.outcome == "done" for task in tasks.values())
    return "done" if done else ""
