"""Placing: best fit by dominant resource, never above what a worker has."""

from collections.abc import Iterable

import attrs


@attrs.frozen(slots=True)
class Need:
    """What one task needs."""

    cpus: float
    memory_mb: int
    accelerators: int


@attrs.define(slots=True)
class Room:
    """What a worker has left."""

    worker: str
    rack: str
    cpus: float
    memory_mb: int
    accelerators: int

    def fits(self, need: Need) -> bool:
        """Return whether a task fits whole."""
        return (
            need.cpus <= self.cpus + 1e-9
            and need.memory_mb <= self.memory_mb
            and need.accelerators <= self.accelerators
        )

    def take(self, need: Need) -> None:
        """Reserve what a task needs."""
        self.cpus -= need.cpus
        self.memory_mb -= need.memory_mb
        self.accelerators -= need.accelerators


def place(need: Need, rooms: Iterable[Room]) -> Room | None:
    """Return the worker that a task fits most tightly, or ``None``.

    The worker left with the least of its scarcest resource is filled first,
    which keeps others whole for large tasks.  A worker with accelerators is
    taken for a task that needs none only when no other has room.
    """
    fitting = [r for r in rooms if r.fits(need)]
    if not fitting:
        return None
    return min(
        fitting,
        key=lambda r: (
            r.accelerators > 0 and need.accelerators == 0,
            max(r.cpus - need.cpus, (r.memory_mb - need.memory_mb) / 2048),
            r.worker,
        ),
    )


def place_gang(need: Need, count: int, rooms: list[Room]) -> list[Room] | None:
    """Return workers for all tasks of a gang, or ``None`` if not all fit."""
    trial = {r.worker: attrs.evolve(r) for r in rooms}
    chosen = []
    for _ in range(count):
        room = place(need, trial.values())
        if room is None:
            return None
        room.take(need)
        chosen.append(room.worker)
    by_name = {r.worker: r for r in rooms}
    return [by_name[name] for name in chosen]
