"""Decides which waiting tasks start now, and on which workers.

A scheduling round goes through the waiting steps, the most urgent first, and places
the tasks of each on permitted workers, as far as there is capacity.
"""

import itertools
from collections import Counter
from collections.abc import Iterable, Iterator

import attrs

from firhook.cell import JobTable, Queue, Resources, Step, Task
from firhook.decide._advice_planner import AdvicePlanner
from firhook.decide._blocked_steps import ALL_WORKERS, Obstacle
from firhook.decide._gang_reservations import GangRooms, reserve_gang
from firhook.decide._held_capacity import HeldCapacity
from firhook.decide._room import RoomIndex
from firhook.decide._round_memory import RoundMemory
from firhook.decide._share_order import place_by_share
from firhook.decide._slack import AMPLE_SLACK_S, LATE_FACTOR
from firhook.decide._start_room import StartRoom
from firhook.decide._team_shares import TeamShares, build_shares
from firhook.decide._wait_reasons import WaitReason
from firhook.decide._worker_choice import fit_gang, pick_worker
from firhook.decide._worker_views import WorkerView
from firhook.decide.tickets import AdviceRequest, TicketTable

#: Gangs for which capacity is reserved in a round.  Each reservation keeps other work
#: off some workers until the gang fits; too many would leave most of the cell idle.
MAX_RESERVED_GANGS = 3
#: The start of the sort key of work of the first priority that can still be in time.
_URGENT_IN_TIME = (0, 0)
#: Bands of urgency that count as one when shares decide.  Work of a team above its
#: share waits longer than that of others, so that it soon has no slack left.  If it
#: then went before work with ample slack, a team at nine times its usual rate would
#: take a seventh of what the others use.
_SHARE_BANDS: dict[tuple[float, ...], tuple[float, ...]] = {
    (0, 1): (1,),
    (1, 0): (1,),
    (2, 0): (1,),
    (3, 0): (1,),
}
#: Gangs for which a round tries to reserve capacity.  Each attempt looks at all tasks
#: that run on the permitted workers, which takes up to a millisecond.
_MAX_RESERVE_ATTEMPTS = 6
#: Workers that a round looks at for steps that it cannot place.  The steps beyond that
#: are looked at in turn, see :class:`BlockedSteps`.
_MAX_EXAMINED_IN_VAIN = 2000


@attrs.frozen(slots=True)
class Placement:
    """Tasks of one step that start together, each with its worker and incarnation."""

    step: Step
    tasks: tuple[tuple[Task, str, int], ...]


@attrs.define(slots=True)
class RoundResult:
    """The decisions of a round.

    :ivar advice_requests: what to ask the adviser.
    :ivar wait_reasons: why steps could not start, or not all their tasks, by the
        step's name.
    :ivar reserved: the names of the gangs for which capacity is reserved.
    :ivar shares: the shares of the teams, after the placements.
    :ivar examined: how many times a worker was looked at for a step.
    """

    placements: list[Placement] = attrs.field(factory=list)
    advice_requests: list[AdviceRequest] = attrs.field(factory=list)
    wait_reasons: dict[str, WaitReason] = attrs.field(factory=dict)
    reserved: set[str] = attrs.field(factory=set)
    shares: TeamShares | None = None
    examined: int = 0


def urgency(step: Step, now: float) -> tuple[int, int, float]:
    """Return the sort key of a step in a round; lower keys go first.

    Work of different kinds shares a cell whose load is over three quarters of its
    capacity, with bursts beyond it.  First come, first served would let a job that
    has ten seconds take the capacity of one that has half a second.  Strict priority
    would let a burst of one kind starve the kinds of lower priority until they miss
    their own objectives.

    Work that can still meet its objective goes before work that cannot.  Within the
    former, queues of the first priority, whose work is short, go first, then the
    work whose latest possible start is soonest.  Late work is still worth running up
    to three times its objective, so it goes before work that is later than that.
    Late work of a first-priority queue becomes worthless within seconds, so it also
    goes before other work that has ample slack, but after other work that has little.
    """
    return _urgency(step.job.queue, *_times(step), now)


