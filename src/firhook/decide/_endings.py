"""Ends of attempts and jobs: what they say of workers, and when to forget them."""

from firhook.decide._failure_tracker import FailureTracker, outcome_of
from firhook.model import Ending, JobEnd, WorkerMarked
from firhook.state import CellState, ZoneState

QUARANTINED = "quarantined"

#: Attempts of ended jobs stay on show for so long, ...
CLOSE_AFTER_S = 300.0
#: ... unless there are more of them than this, about 1 MB.
MAX_SHOWN_TASKS = 4000


class Endings:
    """Follows the ends that a zone's log holds.

    :param ledger: failures by worker and by job, shared with placing.
    """

    def __init__(
        self, zone: ZoneState, cell: CellState, failures: FailureTracker
    ) -> None:
        self._zone = zone
        self._cell = cell
        self._failures = failures
        self._ended_at: dict[str, float] = {}

    def record(self, endings: tuple[Ending, ...], now: float) -> None:
        """Note ends that the log holds by now."""
        for ending in endings:
            task = self._zone.tasks.get(ending.job_id, {}).get(ending.index)
            if task is not None:
                self._failures.record(ending, task.worker, now)

    def worker_marks(
        self, endings: tuple[Ending, ...], now: float
    ) -> list[WorkerMarked]:
        """Return the workers to quarantine and to take back."""
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
        """Return the jobs that have ended and are not yet recorded so."""
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
        """Return the jobs whose attempts need no longer be remembered."""
        over = []
        for key in self._zone.tasks:
            entry = self._cell.jobs.get(key)
            here = entry is not None and entry.zone == self._zone.zone
            if here and entry is not None and not entry.ended:
                continue
            if not self._zone.live_tasks.get(key):
                over.append(key)
        for key in over:
            self._ended_at.setdefault(key, now)
        shown = sum(len(self._zone.tasks[key]) for key in over)
        closed = []
        for key in sorted(over, key=lambda k: self._ended_at[k]):
            if shown <= MAX_SHOWN_TASKS and now < self._ended_at[key] + CLOSE_AFTER_S:
                break
            shown -= len(self._zone.tasks[key])
            closed.append(key)
        for key in closed:
            del self._ended_at[key]
            self._failures.remove_job(key)
            self._told.pop(key, None)
        return tuple(closed)
