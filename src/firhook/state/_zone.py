"""Attempts of tasks in one zone according to the log."""

from collections.abc import Iterator, Sequence
from typing import Any

import attrs
import msgspec

from firhook.model import (
    Assigned,
    Assignment,
    CarriedTask,
    Ended,
    Ending,
    JobNote,
    JobNoted,
    JobsClosed,
    JobsNoted,
    TasksCarried,
    Verdict,
    WorkerMarked,
    ZoneFenced,
    to_builtins,
)
from firhook.state._base import StreamState

#: Maximum number of notes per job; the oldest are deleted first.
MAX_NOTES = 20
#: Maximum number of ended jobs whose notes are kept.  4,900 jobs a day over seven
#: zones are 700 a day per zone, so this covers most of a day, in about 1 MB.
MAX_CLOSED = 500

#: An attempt: the id of its job, the index of its task and its number.
Ref = tuple[str, int, int]


@attrs.frozen(slots=True)
class TaskState:
    """The latest attempt of one task.

    :param attempt: number of the attempt, from 1.
    :param worker: the worker that it is assigned to.
    :param outcome: empty while it may be running, else how it ended.
    :param progress: checkpointed fraction of the work, from 0 to 1.
    :param failures: number of attempts that ended by the job's own failure.
    :param epoch: epoch of the lead that assigned the attempt.
    :param preempted: number of attempts that were preempted by urgent work.
    """

    attempt: int
    worker: str
    outcome: str = ""
    reason: str = ""
    progress: float = 0.0
    failures: int = 0
    epoch: int = 0
    preempted: int = 0

    @property
    def live(self) -> bool:
        """Whether the attempt may be running."""
        return not self.outcome


