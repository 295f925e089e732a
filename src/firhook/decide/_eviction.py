"""Chooses checkpointed runs to stop for work that is in time only if it starts now.

A stopped run saves its progress and resumes later, so that it costs little, whereas
urgent work and gangs are worthless if they have to wait for other work to end.
"""

import itertools
import math
from collections.abc import Iterable, Mapping
from typing import Protocol

import attrs

from firhook.cell import CellConfig, JobTable, Resources, Run, Step
from firhook.decide._eviction_plan import Room, StepPlan, Victim, group_key
from firhook.decide._schedule import RoundResult, WaitReason, urgency
from firhook.decide._tickets import TicketTable
from firhook.decide._token_bucket import TokenBucket
from firhook.decide._worker_choice import must_keep_urgent_headroom
from firhook.decide._worker_views import WorkerView

#: Rate and burst size of evictions.  A gang of 20 tasks of 9 cores takes the place of
#: about 50 tasks of 3.5 cores, so the burst makes room for one such gang.  At this rate
#: evictions cost 0.4% of a cell of 5,600 cores if each takes half a second of 3.5
#: cores, also where estimates mislead the comparison of gain and cost.
EVICTIONS_PER_S = 10.0
EVICTION_BURST = 60.0
#: The gain must be this many times the cost.  Both rest on callers' estimates, which
#: are off by up to 90%.
MIN_GAIN_FACTOR = 3.0
#: The highest run number of a task that may be evicted.  Run numbers are stored, so
#: that the limit holds across changes of the lead.
MAX_EVICTED_RUN = 3
#: From the end of a stopped run until the round that uses its capacity.
_END_REPORT_S = 0.05
#: A gang is in time only if it starts now when its latest start is at most this long
#: after the time at which evicted capacity is free, plus a fraction of its estimate:
#: it takes as long as its slowest member, and estimates are inaccurate.  Without that
#: fraction, gangs that were served at their last moment ended late.
_GANG_WINDOW_S = 0.5
_GANG_MARGIN = 0.25
#: A run is not stopped if it ends by itself within this many times what stopping and
#: resuming it take: it frees its capacity almost as soon, at no cost.
_MIN_REMAINING_FACTOR = 2.0
#: A task that was resumed runs for at least this many times what stopping and
#: resuming it take, which limits the cost to a tenth of its work.
_MIN_RESUMED_FACTOR = 10.0
#: A stop that takes this many times the usual time counts as lost: its capacity is no
#: longer expected.  The order is still repeated.
_LOST_STOP_FACTOR = 2.0
#: The fraction of stops that are assumed to end without a new checkpoint, as when the
#: worker is lost meanwhile.  It is an assumption, not a measured figure.
_LOST_STOP_RISK = 0.05
#: The most waiting steps that are examined at once, in the order of the round, and for
#: how many of them stops are searched.  A search of all workers for each of 30 steps
#: took 0.1 s in a cell of 176 workers, during which the lead does nothing else.
_MAX_EXAMINED = 32
_MAX_SEARCHES = 4
#: On how many workers with runs that may be stopped a search looks for them.
_MIN_SEARCHED = 8
_SEARCHED_PER_TASK = 2
#: A step for which no stops were found is not searched again for this long.  It is
#: left out of the next decision of a lead, so that other steps get their turn.
_SEARCH_AGAIN_S = 0.09
#: The reasons of steps that start as soon as workers with valid tickets have capacity.
_ROOM_REASONS = {WaitReason.NO_ROOM, WaitReason.ADVICE_ASKED, WaitReason.ADVICE_DUE}


class ShareView(Protocol):
    """Which teams are above their share, as a round sees it."""

    @property
    def is_crowded(self) -> bool:
        """Whether the waiting work needs more than the free capacity."""

    def is_over(self, team: str) -> bool:
        """Return whether a team is above its share."""


class TimeBounds(Protocol):
    """The time limits that decide what a stop costs, in seconds."""

    @property
    def task_stop_s(self) -> float:
        """Time within which a stopped task ends."""

    @property
    def checkpoint_s(self) -> float:
        """Interval between the checkpoints of a task."""

    @property
    def restore_s(self) -> float:
        """Time to resume a task from a checkpoint."""


@attrs.frozen(slots=True)
class Stop:
    """A run to stop, and the step for which it is stopped.

    :param cost_core_s: core-seconds that the stop is expected to cost.
    :param gain_core_s: core-seconds that end in time because of all stops for the step.
    :param over_share: whether the run's team is above its share.
    """

    run: Run
    beneficiary: Step
    cost_core_s: float
    gain_core_s: float
    over_share: bool


