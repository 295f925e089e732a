"""Ends of attempts and jobs: what they say of workers, and when to forget them."""

from firhook.decide._repair import Ledger, outcome_of
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

    def __init__(self, zone: ZoneState, cell: CellState, ledger: Ledger) -> None:
        self._zone = zone
        self._cell = cell
        self._ledger = ledger
        self._ended_at: dict[str, float] = {}

    def note(self, endings: tuple[Ending, ...], now: float) -> None:
        """Note ends that the log holds by now."""
        for ending in endings:
            task = self._zone.tasks.get(ending.job_id, {}).get(ending.index)
            if task is not None:
                self._ledger.note(ending, task.worker, now)

    def marks(self, endings: tuple[Ending, ...], now: float) -> list[WorkerMarked]:
        """Return the workers to quarantine and to take back."""
        marks = [
            WorkerMarked(worker, QUARANTINED, reason)
            for worker, reason in self._ledger.sick(self._zone, now)
        ]
        for ending in endings:
            task = self._zone.tasks.get(ending.job_id, {}).get(ending.index)
            if task is None or ending.outcome != "done":
                continue
            if task.worker in self._zone.marks:
                self._ledger.recovered(task.worker)
                marks.append(WorkerMarked(task.worker, "", "a task ended well on it"))
        return marks

    def ended_jobs(self) -> tuple[JobEnd, ...]:
        """Return the jobs that have ended and are not yet recorded so."""
        ended = []
        for entry in self._cell.jobs_of(self._zone.zone):
            key = entry.job.key
            if self._zone.live_tasks.get(key):
                continue
            if key not in self._zone.tasks and not entry.cancelled:
                continue
            outcome = outcome_of(entry, self._zone)
            if outcome:
                ended.append(JobEnd(key, outcome))
        return tuple(ended)

    def closable(self, now: float) -> tuple[str, ...]:
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
            self._ledger.forget_job(key)
            self._told.pop(key, None)
        return tuple(closed)
