"""Placing: best fit by dominant resource, never above what a worker has."""

from bisect import bisect_left, insort
from collections.abc import Iterable, Mapping, Set

import attrs

from firhook.model import JobSpec

#: Fitting workers that are compared for each task.  The search goes from the
#: fullest up, so that the first few are the tightest; looking at all 910 for
#: each of 62 starts a second would cost a core more than control may take.
MAX_CANDIDATES = 12

_SLACK = 1e-9


@attrs.frozen(slots=True)
class ResourceNeed:
    """What one task needs."""

    cpus: float
    memory_mb: int
    accelerators: int

    @classmethod
    def of(cls, job: JobSpec) -> "ResourceNeed":
        """Return what each task of a job needs."""
        return cls(job.cpus, job.memory_mb, job.accelerators)

    def covers(self, other: "ResourceNeed") -> bool:
        """Return whether this need is at least another in every resource."""
        return (
            self.cpus >= other.cpus
            and self.memory_mb >= other.memory_mb
            and self.accelerators >= other.accelerators
        )


@attrs.define(slots=True)
class WorkerCapacity:
    """What a worker has left."""

    worker: str
    rack: str
    cpus: float
    memory_mb: int
    accelerators: int

    def fits(self, need: ResourceNeed) -> bool:
        """Return whether a task fits whole."""
        return (
            need.cpus <= self.cpus + _SLACK
            and need.memory_mb <= self.memory_mb
            and need.accelerators <= self.accelerators
        )

    def reserve(self, need: ResourceNeed) -> None:
        """Reserve what a task needs."""
        self.cpus -= need.cpus
        self.memory_mb -= need.memory_mb
        self.accelerators -= need.accelerators

    def release(self, need: ResourceNeed) -> None:
        """Free what a task needed."""
        self.cpus += need.cpus
        self.memory_mb += need.memory_mb
        self.accelerators += need.accelerators

    def count_fitting(self, need: ResourceNeed) -> int:
        """Return how many such tasks fit."""
        counts = [(self.cpus + _SLACK) // need.cpus, self.memory_mb // need.memory_mb]
        if need.accelerators:
            counts.append(self.accelerators // need.accelerators)
        return max(int(min(counts)), 0)


class CapacityIndex:
    """The rooms of a zone's workers, in order of what they have left.

    Workers with accelerators stand apart: a task that needs none gets one of
    them only when no other worker has room.

    :param mb_per_cpu: memory that goes with one processor over the zone, by
        which processors and memory are compared.
    """

    def __init__(
        self, capacities: Iterable[WorkerCapacity], mb_per_cpu: float = 0.0
    ) -> None:
        self.by_name = {capacity.worker: capacity for capacity in capacities}
        self.mb_per_cpu = mb_per_cpu or self._ratio()
        self._plain: list[tuple[float, str]] = []
        self._accelerated: list[tuple[float, str]] = []
        for capacity in self.by_name.values():
            self._order_of(capacity).append(self._entry(capacity))
        self._plain.sort()
        self._accelerated.sort()

    def _ratio(self) -> float:
        cpus = sum(max(r.cpus, 0.0) for r in self.by_name.values())
        memory = sum(max(r.memory_mb, 0) for r in self.by_name.values())
        return memory / cpus if cpus > 0 and memory > 0 else 2048.0

    def copy(self) -> "CapacityIndex":
        """Return rooms of their own that stand as these do."""
        copies = [attrs.evolve(capacity) for capacity in self.by_name.values()]
        return CapacityIndex(copies, self.mb_per_cpu)

    def put(self, capacity: WorkerCapacity) -> None:
        """Add a worker, or replace what it has left."""
        self.remove(capacity.worker)
        self.by_name[capacity.worker] = capacity
        insort(self._order_of(capacity), self._entry(capacity))

    def remove(self, worker: str) -> None:
        """Take a worker out, if it is there."""
        capacity = self.by_name.get(worker)
        if capacity is not None:
            self._remove(capacity)
            del self.by_name[worker]

    def _size(self, cpus: float, memory_mb: float) -> float:
        return max(cpus, memory_mb / self.mb_per_cpu)

    def _entry(self, capacity: WorkerCapacity) -> tuple[float, str]:
        return (self._size(capacity.cpus, capacity.memory_mb), capacity.worker)

    def _order_of(self, capacity: WorkerCapacity) -> list[tuple[float, str]]:
        return self._accelerated if capacity.accelerators > 0 else self._plain

    def _remove(self, capacity: WorkerCapacity) -> None:
        order = self._order_of(capacity)
        del order[bisect_left(order, self._entry(capacity))]

    def reserve(self, worker: str, need: ResourceNeed) -> None:
        """Reserve what a task needs on a worker."""
        capacity = self.by_name[worker]
        self._remove(capacity)
        capacity.reserve(need)
        insort(self._order_of(capacity), self._entry(capacity))

    def release(self, worker: str, need: ResourceNeed) -> None:
        """Free what a task needed on a worker."""
        capacity = self.by_name[worker]
        self._remove(capacity)
        capacity.release(need)
        insort(self._order_of(capacity), self._entry(capacity))

    def best_fit(
        self, need: ResourceNeed, avoid: Set[str] = frozenset()
    ) -> WorkerCapacity | None:
        """Return the worker that a task fits most tightly, or ``None``.

        The worker left with the least of its scarcest resource is filled
        first, which keeps others whole for large tasks; of the tightest few
        the one is taken whose processors and memory are left in balance, so
        that neither is stranded without the other.
        """
        if need.accelerators == 0:
            capacity = self._find(self._plain, need, avoid)
            if capacity is not None:
                return capacity
        return self._find(self._accelerated, need, avoid)

    def _find(
        self, order: list[tuple[float, str]], need: ResourceNeed, avoid: Set[str]
    ) -> WorkerCapacity | None:
        ratio = self.mb_per_cpu
        need_cpus, need_memory = need.cpus, need.memory_mb / ratio
        least = max(need_cpus, need_memory) - _SLACK
        best, best_score, seen = None, float("inf"), 0
        by_name = self.by_name
        for i in range(bisect_left(order, (least, "")), len(order)):
            capacity = by_name[order[i][1]]
            if not capacity.fits(need) or capacity.worker in avoid:
                continue
            cpus = capacity.cpus - need_cpus
            memory = capacity.memory_mb / ratio - need_memory
            score = abs(cpus - memory)
            if score < best_score:
                best, best_score = capacity, score
            seen += 1
            if seen >= MAX_CANDIDATES:
                break
        return best

    def spread_fit(
        self,
        need: ResourceNeed,
        racks: Mapping[str, int],
        avoid: Set[str] = frozenset(),
    ) -> WorkerCapacity | None:
        """Return a worker in the rack with the fewest replicas, or ``None``.

        A rack goes every month or two; a service whose replicas share one
        would be gone with it.  Every worker is looked at: services start
        seldom, and the choice lasts.
        """
        best, best_key = None, (float("inf"), True, float("inf"), "")
        for capacity in self.by_name.values():
            if not capacity.fits(need) or capacity.worker in avoid:
                continue
            size, name = self._entry(capacity)
            wasted = capacity.accelerators > 0 and need.accelerators == 0
            key = (racks.get(capacity.rack, 0), wasted, size, name)
            if key < best_key:
                best, best_key = capacity, key
        return best

    def reserve_gang(
        self, need: ResourceNeed, count: int, avoid: Set[str] = frozenset()
    ) -> list[str] | None:
        """Reserve room for all tasks of a gang, or for none."""
        chosen: list[str] = []
        for _ in range(count):
            capacity = self.best_fit(need, avoid)
            if capacity is None:
                for worker in chosen:
                    self.release(worker, need)
                return None
            self.reserve(capacity.worker, need)
            chosen.append(capacity.worker)
        return chosen
