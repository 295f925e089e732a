"""Decides in a round which steps the adviser is asked about."""

import math
from collections import Counter

from firhook.cell import AdvicePolicy, JobTable, Resources, Step
from firhook.decide._room import AdviceSets, RoomIndex
from firhook.decide._round_memory import RoundMemory
from firhook.decide._tickets import (
    FAST_ANSWER_S,
    MAX_WORKERS_PER_REQUEST,
    AdviceRequest,
    StepAdvice,
    TicketTable,
    make_request,
    more_workers_request,
    next_advice_request,
)
from firhook.decide._worker_views import WorkerView

#: How often a waiting step is checked for whether to ask about more workers.
_WIDEN_INTERVAL_S = 1.0
#: Requests of a round with slow answers, and with fast ones.  More than all instances
#: can send at once need not be prepared, with 40 instances; the other steps' turn comes
#: when these have been sent.
_MAX_REQUESTS = 64


class AdvicePlanner:
    """The advice of a round: who may run each step, and what to ask the adviser.

    :ivar requests: what to ask the adviser.
    :ivar due: the names of the steps for which a request is due.
    :ivar counts: the number of requests with slow answers, and with fast ones.
    :ivar examined: how many workers were looked at.
    """

    def __init__(
        self, job_table: JobTable, tickets: TicketTable, memory: RoundMemory, now: float
    ) -> None:
        self._job_table = job_table
        self._tickets = tickets
        self._memory = memory
        self._now = now
        self.counts: Counter[bool] = Counter()
        self._asks_always = set(memory.reserved)
        self._requests: dict[str, AdviceRequest] = {}
        self._first_asked: dict[RoomIndex, tuple[tuple[str, int], ...]] = {}
        self.requests: list[AdviceRequest] = []
        self.due: set[str] = set()
        self.examined = 0

    def ask_always(self, step: Step) -> None:
        """Request advice for a step whether or not workers have room for it now."""
        self._asks_always.add(step.name)

    def permitted(self, step: Step, index: RoomIndex) -> int:
        """Return the workers that may run a step, with or without a valid ticket."""
        if step.job.queue.advice is None:
            return index.all
        return self._sets(step).permitted & index.all

    def with_ticket(self, step: Step, index: RoomIndex) -> int:
        """Return the workers on which a step may start now."""
        policy = step.job.queue.advice
        if policy is None:
            return index.all
        until = self._now + self._tickets.margin_s(policy.valid_s)
        return self._sets(step).with_ticket(until) & index.all

    def find(self, step: Step) -> StepAdvice | None:
        """Return the adviser's answers for a step, ``None`` if it needs none."""
        if step.job.queue.advice is None:
            return None
        return self._tickets.advice_for(step)

    def excluded(self, step: Step, is_due: bool) -> int:
        """Return the workers whose free capacity does not matter for a step now.

        They may not run it, or the adviser's answer about them is awaited.

        :param is_due: whether a request for the step waits to be sent.
        """
        if step.job.queue.advice is None:
            return 0
        sets = self._sets(step)
        if is_due or self._tickets.advice_for(step).in_flight:
            return ~sets.permitted
        return sets.answered & ~sets.permitted

    def request_of(self, step: Step) -> AdviceRequest | None:
        """Return this round's request for a step, if there is one."""
        return self._requests.get(step.name)

    def repeat(self, step: Step, request: AdviceRequest | None) -> bool:
        """Repeat the last round's request; return whether it need not be renewed.

        :param request: ``None`` if the last round had enough requests.
        """
        if self.is_full(step):
            return True
        if request is None:
            return False
        if step.name not in self.due:
            self._add(request)
        return True

    def next_change(self, step: Step, index: RoomIndex) -> float:
        """Return when advice may be due for a step, if nothing else changes."""
        policy = step.job.queue.advice
        if policy is None:
            return math.inf
        advice, at = self._tickets.advice_for(step), math.inf
        if advice.in_flight:
            return at
        known = self._sets(step).permitted & index.all
        if known:
            at = self._due_at(step, policy, known)
        return min((t for t in (at, advice.widen_at) if t > self._now), default=at)

    def request(self, step: Step, index: RoomIndex) -> None:
        """Request advice that a step needs before it can start.

        The answers to 7,075 requests on one day took the adviser 1,930 s of the 2,200 s
        that it has, and some were for steps that fit on no worker.  So a step for which
        no worker has room gets advice only if the answer is slow and the step can still
        be in time.
        """
        policy = step.job.queue.advice
        if policy is None or step.name in self.due:
            return
        advice = self._tickets.advice_for(step)
        if advice.in_flight:
            return
        sets = self._sets(step)
        known = sets.permitted & index.all
        if not known:
            unknown = index.all & ~sets.answered
            if unknown and self._may_ask(step, index, unknown, unknown):
                self._add_first(step, index, unknown)
            return
        if self._due_at(step, policy, known) > self._now:
            return
        if not self._may_ask(step, index, known, known) or self.is_full(step):
            return
        workers = index.select(known)
        self.examined += len(workers)
        has_capacity = any(w.free.covers(step.spec.reserved) for w in workers)
        if len(workers) > MAX_WORKERS_PER_REQUEST:
            workers.sort(key=lambda w: not w.free.covers(step.spec.reserved))
        asked = [(w.name, w.incarnation) for w in workers]
        margin_s = self._tickets.margin_s(policy.valid_s)
        self._add(
            next_advice_request(step, advice, asked, has_capacity, self._now, margin_s)
        )

    def widen(self, step: Step, index: RoomIndex) -> None:
        """Request advice about more workers for a step that cannot start now.

        If the first request covered few workers, more are requested at once.  After
        that, only if the permitted workers could not hold the step even once their
        finite tasks have ended, because each answer takes the adviser's time, or if
        the step is a gang and other workers have room for its tasks.  A gang needs
        room on many permitted workers at the same time, and other work takes the
        room of each task that ends.  It might wait for these workers for as long as
        the cell is busy while others are idle.
        """
        if step.job.queue.advice is None or step.name in self.due:
            return
        advice = self._tickets.advice_for(step)
        if advice.in_flight or self._now < advice.widen_at:
            return
        sets = self._sets(step)
        unknown = index.all & ~sets.answered
        request = None
        if unknown:
            open_to_it = unknown | sets.permitted & index.all
            if not self._may_ask(step, index, open_to_it, unknown):
                return
            if self.is_full(step):
                return
            first_was_short = advice.answered_count() < MAX_WORKERS_PER_REQUEST
            if (
                first_was_short
                or (step.spec.gang and index.with_room(step.spec.reserved) & unknown)
                or not self._could_hold(step, index)
            ):
                workers = index.select(unknown)
                self.examined += len(workers)
                asked = [(w.name, w.incarnation) for w in workers]
                request = more_workers_request(step, advice, asked, self._now)
        if request is None:
            advice.widen_at = self._now + _WIDEN_INTERVAL_S
        self._add(request)

    def _due_at(self, step: Step, policy: AdvicePolicy, known: int) -> float:
        """Return when the tickets for some workers have to be requested again."""
        cost_s = policy.answer_s(min(known.bit_count(), MAX_WORKERS_PER_REQUEST))
        ahead_s = cost_s if cost_s > FAST_ANSWER_S else 0.0
        margin_s = self._tickets.margin_s(policy.valid_s)
        return self._sets(step).first_expiry(known) - margin_s - ahead_s

    def _sets(self, step: Step) -> AdviceSets:
        return self._memory.advice_sets(step, self._tickets.advice_for(step))

    def _may_ask(self, step: Step, index: RoomIndex, workers: int, asked: int) -> bool:
        """Return whether the answer may let a step start, or must be had in advance.

        :param workers: the workers that the step may have once they were asked about.
        :param asked: those of them to ask about.
        """
        if step.name in self._asks_always:
            return True
        spec = step.spec
        if index.with_room(spec.reserved) & asked:
            if not spec.gang:
                return True
            most = spec.per_worker or spec.count
            if index.has_slots(spec.reserved, spec.count, most, workers):
                return True
        if not self._is_slow(step, asked.bit_count()):
            return False
        return step.latest_start() >= self._now - step.job.queue.target_s

    def _is_slow(self, step: Step, asked: int) -> bool:
        """Return whether the answer about a number of workers is slow."""
        policy = step.job.queue.advice
        count = min(asked, MAX_WORKERS_PER_REQUEST)
        return policy is not None and policy.answer_s(count) > FAST_ANSWER_S

    def had_enough(self, step: Step) -> bool:
        """Return whether requests of the last round remain to be sent before a step's.

        They were for more urgent steps.
        """
        is_slow = self._is_slow(step, MAX_WORKERS_PER_REQUEST)
        return self._memory.request_counts[is_slow] > _MAX_REQUESTS // 2

    def is_full(self, step: Step) -> bool:
        """Return whether the round has enough requests; the step waits for advice."""
        is_slow = self._is_slow(step, MAX_WORKERS_PER_REQUEST)
        if self.counts[is_slow] < _MAX_REQUESTS:
            return False
        self.due.add(step.name)
        return True

    def _add_first(self, step: Step, index: RoomIndex, unknown: int) -> None:
        if self.is_full(step):
            return
        if unknown != index.all:
            workers = index.select(unknown)
            self.examined += len(workers)
            asked = tuple((w.name, w.incarnation) for w in workers)
            self._add(make_request(step, asked[:MAX_WORKERS_PER_REQUEST], self._now))
            return
        first = self._first_asked.get(index)
        if first is None:
            workers = list(index.workers[:MAX_WORKERS_PER_REQUEST])
            first = tuple((w.name, w.incarnation) for w in workers)
            self._first_asked[index] = first
        self._add(make_request(step, first, self._now))

    def _add(self, request: AdviceRequest | None) -> None:
        if request is None:
            return
        self.requests.append(request)
        self.due.add(request.step.name)
        self._requests[request.step.name] = request
        is_slow = self._is_slow(request.step, MAX_WORKERS_PER_REQUEST)
        self.counts[is_slow] += 1

    def _could_hold(self, step: Step, index: RoomIndex) -> bool:
        """Return whether permitted workers can hold a step once finite tasks end."""
        spec = step.spec
        wanted = spec.count if spec.gang else 1
        max_per_worker = spec.per_worker or spec.count
        slots = 0
        for worker in index.select(self._sets(step).permitted & index.all):
            self.examined += 1
            free = self._free_at_end(worker)
            slots += free.count_fitting(spec.reserved, max_per_worker)
            if slots >= wanted:
                return True
        return False

    def _free_at_end(self, worker: WorkerView) -> Resources:
        """Return a worker's free capacity once its finite tasks have ended."""
        free = worker.free
        for run in self._job_table.worker_runs.get(worker.name, {}).values():
            if not run.task.step.spec.long_running:
                free = free.add(run.task.step.spec.reserved)
        return free
