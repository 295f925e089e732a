"""Task failures by job and worker: retries and quarantine.

Nobody may be watching when a worker fails everything it starts, or a job fails
wherever it starts.  Such a worker would fail the work of the whole fleet, since it
always has free capacity; such a job would cause one worker after another to be
quarantined.
"""

from collections.abc import Callable

import attrs

from firhook.model import Ending
from firhook.state import JobEntry, ZoneState

#: Delay before a failed task is retried, doubled with each failure, ...
INITIAL_RETRY_S = 1.0
#: ... up to this maximum, since a failed dependency may recover at any time.
MAX_RETRY_S = 300.0
#: Number of jobs that must have failed at a worker before it is quarantined, ...
QUARANTINE_MIN_JOBS = 3
#: ... and how many of these jobs must run elsewhere.
QUARANTINE_MIN_HEALTHY_JOBS = 2
#: Failures older than this say little about a worker's current state.
FAILURE_WINDOW_S = 900.0
#: Delay before a quarantined worker gets one task as a probe, doubled with each
#: failed probe.
INITIAL_PROBE_S = 30.0
MAX_PROBE_S = 600.0


def retry_delay_s(failures: int) -> float:
    """Return the delay before a task is retried, in seconds."""
    return min(INITIAL_RETRY_S * 2.0 ** max(min(failures, 30) - 1, 0), MAX_RETRY_S)


@attrs.define(slots=True)
class _Probe:
    """When a quarantined worker may next be probed."""

    at: float
    delay_s: float = INITIAL_PROBE_S


class FailureTracker:
    """Failures that this lead observed, by job and worker.

    Kept in memory only.  A new lead starts empty, so at worst it retries a task
    early or needs a few more failures to quarantine a faulty worker.  The
    quarantine itself is in the log.
    """

    def __init__(self) -> None:
        self._failed_at: dict[tuple[str, int], float] = {}
        self._failures_by_worker: dict[str, dict[str, float]] = {}
        self._failures_by_job: dict[str, dict[str, float]] = {}
        self._probes: dict[str, _Probe] = {}

    def record(self, ending: Ending, worker: str, now: float) -> None:
        """Record an end that is in the log."""
        if ending.outcome == "done":
            self._failures_by_worker.pop(worker, None)
            return
        if ending.outcome not in ("failed", "refused"):
            return
        self._failed_at[(ending.job_id, ending.index)] = now
        self._failures_by_worker.setdefault(worker, {})[ending.job_id] = now
        self._failures_by_job.setdefault(ending.job_id, {})[worker] = now
        probe = self._probes.get(worker)
        if probe is not None:
            probe.delay_s = min(2 * probe.delay_s, MAX_PROBE_S)
            probe.at = now + probe.delay_s

    def remove_job(self, job_id: str) -> None:
        """Delete the failures of a job that has ended."""
        self._failures_by_job.pop(job_id, None)
        for key in [k for k in self._failed_at if k[0] == job_id]:
            del self._failed_at[key]

    def may_retry(self, job_id: str, index: int, failures: int, now: float) -> bool:
        """Return whether the retry delay of a failed task has passed."""
        failed_at = self._failed_at.get((job_id, index))
        return failed_at is None or now >= failed_at + retry_delay_s(failures)

    def workers_to_avoid(self, job_id: str, now: float) -> frozenset[str]:
        """Return the workers where a job recently failed, if they are few."""
        failed = self._failures_by_job.get(job_id, {})
        recent = {w for w, at in failed.items() if now - at < MAX_RETRY_S}
        return frozenset(recent) if len(recent) < QUARANTINE_MIN_JOBS else frozenset()

    def workers_to_quarantine(
        self, zone: ZoneState, now: float
    ) -> list[tuple[str, str]]:
        """Return the workers to quarantine, with the reason.

        A job that fails on several workers is no evidence against any of them.
        Only jobs that run elsewhere show that the worker is at fault.
        """
        found = []
        for worker, failed in self._failures_by_worker.items():
            if worker in zone.marks:
                continue
            recent = [j for j, at in failed.items() if now - at < FAILURE_WINDOW_S]
            if len(recent) < QUARANTINE_MIN_JOBS:
                continue
            elsewhere = [j for j in recent if _runs_elsewhere(zone, j, worker)]
            if len(elsewhere) >= QUARANTINE_MIN_HEALTHY_JOBS:
                reason = (
                    f"{len(recent)} jobs failed here lately, "
                    f"of which {len(elsewhere)} run elsewhere"
                )
                found.append((worker, reason))
        return found

    def may_probe(self, worker: str, now: float) -> bool:
        """Return whether a quarantined worker may get one task as a probe."""
        probe = self._probes.setdefault(worker, _Probe(now + INITIAL_PROBE_S))
        return now >= probe.at

    def note_recovered(self, worker: str) -> None:
        """Record that a worker's quarantine has ended."""
        self._probes.pop(worker, None)
        self._failures_by_worker.pop(worker, None)


def _runs_elsewhere(zone: ZoneState, job_id: str, worker: str) -> bool:
    tasks = zone.tasks.get(job_id, {}).values()
    return any(t.worker != worker and t.outcome in ("", "done") for t in tasks)


def pending_tasks(
    entry: JobEntry, zone: ZoneState, may_retry: Callable[[str, int, int], bool]
) -> tuple[int, ...]:
    """Return the tasks of a job that must be placed now.

    A gang waits until none of its tasks runs, since they start together.
    """
    job = entry.job
    if entry.cancelled or entry.ended:
        return ()
    tasks = zone.tasks.get(job.key)
    if tasks is None:
        return tuple(range(job.tasks))
    indexes = []
    for index in range(job.tasks):
        task = tasks.get(index)
        if task is None:
            indexes.append(index)
        elif task.live:
            if job.gang:
                return ()
        elif task.outcome in ("failed", "refused"):
            if may_retry(job.key, index, task.failures):
                indexes.append(index)
            elif job.gang:
                return ()
        elif task.outcome != "done" or job.priority == "service":
            indexes.append(index)
    return tuple(indexes)


def outcome_of(entry: JobEntry, zone: ZoneState) -> str:
    """Return how a job has ended, or an empty string if it has not."""
    tasks = zone.tasks.get(entry.job.key, {})
    if zone.live_tasks.get(entry.job.key):
        return ""
    if entry.cancelled:
        return "cancelled"
    if entry.job.priority == "service" or len(tasks) < entry.job.tasks:
        return ""
    done = all(task.outcome == "done" for task in tasks.values())
    return "done" if done else ""
