"""Placement of tasks on workers: best fit by dominant resource."""

from bisect import bisect_left, insort
from collections.abc import Iterable, Mapping, Set

import attrs

from firhook.model import JobSpec

#: Maximum number of fitting workers that are compared for a task.  The search
#: starts at the fullest worker, so the first few fit most tightly.  Comparing all
#: 910 for each of 62 starts a second would use more of a core than the lead may.
MAX_CANDIDATES = 12

_SLACK = 1e-9


@attrs.frozen(slots=True)
class ResourceNeed:
    """The resources that one task needs."""

    cpus: float
    memory_mb: int
    accelerators: int

    @classmethod
    def of(cls, job: JobSpec) -> "ResourceNeed":
        """Return the need of each task of a job."""
        return cls(job.cpus, job.memory_mb, job.accelerators)

    def covers(self, other: "ResourceNeed") -> bool:
        """Return whether this need is at least ``other`` in every resource."""
        return (
            self.cpus >= other.cpus
            and self.memory_mb >= other.memory_mb
            and self.accelerators >= other.accelerators
        )


@attrs.define(slots=True)
class WorkerCapacity:
    """The free resources of a worker."""

    worker: str
    rack: str
    cpus: float
    memory_mb: int
    accelerators: int

    def fits(self, need: ResourceNeed) -> bool:
        """Return whether the task fits."""
        return (
            need.cpus <= self.cpus + _SLACK
            and need.memory_mb <= self.memory_mb
            and need.accelerators <= self.accelerators
        )

    def reserve(self, need: ResourceNeed) -> None:
        """Reserve the resources for a task."""
        self.cpus -= need.cpus
        self.memory_mb -= need.memory_mb
        self.accelerators -= need.accelerators

    def release(self, need: ResourceNeed) -> None:
        """Release the resources of a task."""
        self.cpus += need.cpus
        self.memory_mb += need.memory_mb
        self.accelerators += need.accelerators

    def count_fitting(self, need: ResourceNeed) -> int:
        """Return how many tasks with this need fit."""
        counts = [(self.cpus + _SLACK) // need.cpus, self.memory_mb // need.memory_mb]
        if need.accelerators:
            counts.append(self.accelerators // need.accelerators)
        return max(int(min(counts)), 0)


class CapacityIndex:
    """The free resources of a zone's workers, sorted by size.

    Workers with accelerators are kept separately: a task that needs none gets one
    of them only if it fits on no other worker.

    :param mb_per_cpu: memory per processor in the zone, by which processors and
        memory are compared; computed from the workers if 0.
    """

    def __init__(
        self, capacities: Iterable[WorkerCapacity], mb_per_cpu: float = 0.0
    ) -> None:
        self.by_name = {capacity.worker: capacity for capacity in capacities}
        self.mb_per_cpu = mb_per_cpu or self._mb_per_cpu()
        self._plain: list[tuple[float, str]] = []
        self._accelerated: list[tuple[float, str]] = []
        for capacity in self.by_name.values():
            self._sorted_list(capacity).append(self._entry(capacity))
        self._plain.sort()
        self._accelerated.sort()

    def _mb_per_cpu(self) -> float:
        cpus = sum(max(r.cpus, 0.0) for r in self.by_name.values())
        memory = sum(max(r.memory_mb, 0) for r in self.by_name.values())
        return memory / cpus if cpus > 0 and memory > 0 else 2048.0

    def copy(self) -> "CapacityIndex":
        """Return an independent copy."""
        copies = [attrs.evolve(capacity) for capacity in self.by_name.values()]
        return CapacityIndex(copies, self.mb_per_cpu)

    def put(self, capacity: WorkerCapacity) -> None:
        """Add a worker or replace its free resources."""
        self.remove(capacity.worker)
        self.by_name[capacity.worker] = capacity
        insort(self._sorted_list(capacity), self._entry(capacity))

    def remove(self, worker: str) -> None:
        """Remove a worker if it is present."""
        capacity = self.by_name.get(worker)
        if capacity is not None:
            self._remove(capacity)
            del self.by_name[worker]

    def _normalized_size(self, cpus: float, memory_mb: float) -> float:
        return max(cpus, memory_mb / self.mb_per_cpu)

    def _entry(self, capacity: WorkerCapacity) -> tuple[float, str]:
        return (
            self._normalized_size(capacity.cpus, capacity.memory_mb),
            capacity.worker,
        )

    def _sorted_list(self, capacity: WorkerCapacity) -> list[tuple[float, str]]:
        return self._accelerated if capacity.accelerators > 0 else self._plain

    def _remove(self, capacity: WorkerCapacity) -> None:
        entries = self._sorted_list(capacity)
        del entries[bisect_left(entries, self._entry(capacity))]

    def reserve(self, worker: str, need: ResourceNeed) -> None:
        """Reserve the resources for a task on a worker."""
        capacity = self.by_name[worker]
        self._remove(capacity)
        capacity.reserve(need)
        insort(self._sorted_list(capacity), self._entry(capacity))

    def release(self, worker: str, need: ResourceNeed) -> None:
        """Release the resources of a task on a worker."""
        capacity = self.by_name[worker]
        self._remove(capacity)
        capacity.release(need)
        insort(self._sorted_list(capacity), self._entry(capacity))

    def best_fit(
        self, need: ResourceNeed, avoid: Set[str] = frozenset()
    ) -> WorkerCapacity | None:
        """Return the worker on which a task fits best, or ``None``.

        The worker with the least free dominant resource is filled first, which
        keeps other workers free for large tasks.  Among the tightest few, the one
        whose remaining processors and memory are best balanced is chosen, so that
        neither is stranded without the other.
        """
        if need.accelerators == 0:
            capacity = self._find(self._plain, need, avoid)
            if capacity is not None:
                return capacity
        return self._find(self._accelerated, need, avoid)

    def _find(
        self, entries: list[tuple[float, str]], need: ResourceNeed, avoid: Set[str]
    ) -> WorkerCapacity | None:
        ratio = self.mb_per_cpu
        need_cpus, need_memory = need.cpus, need.memory_mb / ratio
        min_size = max(need_cpus, need_memory) - _SLACK
        best, best_score, compared = None, float("inf"), 0
        by_name = self.by_name
        for i in range(bisect_left(entries, (min_size, "")), len(entries)):
            capacity = by_name[entries[i][1]]
            if not capacity.fits(need) or capacity.worker in avoid:
                continue
            cpus = capacity.cpus - need_cpus
            memory = capacity.memory_mb / ratio - need_memory
            score = abs(cpus - memory)
            if score < best_score:
                best, best_score = capacity, score
            compared += 1
            if compared >= MAX_CANDIDATES:
                break
        return best

    def spread_fit(
        self,
        need: ResourceNeed,
        racks: Mapping[str, int],
        avoid: Set[str] = frozenset(),
    ) -> WorkerCapacity | None:
        """Return a worker in the rack with the fewest replicas, or ``None``.

        A rack fails every month or two and would take down a service whose
        replicas share it.  All workers are compared, since services start rarely
        and stay where they are placed.
        """
        best, best_key = None, (float("inf"), True, float("inf"), "")
        for capacity in self.by_name.values():
            if not capacity.fits(need) or capacity.worker in avoid:
                continue
            size, name = self._entry(capacity)
            wastes_accelerators = capacity.accelerators > 0 and need.accelerators == 0
            key = (racks.get(capacity.rack, 0), wastes_accelerators, size, name)
            if key < best_key:
                best, best_key = capacity, key
        return best

    def reserve_gang(
        self, need: ResourceNeed, count: int, avoid: Set[str] = frozenset()
    ) -> list[str] | None:
        """Reserve workers for all tasks of a gang, or for none."""
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
