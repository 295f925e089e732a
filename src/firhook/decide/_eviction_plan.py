"""Finds the cheapest runs whose stop makes room for all waiting tasks of a step."""

import heapq
from collections import Counter

import attrs

from firhook.cell import Resources, Run, Step
from firhook.decide._worker_views import WorkerView


@attrs.frozen(slots=True)
class Victim:
    """A run that may be stopped.

    :param rank: the sort key of its step in the round; lower keys go first.
    """

    run: Run
    need: Resources
    over_share: bool
    cost_core_s: float
    rank: tuple[float, ...]

    @property
    def sort_key(self) -> tuple[bool, float, tuple[str, int]]:
        """Sort key: runs of teams above their share first, then the cheapest."""
        return (not self.over_share, self.cost_core_s, self.run.key)


@attrs.define(slots=True, eq=False)
class Room:
    """The capacity of a worker once the current stops have taken effect.

    :param runs: the runs that are not being stopped.
    :param over_share: whether one of them belongs to a team above its share.
    :ivar victims: those that may be stopped, the cheapest first; ``None`` if not known.
    """

    worker: WorkerView
    free: Resources
    runs: list[Run]
    over_share: bool
    victims: list[Victim] | None = None

    def stop(self, victim: Victim) -> None:
        """Add the capacity of a victim that is stopped."""
        assert self.victims is not None
        self.victims.remove(victim)
        self.free = self.free.add(victim.need)


def group_key(victims: list[Victim]) -> tuple[bool, float, int]:
    """Sort key of sets of victims that make the same room.

    Sets without runs of teams within their share go first, then the cheapest.
    """
    return (
        any(not v.over_share for v in victims),
        sum(v.cost_core_s for v in victims),
        len(victims),
    )


@attrs.define(slots=True, eq=False)
class _Slots:
    """How many waiting tasks of a step one worker can hold.

    :param limit: the most tasks of the step that it may get.
    :param headroom: capacity that the step must leave free.
    :param free: its capacity, with that of the victims taken so far.
    :ivar victims: the runs that may still be stopped.
    :ivar count: how many tasks fit.
    """

    room: Room
    need: Resources
    limit: int
    headroom: Resources
    free: Resources
    victims: list[Victim] = attrs.field(factory=list)
    count: int = 0

    def __attrs_post_init__(self) -> None:
        """Count the tasks that fit without stopping any run."""
        self.count = self._fitting(self.free)

    def _fitting(self, free: Resources) -> int:
        if free.cpu_m < self.need.cpu_m:
            # Most workers of a full cell, for which the rest need not be computed.
            return 0
        return free.subtract(self.headroom).count_fitting(self.need, self.limit)

    def cheapest_group(self) -> list[Victim]:
        """Return the cheapest victims that make room for one more task, if any."""
        if self.count >= self.limit:
            return []
        group: list[Victim] = []
        free = self.free
        for victim in self.victims:
            group.append(victim)
            free = free.add(victim.need)
            if self._fitting(free) > self.count:
                break
        else:
            return []
        # The last victim may make some of the earlier ones unnecessary.
        for victim in reversed(group[:-1]):
            without = free.subtract(victim.need)
            if self._fitting(without) > self.count:
                group.remove(victim)
                free = without
        return group

    def stop(self, group: list[Victim]) -> int:
        """Add the capacity of victims; return how many more tasks fit."""
        for victim in group:
            self.free = self.free.add(victim.need)
            self.victims.remove(victim)
        before, self.count = self.count, self._fitting(self.free)
        return self.count - before

    def resume(self, victim: Victim, surplus: int) -> int | None:
        """Let a victim go on, unless too few tasks would fit; return how many fewer.

        :param surplus: by how many tasks fewer may fit; else ``None`` is returned.
        """
        without = self.free.subtract(victim.need)
        fewer = self.count - self._fitting(without)
        if fewer > surplus:
            return None
        self.free, self.count = without, self.count - fewer
        return fewer


class StepPlan:
    """How many waiting tasks of a step the workers can hold.

    :param keeps_headroom: whether the step leaves the headroom for urgent work free.
    :ivar missing: how many tasks no worker can hold.
    """

    def __init__(self, step: Step, rooms: list[Room], keeps_headroom: bool) -> None:
        self._wanted = len(step.idle)
        per_worker = step.spec.per_worker
        placed = Counter(run.worker for run in step.runs()) if per_worker else Counter()
        self._slots = []
        for room in rooms:
            limit = self._wanted
            if per_worker:
                limit = max(min(limit, per_worker - placed[room.worker.name]), 0)
            headroom = Resources(room.worker.urgent_cpu_m if keeps_headroom else 0)
            need = step.spec.reserved
            self._slots.append(_Slots(room, need, limit, headroom, room.free))
        self.missing = self._wanted - sum(slots.count for slots in self._slots)

    def take(self) -> None:
        """Take the capacity that the tasks get, on the fullest workers first."""
        left = self._wanted
        used = [slots for slots in self._slots if slots.count]
        for slots in sorted(used, key=lambda slots: slots.free.cpu_m):
            count = min(slots.count, left)
            slots.room.free = slots.room.free.subtract(slots.need, count)
            left -= count

    def victims(
        self,
        rank: tuple[float, ...],
        max_stops: int,
        only_over_share: bool = False,
    ) -> list[Victim]:
        """Return the cheapest victims that make room for all tasks, if there are any.

        A step that goes before the beneficiary in the round would start again in the
        capacity that it was stopped for, so its runs are no victims.

        :param rank: the beneficiary's sort key in the round.
        :param max_stops: the most runs to stop.
        :param only_over_share: whether only runs of teams above their share may be
            stopped.
        """
        heap: list[tuple[tuple[bool, float, int], int, list[Victim]]] = []
        for index, slots in enumerate(self._slots):
            slots.victims = [
                v
                for v in slots.room.victims or ()
                if v.rank > rank and (v.over_share or not only_over_share)
            ]
            if group := slots.cheapest_group():
                heap.append((group_key(group), index, group))
        heapq.heapify(heap)
        chosen: list[Victim] = []
        missing = self.missing
        while missing > 0 and heap:
            _, index, group = heapq.heappop(heap)
            if len(chosen) + len(group) > max_stops:
                return []
            chosen += group
            slots = self._slots[index]
            missing -= slots.stop(group)
            if group := slots.cheapest_group():
                heapq.heappush(heap, (group_key(group), index, group))
        return self._without_needless(chosen, -missing) if missing <= 0 else []

    def _without_needless(self, chosen: list[Victim], surplus: int) -> list[Victim]:
        """Return victims without those that a later, larger one made unnecessary.

        :param surplus: how many more tasks fit than are waiting.
        """
        by_worker = {slots.room.worker.name: slots for slots in self._slots}
        needed = []
        for victim in sorted(chosen, key=lambda v: v.sort_key, reverse=True):
            fewer = by_worker[victim.run.worker].resume(victim, surplus)
            if fewer is None:
                needed.append(victim)
            else:
                surplus -= fewer
        return needed