class ZoneState(StreamState):
    """Attempts by job and task index, worker marks and notes on jobs.

    :ivar marks: mark, such as ``quarantined``, and its reason, by worker.
    :ivar live: attempts that may be running, by worker; derived.
    :ivar running: number of these per team; derived.
    :ivar live_tasks: number of these per job; derived.
    :ivar changed_workers: workers whose attempts changed; the reader clears it.
    :ivar closed: jobs whose attempts were deleted, oldest first.
    """

    def __init__(self, zone: str) -> None:
        super().__init__()
        self.zone = zone
        self.epoch = 0
        self.tasks: dict[str, dict[int, TaskState]] = {}
        self.marks: dict[str, tuple[str, str]] = {}
        self.notes: dict[str, list[str]] = {}
        self.closed: dict[str, bool] = {}
        self.live: dict[str, dict[Ref, TaskState]] = {}
        self.running: dict[str, int] = {}
        self.live_tasks: dict[str, int] = {}
        self.changed_workers: set[str] = set()

    def apply_body(self, offset: int, lane: str, body: Any) -> Verdict:
        """Apply assignments, endings, marks or notes."""
        if isinstance(body, (ZoneFenced, Assigned, Ended, JobsClosed, TasksCarried)):
            if body.epoch < self.epoch:
                # An append of a lead that was superseded while it was paused may
                # land late; the state of its successor takes precedence.
                return Verdict.CONFLICT
            self.epoch = body.epoch
        if isinstance(body, ZoneFenced):
            return Verdict.APPLIED
        if isinstance(body, Assigned):
            return self._apply_assigned(body)
        if isinstance(body, Ended):
            return self._apply_ended(body)
        if isinstance(body, TasksCarried):
            return self._apply_carried(body)
        if isinstance(body, JobsClosed):
            return self._apply_closed(body)
        if isinstance(body, WorkerMarked):
            return self._apply_mark(body)
        if isinstance(body, JobNoted):
            self._add_note(body.job_id, body.note)
            return Verdict.APPLIED
        if isinstance(body, JobsNoted):
            self._add_notes(body.notes)
            return Verdict.APPLIED
        return Verdict.IGNORED

    def live_attempts(self) -> Iterator[tuple[str, Ref, TaskState]]:
        """Return every attempt that may be running, with its worker."""
        for worker, refs in self.live.items():
            for ref, task in refs.items():
                yield worker, ref, task

    def is_live(self, ref: Ref) -> bool:
        """Return whether an attempt may be running."""
        task = self.tasks.get(ref[0], {}).get(ref[1])
        return task is not None and task.attempt == ref[2] and task.live

    def _store_task(self, job_id: str, index: int, task: TaskState) -> None:
        """Store a task's state and update the derived indexes."""
        tasks = self.tasks.setdefault(job_id, {})
        self._remove_live(job_id, index, tasks.get(index))
        tasks[index] = task
        if task.live:
            ref = (job_id, index, task.attempt)
            self.live.setdefault(task.worker, {})[ref] = task
            self._add_to_counts(job_id, 1)
            self.changed_workers.add(task.worker)

    def _remove_live(self, job_id: str, index: int, task: TaskState | None) -> None:
        if task is None or not task.live:
            return
        refs = self.live[task.worker]
        del refs[(job_id, index, task.attempt)]
        if not refs:
            del self.live[task.worker]
        self._add_to_counts(job_id, -1)
        self.changed_workers.add(task.worker)

    def _add_to_counts(self, job_id: str, amount: int) -> None:
        team = job_id.partition("/")[0]
        for counts, key in ((self.running, team), (self.live_tasks, job_id)):
            counts[key] = counts.get(key, 0) + amount
            if not counts[key]:
                del counts[key]

    def _add_note(self, job_id: str, text: str) -> None:
        notes = self.notes.setdefault(job_id, [])
        notes.append(text)
        del notes[:-MAX_NOTES]

    def _add_notes(self, notes: Sequence[JobNote]) -> None:
        for note in notes:
            self._add_note(note.job_id, note.text)

    def _apply_assigned(self, batch: Assigned) -> Verdict:
        applied_items = []
        for item in batch.items:
            last = self.tasks.get(item.job_id, {}).get(item.index)
            expected = last.attempt + 1 if last else 1
            if item.attempt != expected or (last and last.live):
                continue
            self.closed.pop(item.job_id, None)
            task = TaskState(
                item.attempt,
                item.worker,
                progress=last.progress if last else 0.0,
                failures=last.failures if last else 0,
                epoch=batch.epoch,
                preempted=last.preempted if last else 0,
            )
            self._store_task(item.job_id, item.index, task)
            applied_items.append(item)
        for job_id, text in _assigned_notes(applied_items):
            self._add_note(job_id, text)
        self._add_notes(batch.notes)
        return Verdict.APPLIED if applied_items else Verdict.CONFLICT

    def _apply_ended(self, batch: Ended) -> Verdict:
        applied_items = []
        for item in batch.items:
            if not self.is_live((item.job_id, item.index, item.attempt)):
                continue
            last = self.tasks[item.job_id][item.index]
            task = attrs.evolve(
                last,
                outcome=item.outcome,
                reason=item.reason,
                progress=max(last.progress, item.progress),
                failures=last.failures + (item.outcome == "failed"),
                preempted=last.preempted + (item.outcome == "preempted"),
            )
            self._store_task(item.job_id, item.index, task)
            applied_items.append((item, task.worker))
        for job_id, text in _ended_notes(applied_items):
            self._add_note(job_id, text)
        return Verdict.APPLIED if applied_items else Verdict.CONFLICT

    def _apply_carried(self, batch: TasksCarried) -> Verdict:
        """Adopt the attempts of a lost zone, all of them ended.

        A job can return to a zone that had it before.  Attempts that the zone still
        stores are older and are replaced unless they may be running.
        """
        jobs: dict[str, int] = {}
        for item in batch.items:
            last = self.tasks.get(item.job_id, {}).get(item.index)
            if last is not None and (last.live or last.attempt >= item.attempt):
                continue
            self.closed.pop(item.job_id, None)
            self._store_task(item.job_id, item.index, _adopted_task(item))
            jobs[item.job_id] = jobs.get(item.job_id, 0) + 1
        for job_id, count in jobs.items():
            self._add_note(job_id, f"{count} tasks taken over from zone {batch.giver}")
        return Verdict.APPLIED if jobs else Verdict.CONFLICT

    def _apply_closed(self, batch: JobsClosed) -> Verdict:
        applied = False
        for job_id in batch.job_ids:
            tasks = self.tasks.get(job_id, {})
            if any(task.live for task in tasks.values()):
                continue
            applied = True
            self.tasks.pop(job_id, None)
            self.closed.pop(job_id, None)
            self.closed[job_id] = True
        while len(self.closed) > MAX_CLOSED:
            oldest = next(iter(self.closed))
            del self.closed[oldest]
            self.notes.pop(oldest, None)
        return Verdict.APPLIED if applied else Verdict.CONFLICT

    def _apply_mark(self, body: WorkerMarked) -> Verdict:
        if body.mark:
            self.marks[body.worker] = (body.mark, body.reason)
        else:
            self.marks.pop(body.worker, None)
        return Verdict.APPLIED

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
                "closed": list(self.closed),
            }
        )

    def load(self, data: Any) -> None:
        """Replace the state by dumped plain data, or leave it unchanged on errors."""
        loaded = msgspec.convert(
            data["tasks"], dict[str, dict[int, TaskState]], strict=False
        )
        marks = msgspec.convert(data["marks"], dict[str, tuple[str, str]])
        notes = msgspec.convert(data["notes"], dict[str, list[str]])
        closed = msgspec.convert(data["closed"], list[str])
        self.epoch = msgspec.convert(data["epoch"], int)
        self.marks, self.notes = marks, notes
        self.closed = dict.fromkeys(closed, True)
        self.changed_workers |= self.live.keys()
        self.tasks, self.live, self.running, self.live_tasks = {}, {}, {}, {}
        for job_id, tasks in loaded.items():
            for index, task in tasks.items():
                self._store_task(job_id, index, task)