def _times(step: Step) -> tuple[float, float]:
    """Return a step's latest start, and the time that its job is allowed."""
    released_at = step.job.released_at(step.occurrence)
    objective_at = step.job.objective_at(step.occurrence)
    return objective_at - step.critical_path_s, objective_at - released_at


def _urgency(
    queue: Queue, latest: float, allowed_s: float, now: float
) -> tuple[int, int, float]:
    urgent = queue.priority == 0
    if latest >= now - queue.target_s:
        if urgent:
            return (0, 0, latest)
        has_ample_slack = latest - now > AMPLE_SLACK_S
        return (2, 0, latest) if has_ample_slack else (0, 1, latest)
    if latest + (LATE_FACTOR - 1) * allowed_s >= now:
        return (1, 0, latest) if urgent else (3, 0, latest)
    return (4, 0 if urgent else 1, latest)


class Round:
    """One scheduling round over the waiting steps.

    :param workers: the workers by name; placing a task reduces their free capacity.
    :param memory: what is kept from one round to the next.
    """

    def __init__(
        self,
        book: JobTable,
        workers: dict[str, WorkerView],
        tickets: TicketTable,
        now: float,
        memory: RoundMemory | None = None,
    ) -> None:
        self._book = book
        self._workers = workers
        self._tickets = tickets
        self._now = now
        self._memory = memory or RoundMemory()
        self._blocked = self._memory.blocked
        self._grown, self._grown_cpu_m = self._memory.begin_round(
            workers.values(), book.open_steps
        )
        self._advice = AdvicePlanner(book, tickets, self._memory, now)
        self._shares = build_shares(book, workers, self._memory.history, now)
        self._held = HeldCapacity(self._shares, self._memory.idle_holds, now)
        self._reserve_attempts = 0
        self._unreservable: list[Step] = []
        self._gangs: list[Step] = []
        self._examined_in_vain = 0
        self._indexes: dict[tuple[str, str], RoomIndex] = {}
        self._team_use = dict(book.team_usage)
        self._placement_numbers: dict[str, int] = {}
        self._start_room = StartRoom(book)
        self.result = RoundResult(shares=self._shares)

    def run(self) -> RoundResult:
        """Place all tasks that can start now."""
        ranked = self._ranked_steps()
        steps = [step for _, _, step in ranked]
        urgent = list(itertools.takewhile(self._is_urgent_in_time, steps))
        self._place_all(ranked[: len(urgent)])
        done = self._place_overdue_gang()
        self._place_all(
            [row for row in ranked[len(urgent) :] if row[2].name not in done]
        )
        self.result.advice_requests = self._advice.requests
        self.result.examined += self._advice.examined
        self._memory.end_round(
            self._workers.values(), self.result.reserved, self._advice.counts
        )
        return self.result

    def _ranked_steps(self) -> list[tuple[tuple[float, ...], int, Step]]:
        """Return the steps that may start in order, with their sort keys.

        Gangs are among them if capacity may be reserved or held for them, and so are
        steps for which advice is due, as it is requested in this order.
        """
        ranked = []
        obstacles, shares = self._blocked.obstacles, self._shares
        has_waiting_below = shares.is_crowded and shares.has_waiting_below()
        reasons, grown, now = self.result.wait_reasons, self._grown, self._now
        for number, (name, step) in enumerate(self._book.open_steps.items()):
            obstacle = obstacles.get(name)
            if step.spec.gang:
                self._gangs.append(step)
            if obstacle is None:
                is_blocked = False
            elif (
                obstacle.reason is WaitReason.NO_ROOM
                and not grown & ~obstacle.excluded
                and not step.spec.gang
                and not obstacle.may_have_changed(step, now)
            ):
                # As below, but without several calls for each of thousands of steps.
                reasons[name] = obstacle.reason
                continue
            elif obstacle.reason is WaitReason.ADVICE_DUE:
                is_blocked = self._is_queued(step, obstacle)
            elif step.spec.gang and not (
                has_waiting_below and shares.is_over(step.job.team)
            ):
                is_blocked = False
            else:
                is_blocked = self._is_blocked(step)
            if not is_blocked:
                ranked.append((self._rank(step), number, step))
        ranked.sort()
        return ranked

    def _has_new_room(self, step: Step, obstacle: Obstacle) -> bool:
        """Return whether a worker got room for a task; a gang needs room as a whole."""
        candidates = self._grown & ~obstacle.excluded
        need = step.spec.reserved
        if not candidates or need.cpu_m > self._grown_cpu_m:
            return False
        index = self._index(step)
        if not index.with_room(need) & candidates:
            return False
        return not step.spec.gang or index.has_slots(
            need,
            step.spec.count,
            step.spec.per_worker or step.spec.count,
            index.all & ~obstacle.excluded,
        )

    def _is_queued(self, step: Step, obstacle: Obstacle) -> bool:
        """Return whether enough other requests for advice wait to be sent."""
        if (
            obstacle.request is not None
            or step.name in self._memory.reserved
            or obstacle.may_have_changed(step, self._now)
            or not self._advice.had_enough(step)
            or self._has_new_room(step, obstacle)
        ):
            return False
        self._record_wait(step, obstacle.reason)
        return True

    def _is_blocked(self, step: Step) -> bool:
        """Return whether nothing that a step waits for has changed."""
        obstacle = self._blocked.obstacles.get(step.name)
        if obstacle is None or obstacle.may_have_changed(step, self._now):
            return False
        spec, reason = step.spec, obstacle.reason
        if reason is WaitReason.TEAM_LIMIT:
            wanted = spec.count if spec.gang else 1
            if self._permitted_count(step, wanted) == wanted:
                return False
        elif (
            self._has_new_room(step, obstacle)
            or (spec.gang and self._may_reserve(step, self._index(step)))
            or (
                reason is WaitReason.ADVICE_DUE
                and not self._advice.repeat(step, obstacle.request)
            )
        ):
            return False
        self._record_wait(step, reason)
        if spec.gang and reason is not WaitReason.TEAM_LIMIT:
            self._hold(step, self._index(step))
        return True

    def _hold(self, step: Step, index: RoomIndex) -> None:
        """Hold capacity for a gang in a crowded cell, while it is of value."""
        if (
            self._held.may_hold(step)
            and self._advice.permitted(step, index)
            and not self._is_worthless(step)
        ):
            self._held.hold(step, self._gang_ready_at(step, index))

    def _gang_ready_at(self, step: Step, index: RoomIndex) -> float | None:
        """Return when running work will have made room for a gang, if that is known."""
        known = self._memory.gang_forecast(step, self._now)
        if known is None:
            workers = index.select(self._advice.permitted(step, index))
            self.result.examined += len(workers)
            rooms = GangRooms(self._book, self._now)
            known = self._memory.keep_gang_forecast(
                step, rooms.ready_at(step, workers), self._now
            )
        return known.ready_at

    def _place_all(self, ranked: list[tuple[tuple[float, ...], int, Step]]) -> None:
        """Place steps in order; in a crowded cell, by share within each band."""
        if self._shares.is_crowded:
            for _, band in itertools.groupby(ranked, key=_share_band):
                steps = [row[2] for row in band]
                place_by_share(steps, self._shares, self._is_blocked, self._place_part)
            return
        for _, _, step in ranked:
            if not self._is_blocked(step):
                self._place(step)

    def _place(self, step: Step) -> bool:
        """Place a step's tasks; return whether any was placed or has capacity reserved.

        Capacity is reserved only for gangs.
        """
        if not step.spec.gang:
            return self._place_tasks(step, len(step.idle)) > 0
        return self._place_gang(step)

    def _place_part(self, step: Step, limit: int) -> bool:
        """Place some tasks, or a gang; return whether more of the step may follow."""
        if step.spec.gang:
            if self._held.count_available(step, step.spec.count) < step.spec.count:
                self._block_held(step)
            else:
                self._place_gang(step)
            return False
        limit = self._held.count_available(step, min(limit, len(step.idle)))
        if not limit:
            self._block_held(step)
            return False
        return self._place_tasks(step, limit) == limit and self._idle_count(step) > 0

    def _block_held(self, step: Step) -> None:
        """Record that what is free is held for others; look again soon."""
        self._record_wait(step, WaitReason.NO_ROOM)
        self._blocked.block(
            step, WaitReason.NO_ROOM, self._now, excluded=ALL_WORKERS, retry=True
        )

    def _is_urgent_in_time(self, step: Step) -> bool:
        return urgency(step, self._now)[:2] == _URGENT_IN_TIME

    def _place_overdue_gang(self) -> set[str]:
        """Place the gang that is overdue and whose job was released first.

        Late work goes behind work that can be in time, and a gang needs capacity on
        many workers at once.  As long as younger gangs keep coming, they would get
        every reservation.  One overdue gang at a time goes before them, so that each
        of them starts in the end, and those that can be in time keep most of the cell.

        In a crowded cell there are many overdue gangs, and one after the other would
        make those late that can be in time.  There it goes first only if none of these
        waits, or if it has waited so long that its job has no value any more.

        A gang that cannot start for another reason than its turn, such as its team's
        limit, leaves its place to the next one.

        :return: the names of the steps that were tried.
        """
        overdue, has_timely = self._overdue_gangs()
        if self._shares.is_crowded and has_timely:
            overdue = [s for s in overdue if self._is_worthless(s)]
        tried: set[str] = set()
        for step in sorted(overdue, key=self._overdue_rank):
            if self._is_blocked(step):
                continue
            tried.add(step.name)
            self._advice.ask_always(step)
            if self._place(step):
                break
        return tried

    def _overdue_gangs(self) -> tuple[list[Step], bool]:
        """Return the overdue gangs, and whether others can be in time.

        Urgent gangs that can be in time go first anyway.  Shortly after its objective
        an urgent gang still ranks among these and may have been placed already.
        """
        overdue, has_timely = [], False
        for step in self._gangs:
            if step.name in self._placement_numbers:
                continue
            queue, latest, _ = self._times(step)
            if latest + step.critical_path_s < self._now:
                overdue.append(step)
            elif latest >= self._now - queue.target_s:
                has_timely = has_timely or queue.priority > 0
        return overdue, has_timely

    def _is_worthless(self, step: Step) -> bool:
        _, latest, allowed_s = self._times(step)
        objective_at = latest + step.critical_path_s
        return self._now > objective_at + (LATE_FACTOR - 1) * allowed_s

    def _overdue_rank(self, step: Step) -> tuple[bool, float]:
        is_over = self._shares.is_over(step.job.team)
        return is_over, step.job.released_at(step.occurrence)

    def _rank(self, step: Step) -> tuple[float, ...]:
        """Return the sort key of a step in the round; lower keys go first.

        All but the last element are the step's band of urgency.
        """
        return _urgency(*self._times(step), self._now)

    def _times(self, step: Step) -> tuple[Queue, float, float]:
        """Return a step's queue, its latest start and the time its job is allowed."""
        queue, times = step.job.queue, self._memory.times
        # Both change as durations are learned.
        paths_s = step.critical_path_s, step.job.critical_path_s
        known = times.get(step.name)
        if known is None or known[0] is not queue or known[1] != paths_s:
            known = times[step.name] = (queue, paths_s, *_times(step))
        return queue, known[2], known[3]

    # Workers that a step may use.

    def _index(self, step: Step) -> RoomIndex:
        """Return the usable workers of the step's pool and label, emptiest first.

        They are sorted once a round, by the free capacity when the round began.
        The order only decides which workers the adviser is asked about first.
        Sorting again for each step took most of a round of 25 steps and 176 workers.
        """
        key = (step.job.queue.pool, step.spec.label)
        found = self._indexes.get(key)
        if found is None:
            pool, label = key
            workers = [
                w
                for w in self._workers.values()
                if w.usable and w.pool == pool and (not label or label in w.labels)
            ]
            workers.sort(key=lambda w: -w.free.cpu_m)
            found = self._indexes[key] = RoomIndex(workers, self._memory.bits)
        return found

    def _placed_count(self, step: Step) -> int:
        """Return how many of the step's tasks were placed in this round."""
        number = self._placement_numbers.get(step.name)
        return 0 if number is None else len(self.result.placements[number].tasks)

    def _idle_count(self, step: Step) -> int:
        """Return how many of the step's tasks wait and were not placed."""
        return len(step.idle) - self._placed_count(step)

    def _idle(self, step: Step, limit: int) -> Iterator[Task]:
        """Yield the step's tasks that wait and were not placed, up to a number.

        A step may have many thousands of tasks, few of which start in one round.
        """
        placed = self._placed_count(step)
        for index in itertools.islice(step.idle, placed, placed + limit):
            yield step.idle[index]

    def _permitted_count(self, step: Step, idle: int) -> int:
        """Return how many more tasks of the step the team's limit permits.

        :param idle: how many tasks wait.
        """
        team = self._book.config.team_by_name.get(step.job.team)
        if team is None:
            return idle
        used = self._team_use.get(team.name, Resources())
        if team.permits(used.add(step.spec.need, idle)):
            return idle
        low, high = 0, idle
        while low < high:
            middle = (low + high + 1) // 2
            if team.permits(used.add(step.spec.need, middle)):
                low = middle
            else:
                high = middle - 1
        return low

    def _usable(self, step: Step, index: RoomIndex) -> int:
        """Return the workers on which a step may start now."""
        rejections = self._tickets.rejections
        if rejections.is_paused(step, self._now):
            return 0
        usable = self._advice.with_ticket(step, index)
        for name in rejections.held_workers(step, self._now):
            usable &= ~self._memory.bits.find(name)
        return usable

    def _may_look(self, step: Step) -> bool:
        """Return whether to look at workers for a step, or to pass it over."""
        if (
            self._examined_in_vain < _MAX_EXAMINED_IN_VAIN
            or step.name in self._placement_numbers
            or self._blocked.must_look(step, self._now)
        ):
            self._blocked.note_look(step)
            return True
        return False

    def _count_examined(self, workers: int, in_vain: bool) -> None:
        self.result.examined += workers
        if in_vain:
            self._examined_in_vain += workers

    def _record_wait(self, step: Step, reason: WaitReason) -> None:
        self.result.wait_reasons[step.name] = reason

    def _wait_reason(self, step: Step, index: RoomIndex) -> WaitReason:
        """Return why a step found no worker."""
        if not index.workers:
            return WaitReason.NO_WORKER
        if step.job.queue.advice is not None:
            advice = self._tickets.advice_for(step)
            if advice.in_flight:
                return WaitReason.ADVICE_ASKED
            if step.name in self._advice.due:
                return WaitReason.ADVICE_DUE
            if advice.answered_count() and not advice.permitted:
                return WaitReason.NOT_PERMITTED
        return WaitReason.NO_ROOM

    # Single tasks.

    def _place_tasks(self, step: Step, limit: int) -> int:
        """Place up to a number of a step's tasks; return how many were placed."""
        idle = self._idle_count(step)
        permitted = self._permitted_count(step, idle)
        if not permitted:
            self._block(step, WaitReason.TEAM_LIMIT)
            return 0
        startable = self._start_room.count(step, self._placed_count(step))
        if not startable:
            self._record_wait(step, WaitReason.JOB_FULL)
            return 0
        index = self._index(step)
        self._advice.request(step, index)
        usable = self._usable(step, index)
        usable &= index.with_room(step.spec.reserved)
        is_passed_over = bool(usable) and not self._may_look(step)
        wanted = min(permitted, limit, startable)
        chosen: list[tuple[Task, str, int]] = []
        if usable and not is_passed_over:
            chosen = self._choose(step, self._idle(step, wanted), index, usable)
        if chosen:
            self._add_placement(step, chosen)
        elif not is_passed_over:
            self._advice.widen(step, index)
        if not chosen:
            reason = self._wait_reason(step, index)
            self._block(step, reason, index, bool(usable), is_passed_over)
            return 0
        self._blocked.clear(step)
        if len(chosen) == permitted < idle:
            self._record_wait(step, WaitReason.TEAM_LIMIT)
        elif len(chosen) == startable < idle:
            self._record_wait(step, WaitReason.JOB_FULL)
        elif len(chosen) < idle:
            self._record_wait(step, self._wait_reason(step, index))
        else:
            self.result.wait_reasons.pop(step.name, None)
        return len(chosen)

    def _block(
        self,
        step: Step,
        reason: WaitReason,
        index: RoomIndex | None = None,
        has_room: bool = False,
        is_passed_over: bool = False,
    ) -> None:
        """Record why a step cannot start, and remember it if it will last.

        :param index: the workers that the step waits for; ``None`` if its team is at
            its limit.
        :param has_room: whether a worker has room that the step did not get.
        """
        self._record_wait(step, reason)
        if index is None:
            self._blocked.block(step, reason, self._now)
            return
        request = self._advice.request_of(step)
        if not self._shares.is_crowded and (
            request is not None or (has_room and not is_passed_over)
        ):
            self._blocked.clear(step)
            return
        if is_passed_over:
            until = self._blocked.pass_over(step, self._now)
        else:
            until = self._advice.next_change(step, index)
        self._blocked.block(
            step,
            reason,
            self._now,
            until=until,
            excluded=self._advice.excluded(step, reason is WaitReason.ADVICE_DUE),
            advice=self._advice.find(step),
            request=request,
            retry=request is not None or (has_room and not is_passed_over),
        )

    def _choose(
        self, step: Step, tasks: Iterable[Task], index: RoomIndex, usable: int
    ) -> list[tuple[Task, str, int]]:
        """Choose a worker for each task, as far as there is capacity."""
        workers = index.select(usable)
        on_worker = self._count_by_worker(step) if step.spec.per_worker else {}
        chosen: list[tuple[Task, str, int]] = []
        for task in tasks:
            avoid = {run.worker for run in task.runs}
            worker = self._pick_worker(step, workers, on_worker, avoid)
            self._count_examined(len(workers), worker is None)
            if worker is None:
                break
            worker.take(step.spec.reserved)
            index.note_taken()
            if step.spec.per_worker:
                on_worker[worker.name] = on_worker.get(worker.name, 0) + 1
            chosen.append((task, worker.name, worker.incarnation))
        return chosen

    def _count_by_worker(self, step: Step) -> dict[str, int]:
        """Return how many of a step's tasks each worker has."""
        counts = Counter(run.worker for run in step.runs())
        number = self._placement_numbers.get(step.name)
        if number is not None:
            counts.update(row[1] for row in self.result.placements[number].tasks)
        return counts

    def _pick_worker(
        self,
        step: Step,
        workers: Iterable[WorkerView],
        on_worker: dict[str, int],
        avoid: set[str],
    ) -> WorkerView | None:
        return pick_worker(step, workers, on_worker, avoid, self._now)

    def _add_placement(self, step: Step, chosen: list[tuple[Task, str, int]]) -> None:
        team, placements = step.job.team, self.result.placements
        self._start_room.take(step, (task for task, _, _ in chosen))
        used = self._team_use.get(team, Resources())
        self._team_use[team] = used.add(step.spec.need, len(chosen))
        self._shares.take(team, step.spec.need, len(chosen))
        self._held.take(step, len(chosen))
        number = self._placement_numbers.get(step.name)
        if number is None:
            self._placement_numbers[step.name] = len(placements)
            placements.append(Placement(step, tuple(chosen)))
        else:
            earlier = placements[number].tasks
            placements[number] = Placement(step, (*earlier, *chosen))

    # Gangs.

    def _place_gang(self, step: Step) -> bool:
        spec = step.spec
        if self._permitted_count(step, len(step.idle)) < spec.count:
            self._block(step, WaitReason.TEAM_LIMIT)
            return False
        if self._start_room.count(step, 0) < spec.count:
            self._record_wait(step, WaitReason.JOB_FULL)
            return False
        index = self._index(step)
        self._advice.request(step, index)
        usable = self._usable(step, index)
        most = spec.per_worker or spec.count
        has_room = index.has_slots(spec.reserved, spec.count, most, usable)
        if has_room:
            if not self._may_look(step):
                reason = self._wait_reason(step, index)
                self._block(step, reason, index, True, True)
                return False
            workers = index.select(usable & index.with_room(spec.reserved))
            chosen = self._gang_workers(step, workers)
            self._count_examined(len(workers), chosen is None)
            if chosen is not None:
                index.note_taken(len(chosen))
                tasks = list(step.idle.values())
                rows = [
                    (t, w.name, w.incarnation)
                    for t, w in zip(tasks, chosen, strict=True)
                ]
                self._add_placement(step, rows)
                self._blocked.clear(step)
                return True
        self._advice.widen(step, index)
        self._block(step, self._wait_reason(step, index), index, has_room)
        self._hold(step, index)
        if self._may_reserve(step, index):
            self._reserve(step, index.select(self._advice.permitted(step, index)))
        return step.name in self.result.reserved

    def _gang_workers(
        self, step: Step, usable: list[WorkerView]
    ) -> list[WorkerView] | None:
        """Return a worker for each member, with its resources taken, or ``None``."""
        if step.spec.same_rack:
            by_rack: dict[str, list[WorkerView]] = {}
            for worker in usable:
                by_rack.setdefault(worker.rack, []).append(worker)
            for rack in sorted(by_rack):
                chosen = self._fit_gang(step, by_rack[rack])
                if chosen is not None:
                    return chosen
        return self._fit_gang(step, usable)

    def _fit_gang(
        self, step: Step, workers: list[WorkerView]
    ) -> list[WorkerView] | None:
        return fit_gang(step, workers, self._now, GangRooms(self._book, self._now))

    def _may_reserve(self, step: Step, index: RoomIndex) -> bool:
        """Return whether to try to reserve capacity for a gang.

        A team above its share gets none while work of one below its share waits.
        """
        return (
            len(self.result.reserved) < MAX_RESERVED_GANGS
            and self._reserve_attempts < _MAX_RESERVE_ATTEMPTS
            and self._memory.may_reserve(step, self._now)
            and bool(self._advice.permitted(step, index))
            and self._held.may_keep_off(step)
            and not (
                self._shares.is_over(step.job.team) and self._shares.has_waiting_below()
            )
        )

    def _reserve(self, step: Step, workers: list[WorkerView]) -> None:
        """Reserve capacity for a gang that does not fit yet."""
        self._reserve_attempts += 1
        self.result.examined += len(workers)
        if reserve_gang(step, workers, self._book, self._now):
            self.result.reserved.add(step.name)
        else:
            self._unreservable.append(step)
        if self._reserve_attempts == _MAX_RESERVE_ATTEMPTS:
            # Others may be held, which this round does not get to any more.
            for other in self._unreservable:
                self._memory.postpone_reservation(other, self._now)


def _share_band(row: tuple[tuple[float, ...], int, Step]) -> tuple[float, ...]:
    """Return the band of urgency within which shares decide, for a ranked step."""
    rank = row[0]
    return _SHARE_BANDS.get(rank[:2], rank[:-1])


def place_round(
    book: JobTable,
    workers: dict[str, WorkerView],
    tickets: TicketTable,
    now: float,
    memory: RoundMemory | None = None,
) -> RoundResult:
    """Decide which waiting tasks start now, and on which workers.

    :param now: on the boot clock.
    :param memory: what is kept from one round to the next; without it each round is
        taken for the first one.
    """
    return Round(book, workers, tickets, now, memory).run()
