"""What is kept from one scheduling round to the next."""

import math
from collections import Counter
from collections.abc import Iterable

import attrs

from firhook.cell import Queue, Resources, Step
from firhook.decide._blocked_steps import BlockedSteps
from firhook.decide._held_capacity import IdleHolds
from firhook.decide._room import AdviceSets, WorkerBits, advice_sets
from firhook.decide._team_shares import UseHistory
from firhook.decide._tickets import StepAdvice
from firhook.decide._worker_views import WorkerView

#: A gang that the permitted workers could not hold gets another attempt to reserve
#: capacity after this time, if too many gangs wait to try all of them.
_RESERVE_INTERVAL_S = 1.0
#: A forecast of the room for a gang is kept for this long.  It looks at all tasks that
#: run on the permitted workers, which takes up to a millisecond.
_FORECAST_INTERVAL_S = 0.5
#: Entries of closed steps are deleted when there are this many beyond twice the open
#: steps.
_SPARE_STEPS = 64


@attrs.frozen(slots=True)
class GangForecast:
    """When running work will have made room for a gang.

    :param ready_at: ``None`` if that is not known.
    """

    made_at: float
    ready_at: float | None

    def is_valid(self, now: float) -> bool:
        """Return whether the forecast need not be made again."""
        is_over = self.ready_at is not None and self.ready_at < now
        return not is_over and now - self.made_at < _FORECAST_INTERVAL_S


class RoundMemory:
    """What the rounds of one term keep.  All of it can be lost at any time.

    :ivar history: the recent use of each team.
    :ivar bits: the bits of the workers.
    :ivar blocked: the steps that could not start.
    :ivar idle_holds: since when gangs hold capacity beside idle workers.
    :ivar times: the queue, the critical paths, the latest start and the allowed time
        of steps, by name.
    :ivar reserved: the gangs for which the last round reserved capacity.
    :ivar request_counts: the number of its requests to the adviser with slow answers,
        and with fast ones.
    """

    def __init__(self) -> None:
        self.history = UseHistory()
        self.bits = WorkerBits()
        self.blocked = BlockedSteps()
        self.idle_holds = IdleHolds()
        self.reserved: set[str] = set()
        self.request_counts: Counter[bool] = Counter()
        self.times: dict[str, tuple[Queue, tuple[float, float], float, float]] = {}
        self._free: dict[tuple[str, int], Resources] = {}
        self._sets: dict[str, AdviceSets] = {}
        self._reserve_at: dict[str, float] = {}
        self._forecasts: dict[str, GangForecast] = {}

    def begin_round(
        self, workers: Iterable[WorkerView], open_steps: dict[str, Step]
    ) -> tuple[int, int]:
        """Return the workers with more free capacity than after the last round.

        A new incarnation counts as one: it may have other labels.  The second value is
        the largest number of free millicores among them.
        """
        self.bits.update(workers)
        grown, most_cpu_m = 0, -1
        for worker in workers:
            before = self._free.get((worker.name, worker.incarnation))
            if worker.usable and (before is None or not before.covers(worker.free)):
                grown |= self.bits.find(worker.name)
                most_cpu_m = max(most_cpu_m, worker.free.cpu_m)
        self.blocked.forget_closed(open_steps)
        limit = 2 * len(open_steps) + _SPARE_STEPS
        if len(self._sets) > limit:
            self._sets = {n: s for n, s in self._sets.items() if n in open_steps}
        if len(self.times) > limit:
            self.times = {n: t for n, t in self.times.items() if n in open_steps}
        if len(self._reserve_at) > limit:
            self._reserve_at = {
                n: at for n, at in self._reserve_at.items() if n in open_steps
            }
        if len(self._forecasts) > limit:
            self._forecasts = {
                n: f for n, f in self._forecasts.items() if n in open_steps
            }
        return grown, most_cpu_m

    def end_round(
        self,
        workers: Iterable[WorkerView],
        reserved: set[str],
        request_counts: Counter[bool],
    ) -> None:
        """Keep the free capacity, the reservations and the requests of a round."""
        self.request_counts = request_counts
        self._free = {(w.name, w.incarnation): w.free for w in workers if w.usable}
        self.reserved = reserved

    def advice_sets(self, step: Step, advice: StepAdvice) -> AdviceSets:
        """Return the adviser's answers for a step as sets of workers."""
        name = step.name
        sets = self._sets.get(name)
        if (
            sets is None
            or sets.version != advice.version
            or sets.generation != self.bits.generation
        ):
            sets = self._sets[name] = advice_sets(advice, self.bits)
        return sets

    def gang_forecast(self, step: Step, now: float) -> GangForecast | None:
        """Return the forecast of the room for a gang, if there is a recent one."""
        known = self._forecasts.get(step.name)
        return known if known is not None and known.is_valid(now) else None

    def keep_gang_forecast(
        self, step: Step, ready_at: float | None, now: float
    ) -> GangForecast:
        """Keep a forecast of the room for a gang, and return it."""
        forecast = self._forecasts[step.name] = GangForecast(now, ready_at)
        return forecast

    def may_reserve(self, step: Step, now: float) -> bool:
        """Return whether to try to reserve capacity for a gang."""
        return self._reserve_at.get(step.name, -math.inf) <= now

    def postpone_reservation(self, step: Step, now: float) -> None:
        """Note that the permitted workers cannot hold a gang."""
        self._reserve_at[step.name] = now + _RESERVE_INTERVAL_S