def _adopted_task(item: CarriedTask) -> TaskState:
    return TaskState(
        item.attempt,
        "",
        outcome=item.outcome,
        reason="its zone was lost" if item.outcome == "lost" else "",
        progress=item.progress,
        failures=item.failures,
    )


def _describe_tasks(indexes: Sequence[int]) -> str:
    """Describe task numbers in words, as a range if there are many."""
    if len(indexes) == 1:
        return f"task {indexes[0]}"
    if len(indexes) <= 4:
        return "tasks " + ", ".join(map(str, sorted(indexes)))
    return f"{len(indexes)} tasks ({min(indexes)} to {max(indexes)})"


def _assigned_notes(items: Sequence[Assignment]) -> list[tuple[str, str]]:
    """Return one combined note per job and attempt of a batch."""
    groups: dict[tuple[str, int], list[Assignment]] = {}
    for item in items:
        groups.setdefault((item.job_id, item.attempt), []).append(item)
    notes = []
    for (job_id, attempt), group in groups.items():
        workers = sorted({item.worker for item in group})
        where = ", ".join(workers[:4])
        if len(workers) > 4:
            where += f" and {len(workers) - 4} more"
        names = _describe_tasks([item.index for item in group])
        notes.append((job_id, f"{names}: attempt {attempt} placed on {where}"))
    return notes


def _ended_notes(items: Sequence[tuple[Ending, str]]) -> list[tuple[str, str]]:
    """Return one combined note per job, outcome and reason of a batch."""
    groups: dict[tuple[str, str, str], list[tuple[Ending, str]]] = {}
    for item, worker in items:
        groups.setdefault((item.job_id, item.outcome, item.reason), []).append(
            (item, worker)
        )
    notes = []
    for (job_id, outcome, reason), group in groups.items():
        names = _describe_tasks([item.index for item, _ in group])
        where = f" on {group[0][1]}" if len({w for _, w in group}) == 1 else ""
        why = f": {reason}" if reason else ""
        notes.append((job_id, f"{names}: {outcome}{where}{why}"))
    return notes
