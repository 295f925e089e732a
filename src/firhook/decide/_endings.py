"""Consequences of ended attempts: worker quarantine, job ends and retention."""

from collections.abc import Callable

from firhook.decide._failure_tracker import FailureTracker, outcome_of
from firhook.model import Ending, JobEnd, WorkerMarked
from firhook.state import CellState, ZoneState

QUARANTINED = "quarantined"

#: How long the attempts of an ended job stay visible, ...
CLOSE_AFTER_S = 300.0
#: ... unless there are more than this many, about 1 MB.
MAX_SHOWN_TASKS = 4000


class Endings:
    """Processes the ended attempts in a zone's log.

    :param failures: failures by worker and by job, shared with placement.
    :param on_closed: called with each job whose attempts are deleted.
    """

    def __init__(
        self,
        zone: ZoneState,
        cell: CellState,
        failures: FailureTracker,
        on_closed: Callable[[str], None],
    ) -> None:
        self._zone = zone
        self._cell = cell
        self._failures = failures
        self._on_closed = on_closed
        self._ended_at: dict[str, float] = {}

    def record(self, endings: tuple[Ending, ...], now: float) -> None:
        """Record ends that are now in the log."""
        for ending in endings:
            task = self._zone.tasks.get(ending.job_id, {}).get(ending.index)
            if task is not None:
                self._failures.record(ending, task.worker, now)

    def worker_marks(
        self, endings: tuple[Ending, ...], now: float
    ) -> list[WorkerMarked]:
        """Return the workers to quarantine or to release from quarantine."""
        marks = [
            WorkerMarked(worker, QUARANTINED, reason)
            for worker, reason in self._failures.workers_to_quarantine(self._zone, now)
        ]
        for ending in endings:
            task = self._zone.tasks.get(ending.job_id, {}).get(ending.index)
            if task is None or ending.outcome != "done":
                continue
            if task.worker in self._zone.marks:
                self._failures.note_recovered(task.worker)
                marks.append(WorkerMarked(task.worker, "", "a task ended well on it"))
        return marks

    def ended_jobs(self) -> tuple[JobEnd, ...]:
        """Return the jobs that have ended without a record of their end."""
        ended = []
        for entry in self._cell.open_jobs(self._zone.zone):
            key = entry.job.key
            if self._zone.live_tasks.get(key):
                continue
            if key not in self._zone.tasks and not entry.cancelled:
                continue
            outcome = outcome_of(entry, self._zone)
            if outcome:
                ended.append(JobEnd(key, outcome))
        return tuple(ended)

    def closable_jobs(self, now: float) -> tuple[str, ...]:
        """Return the jobs whose attempts may be deleted."""
        finished = []
        for key in self._zone.tasks:
            entry = self._cell.jobs.get(key)
            owned = entry is not None and entry.zone == self._zone.zone
            if owned and entry is not None and not entry.ended:
                continue
            if not self._zone.live_tasks.get(key):
                finished.append(key)
        for key in finished:
            self._ended_at.setdefault(key, now)
        shown_tasks = sum(len(self._zone.tasks[key]) for key in finished)
        closed = []
        for key in sorted(finished, key=lambda k: self._ended_at[k]):
            if (
                shown_tasks <= MAX_SHOWN_TASKS
                and now < self._ended_at[key] + CLOSE_AFTER_S
            ):
                break
            shown_tasks -= len(self._zone.tasks[key])
            closed.append(key)
        for key in closed:
            del self._ended_at[key]
            self._failures.remove_job(key)
            self._on_closed(key)
        return tuple(closed)
