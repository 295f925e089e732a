"""The tasks of a step, in memory that grows with those that are active."""

from bisect import bisect_left, insort
from collections.abc import Callable, Iterator, Mapping, Sequence
from typing import Any, Generic, Protocol, TypeVar


class Trackable(Protocol):
    """What :class:`StepTasks` needs of a task."""

    index: int
    done: bool
    runs: Any


T = TypeVar("T", bound=Trackable)


class StepTasks(Generic[T]):
    """The tasks of a step by index.

    A task is active from its first start until it is done and its last run has ended.
    Only active tasks are kept as objects.  Of the others it is known whether they are
    done, with a bit each; those that were never started take no memory.

    :param make: creates the object of a task.
    :param is_done: whether all tasks are done.
    :ivar remaining: number of tasks that are not done.
    :ivar done_before: all tasks before this index are done.
    :ivar started_before: no task from this index on was ever started.
    """

    __slots__ = (
        "_active",
        "_done",
        "_make",
        "_waiting",
        "count",
        "done_before",
        "remaining",
        "started_before",
    )

    def __init__(
        self, make: Callable[[int], T], count: int, is_done: bool = False
    ) -> None:
        self._make = make
        self.count = count
        self.remaining = 0 if is_done else count
        self.done_before = self.started_before = count if is_done else 0
        self._done = bytearray()
        self._active: dict[int, T] = {}
        # Tasks before ``started_before`` that are not done and have no runs.
        self._waiting: list[int] = []

    def __len__(self) -> int:
        return self.count

    def __getitem__(self, index: int) -> T:
        if not 0 <= index < self.count:
            raise IndexError(index)
        task = self._active.get(index)
        if task is None:
            task = self._make(index)
            task.done = self._is_done(index)
        return task

    def __iter__(self) -> Iterator[T]:
        return (self[index] for index in range(self.count))

    @property
    def active(self) -> Mapping[int, T]:
        """The active tasks by index."""
        return self._active

    @property
    def waiting(self) -> int:
        """The number of tasks that are not done and have no runs."""
        return len(self._waiting) + self.count - self.started_before

    @property
    def waiting_again(self) -> Sequence[int]:
        """Those of the waiting tasks that are not beyond all started ones."""
        return self._waiting

    def waiting_indexes(self) -> Iterator[int]:
        """Yield the tasks that are not done and have no runs, in order."""
        yield from list(self._waiting)
        yield from range(self.started_before, self.count)

    def is_waiting(self, index: int) -> bool:
        """Return whether a task is not done and has no runs."""
        if index >= self.started_before:
            return index < self.count
        at = bisect_left(self._waiting, index)
        return at < len(self._waiting) and self._waiting[at] == index

    def adopt(self, task: T) -> T:
        """Return the object that is kept of a task, which may be another one."""
        return self._active.get(task.index, task)

    def complete(self, task: T) -> None:
        """Record that a task is done; :meth:`update` has to follow."""
        self._reach(task.index)
        task.done = True
        self.remaining -= 1
        self._done[task.index >> 3] |= 1 << (task.index & 7)
        while self.done_before < self.started_before and self._is_done(
            self.done_before
        ):
            self.done_before += 1
        if not self.remaining:
            self._done = bytearray()

    def update(self, task: T) -> int:
        """Record that a task was started, is done, or got or lost a run.

        :return: by how much the number of active tasks grew.
        """
        index, before = task.index, len(self._active)
        self._reach(index)
        is_waiting = not task.done and not task.runs
        if is_waiting != self.is_waiting(index):
            if is_waiting:
                insort(self._waiting, index)
            else:
                del self._waiting[bisect_left(self._waiting, index)]
        if task.done and not task.runs:
            self._active.pop(index, None)
        else:
            self._active[index] = task
        return len(self._active) - before

    def done_bits(self) -> bytes:
        """Return a bit for each task between those all done and those never started.

        The lowest bit of the first byte is that of the first task.
        """
        size = (self.started_before - self.done_before + 7) // 8
        start, shift = divmod(self.done_before, 8)
        window = int.from_bytes(self._done[start : start + size + 1], "little")
        mask = (1 << 8 * size) - 1
        return (window >> shift & mask).to_bytes(size, "little")

    def restore(self, done_before: int, started_before: int, bits: bytes) -> None:
        """Restore which tasks are done and which were never started.

        :param bits: as returned by :meth:`done_bits`.
        """
        if not self.remaining:
            return
        self.started_before = min(started_before, self.count)
        self.done_before = min(done_before, self.started_before)
        done = int.from_bytes(bits, "little") << self.done_before
        done |= (1 << self.done_before) - 1
        done &= (1 << self.started_before) - 1
        self._done = bytearray(done.to_bytes((self.started_before + 7) // 8, "little"))
        started = range(self.done_before, self.started_before)
        self._waiting = [index for index in started if not self._is_done(index)]
        self.remaining = self.count - self.started_before + len(self._waiting)

    def _is_done(self, index: int) -> bool:
        if index < self.done_before or not self.remaining:
            return True
        if index >= self.started_before:
            return False
        return bool(self._done[index >> 3] >> (index & 7) & 1)

    def _reach(self, index: int) -> None:
        """Count a task, and all before it, as started."""
        if index < self.started_before:
            return
        self._waiting.extend(range(self.started_before, index + 1))
        self.started_before = index + 1
        self._done.extend(bytes((index >> 3) + 1 - len(self._done)))


class IdleTasks(Mapping[int, T]):
    """The tasks of a step that may be assigned to a worker, in order, by index.

    These are the tasks that wait, and after them those of which a copy may run.
    """

    __slots__ = ("_copies", "_is_open", "_size", "_tasks")

    def __init__(self, tasks: StepTasks[T]) -> None:
        self._tasks = tasks
        self._copies: dict[int, T] = {}
        self._is_open = False
        self._size = 0

    def __len__(self) -> int:
        return self._size

    def __iter__(self) -> Iterator[int]:
        if self._is_open:
            yield from self._tasks.waiting_indexes()
        yield from list(self._copies)

    def __contains__(self, index: object) -> bool:
        if not isinstance(index, int) or index < 0:
            return False
        return index in self._copies or (
            self._is_open and self._tasks.is_waiting(index)
        )

    def __getitem__(self, index: int) -> T:
        if index not in self:
            raise KeyError(index)
        return self._tasks[index]

    def refresh(self, is_open: bool) -> None:
        """Update the number of tasks.

        :param is_open: whether the tasks that wait may be assigned.
        """
        self._is_open = is_open
        self._size = len(self._copies) + (self._tasks.waiting if is_open else 0)

    def add_copy(self, task: T) -> None:
        """Let a task run once more beside its runs."""
        if task.index not in self:
            self._copies[task.index] = task
            self._size += 1

    def remove_copy(self, index: int) -> None:
        """Do not let a task run beside its runs any more."""
        if self._copies.pop(index, None) is not None:
            self._size -= 1

    def clear_copies(self) -> None:
        """Let no task run beside its runs any more."""
        if self._copies:
            self._copies = {}
