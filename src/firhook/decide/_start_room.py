"""For how many more tasks the records and the memory of a lead have room."""

from collections import Counter
from collections.abc import Iterable

from firhook.cell import JobTable, Step, Task
from firhook.cell.job_limits import active_memory_bytes


class StartRoom:
    """The room for tasks that a round starts for the first time.

    Tasks that were started before take no more room than they have.
    """

    def __init__(self, book: JobTable) -> None:
        self._book = book
        self._row_bytes: Counter[str] = Counter()
        self._active_bytes = 0

    def count(self, step: Step, placed: int) -> int:
        """Return how many of a step's waiting tasks may start.

        :param placed: how many of them were placed in this round.
        """
        again = max(len(step.tasks.waiting_again) - placed, 0)
        row_bytes = step.row_bytes
        in_state = step.job.startable_tasks(step)
        in_state -= -(-self._row_bytes[step.job.id] // row_bytes)
        free = self._book.limits.active_bytes - self._book.active_bytes
        in_memory = (free - self._active_bytes) / active_memory_bytes(row_bytes)
        return again + max(int(min(in_state, in_memory)), 0)

    def take(self, step: Step, tasks: Iterable[Task]) -> None:
        """Count tasks that were placed."""
        new = sum(task.last_run == 0 for task in tasks)
        self._row_bytes[step.job.id] += new * step.row_bytes
        self._active_bytes += new * active_memory_bytes(step.row_bytes)
