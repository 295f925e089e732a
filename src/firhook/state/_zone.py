"""Attempts of tasks in one zone, as the log has them."""

from typing import Any

import attrs
import msgspec

from firhook.model import (
    Assigned,
    Ended,
    JobNoted,
    Verdict,
    WorkerMarked,
    to_builtins,
)
from firhook.state._base import StreamState

#: Explained steps kept for each job; the oldest go first.
MAX_NOTES = 50


@attrs.frozen(slots=True)
class TaskState:
    """The latest attempt of one task.

    :param attempt: number of the attempt, from 1.
    :param worker: where it was placed.
    :param outcome: empty while it may be running, else how it ended.
    :param progress: checkpointed share of the work, 0 to 1.
    :param failures: attempts that ended by the job's own failure.
    """

    attempt: int
    worker: str
    outcome: str = ""
    reason: str = ""
    progress: float = 0.0
    failures: int = 0

    @property
    def live(self) -> bool:
        """Whether the attempt may be running."""
        return not self.outcome


class ZoneState(StreamState):
    """Attempts by job and task index, worker marks and explained steps."""

    def __init__(self, zone: str) -> None:
        super().__init__()
        self.zone = zone
        self.epoch = 0
        self.tasks: dict[str, dict[int, TaskState]] = {}
        self.marks: dict[str, tuple[str, str]] = {}
        self.notes: dict[str, list[str]] = {}

    def apply_body(self, offset: int, lane: str, body: Any) -> Verdict:
        """Apply assignments, endings, marks or notes."""
        if isinstance(body, (Assigned, Ended)):
            if body.epoch < self.epoch:
                # A lead that lost its epoch while it was paused may still have
                # had an append on its way; its successor's view stands.
                return Verdict.CONFLICT
            self.epoch = body.epoch
        if isinstance(body, Assigned):
            return self._apply_assigned(body)
        if isinstance(body, Ended):
            return self._apply_ended(body)
        if isinstance(body, WorkerMarked):
            self.marks[body.worker] = (body.mark, body.reason)
            return Verdict.APPLIED
        if isinstance(body, JobNoted):
            self.note(body.job_id, body.note)
            return Verdict.APPLIED
        return Verdict.IGNORED

    def note(self, job_key: str, text: str) -> None:
        """Remember an explained step of a job."""
        notes = self.notes.setdefault(job_key, [])
        notes.append(text)
        del notes[:-MAX_NOTES]

    def _apply_assigned(self, batch: Assigned) -> Verdict:
        applied = False
        for item in batch.items:
            tasks = self.tasks.setdefault(item.job_id, {})
            last = tasks.get(item.index)
            expected = last.attempt + 1 if last else 1
            if item.attempt != expected or (last and last.live):
                continue
            applied = True
            tasks[item.index] = TaskState(
                item.attempt,
                item.worker,
                progress=last.progress if last else 0.0,
                failures=last.failures if last else 0,
            )
        return Verdict.APPLIED if applied else Verdict.CONFLICT

    def _apply_ended(self, batch: Ended) -> Verdict:
        applied = False
        for item in batch.items:
            last = self.tasks.get(item.job_id, {}).get(item.index)
            if last is None or last.attempt != item.attempt or not last.live:
                continue
            applied = True
            failed = item.outcome == "failed"
            self.tasks[item.job_id][item.index] = attrs.evolve(
                last,
                outcome=item.outcome,
                reason=item.reason,
                progress=max(last.progress, item.progress),
                failures=last.failures + failed,
            )
        return Verdict.APPLIED if applied else Verdict.CONFLICT

    def forget(self, job_key: str) -> None:
        """Drop a job that has ended and whose end was told."""
        self.tasks.pop(job_key, None)
        self.notes.pop(job_key, None)

    def dump(self) -> Any:
        """Return the state as plain data."""
        return to_builtins(
            {
                "epoch": self.epoch,
                "tasks": {
                    job: {str(i): t for i, t in tasks.items()}
                    for job, tasks in self.tasks.items()
                },
                "marks": self.marks,
                "notes": self.notes,
            }
        )

    def load(self, data: Any) -> None:
        """Replace the state by dumped plain data."""
        self.epoch = data["epoch"]
        tasks = msgspec.convert(
            data["tasks"], dict[str, dict[int, TaskState]], strict=False
        )
        self.tasks = tasks
        self.marks = {w: (m[0], m[1]) for w, m in data["marks"].items()}
        self.notes = data["notes"]