@attrs.define(slots=True, eq=False)
class EvictionBudget:
    """Limits evictions, and keeps since when runs are being stopped.

    A new lead starts with an empty one.

    :ivar not_before: when stops are next considered for a step, by its name.
    :ivar stopping_since: when a run was first seen being stopped.
    """

    tokens: TokenBucket = attrs.field(
        factory=lambda: TokenBucket(EVICTIONS_PER_S, EVICTION_BURST)
    )
    not_before: dict[str, float] = attrs.field(factory=dict)
    stopping_since: dict[Run, float] = attrs.field(factory=dict)

    def note_stopping(self, runs: list[Run], now: float) -> None:
        """Record which runs are being stopped, and forget all others."""
        self.stopping_since = {r: self.stopping_since.get(r, now) for r in runs}

    def note_stops(self, stops: list[Stop], now: float) -> None:
        """Record that runs are stopped for a step."""
        self.tokens.spend(len(stops))
        self.stopping_since.update((stop.run, now) for stop in stops)

    def postpone(self, step: Step, now: float, delay_s: float) -> None:
        """Consider a step again after a delay, and forget delays that are over."""
        self.not_before = {n: at for n, at in self.not_before.items() if at > now}
        self.not_before[step.name] = now + delay_s


def may_evict(config: CellConfig) -> bool:
    """Return whether a cell has work that may be evicted and work that may need it.

    Only a queue of priority 0 states that some work may preempt other work.
    """
    priorities = {queue.priority for queue in config.queues}
    return len(priorities) > 1 and min(priorities) == 0


def choose_stops(
    job_table: JobTable,
    views: Mapping[str, WorkerView],
    tickets: TicketTable,
    result: RoundResult,
    shares: ShareView | None,
    budget: EvictionBudget,
    bounds: TimeBounds,
    now: float,
) -> list[Stop]:
    """Return the runs to stop so that waiting work starts in time.

    In a burst, work of a few seconds fills all workers.  Urgent work, which has half
    a second to start, finds no capacity, and a gang finds it on too few workers at
    once.  Stopping some checkpointed runs costs a fraction of what that work is worth.

    :param views: the workers as the round has left them, its placements planned.
    :param shares: ``None`` if no team is above its share.
    """
    if shares is not None and not shares.is_crowded:
        return []
    if not may_evict(job_table.config):
        return []
    if budget.tokens.available(now) < 1:
        return []
    round_ = _Evictions(job_table, views, tickets, result, shares, budget, bounds, now)
    return round_.choose()


