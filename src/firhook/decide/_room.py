"""Finds the workers with room for a task without looking at each of them.

Sets of workers are integers with a bit for each worker, so that intersecting the
workers that have room with those that a step may use takes a few operations, however
many steps wait.
"""

import math
from bisect import bisect_left
from collections.abc import Iterable, Sequence

import attrs

from firhook.cell import Resources
from firhook.decide._tickets import StepAdvice
from firhook.decide._worker_views import WorkerView

#: The index is built again after this many tasks were placed.  Until then it may
#: contain workers whose room was taken meanwhile.
_REBUILD_AFTER = 16


class WorkerBits:
    """The bit of each worker, which stays the same from round to round.

    :ivar generation: changes when a worker is new or has another incarnation, after
        which sets of workers have to be derived again.
    """

    def __init__(self) -> None:
        self.generation = 0
        self._bits: dict[str, int] = {}
        self._incarnations: dict[str, int] = {}

    def update(self, workers: Iterable[WorkerView]) -> None:
        """Assign bits to new workers, and note new incarnations."""
        for worker in workers:
            name = worker.name
            if self._incarnations.get(name) != worker.incarnation:
                self._incarnations[name] = worker.incarnation
                self._bits.setdefault(name, len(self._bits))
                self.generation += 1

    def number(self, name: str) -> int:
        """Return the number of a worker's bit."""
        return self._bits[name]

    def find(self, name: str) -> int:
        """Return the bit of a worker; 0 if it is unknown."""
        number = self._bits.get(name)
        return 0 if number is None else 1 << number

    def incarnation(self, name: str) -> int | None:
        """Return the newest known incarnation of a worker."""
        return self._incarnations.get(name)


@attrs.frozen(slots=True)
class AdviceSets:
    """What the adviser answered for a step, as sets of workers.

    :ivar permitted: the workers that may run the step.
    :ivar answered: the workers that the adviser has answered for.
    :ivar tickets: the workers with a ticket for their incarnation by its expiry; those
        whose ticket is for another incarnation have expired tickets.
    """

    version: int
    generation: int
    permitted: int
    answered: int
    tickets: tuple[tuple[float, int], ...]

    def with_ticket(self, usable_until: float) -> int:
        """Return the workers with a ticket that stays valid beyond a time."""
        found = 0
        for expires_at, workers in self.tickets:
            if expires_at > usable_until:
                found |= workers
        return found

    def first_expiry(self, workers: int) -> float:
        """Return when the first ticket for one of some workers expires."""
        return min((at for at, own in self.tickets if own & workers), default=math.inf)


def advice_sets(advice: StepAdvice, bits: WorkerBits) -> AdviceSets:
    """Return what the adviser answered for a step, as sets of workers."""
    permitted = denied = 0
    tickets: dict[float, int] = {}
    for name, ticket in advice.permitted.items():
        bit = bits.find(name)
        permitted |= bit
        is_current = ticket.incarnation == bits.incarnation(name)
        expires_at = ticket.expires_at if is_current else 0.0
        tickets[expires_at] = tickets.get(expires_at, 0) | bit
    for name in advice.denied:
        denied |= bits.find(name)
    return AdviceSets(
        advice.version,
        bits.generation,
        permitted,
        permitted | denied,
        tuple(tickets.items()),
    )


class RoomIndex:
    """The usable workers of a pool and label, by their free capacity.

    The free capacity of a worker only falls within a round, so the answers are upper
    bounds: a worker that is not in them has no room.

    :param workers: the workers, in the order in which they are to be considered.
    :ivar workers: the same.
    :ivar all: the set of all of them.
    """

    def __init__(self, workers: Sequence[WorkerView], bits: WorkerBits) -> None:
        self.workers = workers
        self._numbers = [bits.number(w.name) for w in workers]
        self._places = {number: i for i, number in enumerate(self._numbers)}
        self.all = sum(1 << number for number in self._numbers)
        self._taken = _REBUILD_AFTER
        self._most_cpu_m = 0
        self._levels: tuple[tuple[list[int], list[int]], ...] = ()

    def note_taken(self, tasks: int = 1) -> None:
        """Note that tasks were placed."""
        self._taken += tasks

    def with_room(self, need: Resources, times: int = 1) -> int:
        """Return the set of the workers that may have room for some tasks."""
        if self._taken >= _REBUILD_AFTER:
            self._build()
        if need.cpu_m * times > self._most_cpu_m:
            return 0
        cpu, memory, accelerators = self._levels
        found = _at_least(cpu, need.cpu_m * times)
        found &= _at_least(memory, need.memory_mb * times)
        if need.accelerators:
            found &= _at_least(accelerators, need.accelerators * times)
        return found

    def has_slots(
        self, need: Resources, count: int, max_per_worker: int, among: int
    ) -> bool:
        """Return whether some workers may have room for a number of tasks."""
        slots = 0
        for times in range(1, max_per_worker + 1):
            more = (self.with_room(need, times) & among).bit_count()
            slots += more
            if slots >= count:
                return True
            if not more:
                return False
        return False

    def select(self, among: int) -> list[WorkerView]:
        """Return the workers of a set, in order."""
        places = self._places
        if among.bit_count() * 4 > len(self.workers):
            return [
                worker
                for worker, number in zip(self.workers, self._numbers, strict=True)
                if among >> number & 1
            ]
        found: list[int] = []
        while among:
            low = among & -among
            place = places.get(low.bit_length() - 1)
            if place is not None:
                found.append(place)
            among ^= low
        return [self.workers[place] for place in sorted(found)]

    def _build(self) -> None:
        self._taken = 0
        free = [w.free for w in self.workers]
        self._most_cpu_m = max((f.cpu_m for f in free), default=0)
        self._levels = (
            self._level([f.cpu_m for f in free]),
            self._level([f.memory_mb for f in free]),
            self._level([f.accelerators for f in free]),
        )

    def _level(self, amounts: list[int]) -> tuple[list[int], list[int]]:
        """Return the sorted amounts, and the workers that have each or more."""
        order = sorted(range(len(amounts)), key=amounts.__getitem__)
        sets = [0] * (len(order) + 1)
        for i in range(len(order) - 1, -1, -1):
            sets[i] = sets[i + 1] | 1 << self._numbers[order[i]]
        return [amounts[i] for i in order], sets


def _at_least(level: tuple[list[int], list[int]], amount: int) -> int:
    amounts, sets = level
    return sets[bisect_left(amounts, amount)]