class _Evictions:
    """The choice of stops after one round."""

    def __init__(
        self,
        job_table: JobTable,
        views: Mapping[str, WorkerView],
        tickets: TicketTable,
        result: RoundResult,
        shares: ShareView | None,
        budget: EvictionBudget,
        bounds: TimeBounds,
        now: float,
    ) -> None:
        self._job_table = job_table
        self._views = views
        self._tickets = tickets
        self._result = result
        self._shares = shares
        self._budget = budget
        self._bounds = bounds
        self._now = now
        self._move_s = bounds.task_stop_s + bounds.restore_s
        self._free_after_s = bounds.task_stop_s + _END_REPORT_S
        self._team_use = dict(job_table.team_usage)
        self._ranks: dict[Step, tuple[float, ...]] = {}
        self._searches = _MAX_SEARCHES
        self._lowest: dict[str, int] = {}
        for queue in job_table.config.queues:
            lowest = self._lowest.get(queue.pool, 0)
            self._lowest[queue.pool] = max(lowest, queue.priority)

    def choose(self) -> list[Stop]:
        """Return the runs to stop."""
        steps = self._steps()
        if not steps:
            return []
        rooms = self._rooms()
        stops: list[Stop] = []
        for step in steps:
            stops += self._serve(step, rooms)
            if not self._searches:
                break
        return stops

    # The waiting work.

    def _steps(self) -> list[Step]:
        """Return the steps to examine, in the order of the round.

        Steps before the last one that may benefit take capacity before it, also if
        nothing is stopped for them.
        """
        waiting = [
            self._job_table.open_steps[name]
            for name, reason in self._result.wait_reasons.items()
            if reason in _ROOM_REASONS and name in self._job_table.open_steps
        ]
        if not any(self._may_benefit(step) for step in waiting):
            return []
        waiting.sort(key=self._turn)
        steps = waiting[:_MAX_EXAMINED]
        while steps and not self._may_benefit(steps[-1]):
            steps.pop()
        return steps

    def _turn(self, step: Step) -> tuple[float, ...]:
        """Return the sort key of a waiting step in the round.

        The reserved capacity of a gang that is overdue goes before all work that is
        not urgent.
        """
        rank = self._rank(step)
        is_overdue = step.job.objective_at(step.occurrence) < self._now
        if step.name in self._result.reserved and is_overdue:
            return (0, 0.5, *rank[2:])
        return rank

    def _rank(self, step: Step) -> tuple[float, ...]:
        rank = self._ranks.get(step)
        if rank is None:
            band, sub_band, latest = urgency(step, self._now)
            rank = (band, sub_band, self._is_over(step.job.team), latest)
            self._ranks[step] = rank
        return rank

    def _is_over(self, team: str) -> bool:
        return self._shares is not None and self._shares.is_over(team)

    def _may_benefit(self, step: Step) -> bool:
        """Return whether runs may be stopped for a step.

        It has to be in time after the stops.  Other work than urgent work benefits
        only if it is a gang, which needs capacity on many workers at the same time,
        cannot be in time if it starts later, and has the capacity reserved: smaller
        tasks would take it otherwise while the runs end one after the other.
        """
        queue = step.job.queue
        if queue.priority >= self._lowest.get(queue.pool, 0):
            return False
        slack_s = step.latest_start() - self._now - self._free_after_s
        if slack_s < 0:
            return False
        if self._now < self._budget.not_before.get(step.name, -math.inf):
            return False
        if queue.priority == 0:
            return True
        slack_s -= _GANG_MARGIN * step.spec.estimate_s
        is_last_moment = 0 <= slack_s <= _GANG_WINDOW_S
        return step.spec.gang and is_last_moment and step.name in self._result.reserved

    def _is_within_limit(self, step: Step) -> bool:
        """Return whether the team's limit lets all waiting tasks of a step start."""
        team = self._job_table.config.team_by_name.get(step.job.team)
        used = self._team_use.get(step.job.team, Resources())
        return team is None or team.permits(used.add(step.spec.need, len(step.idle)))

    # The workers.

    def _rooms(self) -> list[Room]:
        """Return the capacity of each worker, and the runs that may be stopped.

        The capacity of runs that are being stopped counts.  Without this each round
        would stop further runs for a step until the first ones have ended.  Runs that
        may end by themselves do not count: their estimates are inaccurate, and a gang
        that relies on several of them starts too late.
        """
        runs_by_worker = {
            name: list(self._job_table.worker_runs.get(name, {}).values())
            for name, view in self._views.items()
            if view.usable
        }
        all_runs = itertools.chain.from_iterable(runs_by_worker.values())
        stopping = [run for run in all_runs if run.stop_reason]
        self._budget.note_stopping(stopping, self._now)
        rooms = []
        for name, runs in runs_by_worker.items():
            view = self._views[name]
            free = view.free
            for run in runs:
                if run.stop_reason and self._is_ending(run):
                    free = free.add(run.task.step.spec.reserved)
            others = [run for run in runs if not run.stop_reason]
            over = self._shares is not None and any(
                self._is_over(run.task.step.job.team) for run in others
            )
            rooms.append(Room(view, free, others, over))
        return rooms

    def _is_ending(self, run: Run) -> bool:
        """Return whether a run is being stopped and its end is expected by then."""
        since = self._budget.stopping_since.get(run, -math.inf)
        return self._now - since < _LOST_STOP_FACTOR * self._free_after_s

    def _is_victim(self, run: Run) -> bool:
        """Return whether a run may be stopped for other work.

        Runs that were not confirmed may not exist yet, and a copy of a task makes
        stopping one of its runs pointless.
        """
        task, spec = run.task, run.task.step.spec
        queue = task.step.job.queue
        if not spec.checkpoints or spec.gang or spec.long_running:
            return False
        if spec.max_unavailable or queue.priority != self._lowest.get(queue.pool):
            return False
        if not run.stored or not run.confirmed or run.copies.may_arrive:
            return False
        if task.done or len(task.runs) != 1:
            return False
        if run.number > MAX_EVICTED_RUN:
            return False
        ran_s = self._now - run.started_at
        if run.number > 1 and ran_s < _MIN_RESUMED_FACTOR * self._move_s:
            return False
        return run.remaining_s(self._now) > _MIN_REMAINING_FACTOR * self._move_s

    def _victim(self, run: Run) -> Victim:
        step, now = run.task.step, self._now
        cores = step.spec.need.cpu_m / 1000
        unsaved_s = min(self._bounds.checkpoint_s, now - run.started_at)
        cost_s = self._move_s + _LOST_STOP_RISK * unsaved_s
        # The work of a job that is in time only if the run goes on is lost as well.
        end_at = now + run.remaining_s(now)
        objective_at = step.job.objective_at(step.occurrence)
        if end_at <= objective_at < end_at + self._move_s:
            cost_s += step.spec.estimate_s
        over = self._is_over(step.job.team)
        return Victim(run, step.spec.reserved, over, cores * cost_s, self._rank(step))

    def _usable_rooms(self, step: Step, rooms: Iterable[Room]) -> list[Room]:
        """Return the workers on which a step may start once stops have taken effect.

        A ticket that expires before then would make the stops pointless.
        """
        queue, spec = step.job.queue, step.spec
        suitable = [
            r
            for r in rooms
            if r.worker.pool == queue.pool
            and (not spec.label or spec.label in r.worker.labels)
        ]
        if queue.advice is None:
            return suitable
        margin_s = self._tickets.margin_s(queue.advice.valid_s)
        until = self._now + self._free_after_s + margin_s
        advice = self._tickets.advice_for(step)
        return [
            r
            for r in suitable
            if advice.usable_ticket(r.worker.name, r.worker.incarnation, until)
        ]

    # The choice.

    def _serve(self, step: Step, rooms: list[Room]) -> list[Stop]:
        """Return the runs to stop for a step, and take the capacity that it gets.

        All waiting tasks of the step must be able to start, because its job ends in
        time only with the last of them.
        """
        if not self._is_within_limit(step):
            return []
        usable = self._usable_rooms(step, rooms)
        plan = StepPlan(step, usable, self._headroom(step))
        stops: list[Stop] = []
        if plan.missing > 0 and self._may_benefit(step):
            stops = self._search(step, usable)
        if plan.missing <= 0 or stops:
            used = self._team_use.get(step.job.team, Resources())
            self._team_use[step.job.team] = used.add(step.spec.need, len(step.idle))
        if stops:
            stopped = {stop.run for stop in stops}
            for room in usable:
                for victim in [v for v in room.victims or () if v.run in stopped]:
                    room.stop(victim)
            plan = StepPlan(step, usable, self._headroom(step))
        # A gang that does not fit keeps capacity from others only if it is reserved.
        if plan.missing <= 0 or not step.spec.gang or self._is_reserved(step):
            plan.take()
        return stops

    def _search(self, step: Step, usable: list[Room]) -> list[Stop]:
        """Return the runs to stop for a step, and record the decision."""
        self._searches -= 1
        stops = self._make_room(step, usable)
        again_s = _SEARCH_AGAIN_S
        if stops:
            again_s = _LOST_STOP_FACTOR * self._free_after_s
            self._budget.note_stops(stops, self._now)
        self._budget.postpone(step, self._now, again_s)
        return stops

    def _is_reserved(self, step: Step) -> bool:
        return step.name in self._result.reserved

    def _headroom(self, step: Step) -> bool:
        """Return whether the step leaves the headroom for urgent work free."""
        return must_keep_urgent_headroom(step, self._now + self._free_after_s)

    def _rooms_to_search(self, step: Step, usable: list[Room]) -> list[Room]:
        """Return the workers that have room or on which stops may make room.

        Stops are considered on some workers only, those with runs of teams above
        their share and then those with most free capacity first.
        """
        limit = _MIN_SEARCHED + _SEARCHED_PER_TASK * len(step.idle)
        found: list[Room] = []
        searched = 0
        for room in sorted(usable, key=lambda r: (not r.over_share, -r.free.cpu_m)):
            if searched < limit:
                if room.victims is None:
                    runs = [run for run in room.runs if self._is_victim(run)]
                    victims = [self._victim(run) for run in runs]
                    room.victims = sorted(victims, key=lambda victim: victim.sort_key)
                searched += bool(room.victims)
                found.append(room)
            elif room.free.covers(step.spec.reserved):
                found.append(room)
        return found

    def _make_room(self, step: Step, usable: list[Room]) -> list[Stop]:
        """Return the cheapest runs to stop for a step, or none if they cost too much.

        Tasks are slower on another rack than their data, and a gang may be slower on
        several racks, so that only capacity on one rack makes them end in time.
        """
        spec = step.spec
        usable = self._rooms_to_search(step, usable)
        groups = [usable]
        if spec.data_rack:
            groups = [[r for r in usable if r.worker.rack == spec.data_rack]]
        elif spec.gang and spec.same_rack:
            by_rack: dict[str, list[Room]] = {}
            for room in usable:
                by_rack.setdefault(room.worker.rack, []).append(room)
            groups = list(by_rack.values())
        rank = self._rank(step)
        headroom = self._headroom(step)
        # A team above its share takes nothing from one below it.
        only_over_share = self._is_over(step.job.team)
        max_stops = self._budget.tokens.available(self._now)
        found = [
            victims
            for group in groups
            if (
                victims := StepPlan(step, group, headroom).victims(
                    rank, max_stops, only_over_share
                )
            )
        ]
        if not found:
            return []
        victims = min(found, key=group_key)
        cost = sum(v.cost_core_s for v in victims)
        gain = step.remaining * spec.estimate_s * spec.need.cpu_m / 1000
        if gain < MIN_GAIN_FACTOR * cost:
            return []
        return [Stop(v.run, step, v.cost_core_s, gain, v.over_share) for v in victims]
