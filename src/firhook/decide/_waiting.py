"""Reports which steps wait, for how long and why."""

import heapq
import math
from collections import Counter
from collections.abc import Collection, Container, Iterable, Mapping

import attrs

from firhook.cell import NO_RESOURCES, JobTable, Resources, Step
from firhook.cell.job_table import MAX_ORDER_DELAY_S
from firhook.decide.schedule import LATE_FACTOR, WaitReason, WorkerView
from firhook.decide.tickets import MAX_WORKERS_PER_REQUEST, TicketTable

#: Limit of the worker names in a row.
_MAX_WORKERS = 3
#: The first interval after which an overdue step is reported again; it doubles.
_REPEAT_S = 10.0


@attrs.frozen(slots=True)
class RoundView:
    """What the last round saw and decided.

    :param wait_reasons: why steps could not start, by the step's name.
    :param workers: the workers that get new work, with the capacity that the round
        left free; empty if no round took place.
    :param reserved: the gangs for which capacity is reserved, by the step's name.
    :param answering: the workers that answer polls.
    """

    wait_reasons: Mapping[str, WaitReason] = attrs.field(factory=dict)
    workers: Mapping[str, WorkerView] = attrs.field(factory=dict)
    reserved: Container[str] = ()
    answering: Collection[str] = ()


@attrs.frozen(slots=True)
class Room:
    """How many of a step's waiting tasks fit on the workers now.

    :param permitted: on the workers that the adviser permits.
    :param unreserved: of these, beside the capacity that is reserved for gangs.
    :param pool: on all workers of its pool and label.
    """

    permitted: int
    unreserved: int
    pool: int


@attrs.frozen(slots=True)
class WaitingStep:
    """A step that is ready and has tasks without a confirmed run.

    :param ready_s: seconds since it became ready, or since this lead's term began if
        that was later.
    :param waits_s: seconds since tasks of it wait; shorter if all of them ran before.
    :param reason: why its tasks do not run.
    :param reason_s: seconds for which this has been the reason.
    :param tasks: how many of its tasks wait.
    :param overdue: whether it has waited longer than its reason explains.
    :param workers: some of the workers that its runs are bound to, if any.
    :param asked: for how many workers the adviser has answered.
    :param permitted: how many of these may run it.
    :param with_ticket: how many of these have a ticket that is valid.
    :param reserved: whether capacity is reserved for it.
    :param room: ``None`` if no round took place.
    """

    step: Step
    ready_s: float
    waits_s: float
    reason: WaitReason
    reason_s: float
    tasks: int
    overdue: bool
    workers: tuple[str, ...] = ()
    asked: int = 0
    permitted: int = 0
    with_ticket: int = 0
    reserved: bool = False
    room: Room | None = None
    team_used: Resources = NO_RESOURCES
    team_limit: Resources = NO_RESOURCES


@attrs.define(slots=True)
class ReasonTotal:
    """All steps that wait for one reason.

    :ivar steps: their number.
    :ivar longest_s: the longest wait.
    :ivar overdue: how many have waited longer than the reason explains.
    """

    steps: int = 0
    longest_s: float = 0.0
    overdue: int = 0


@attrs.frozen(slots=True)
class WaitingReport:
    """All waiting steps: totals by reason, and some of them in detail.

    :param rows: the oldest step of each reason, then the oldest of the others.
    """

    totals: Mapping[WaitReason, ReasonTotal]
    rows: tuple[WaitingStep, ...]


@attrs.frozen(slots=True)
class WaitLimits:
    """How long a wait is explained by reasons that do not depend on the load.

    Whatever the reason, a wait of :data:`LATE_FACTOR` times the job's objective is
    not explained.

    :param lease_s: longest lease of a worker, after which its runs are known to be
        over.
    :param visibility_s: time within which a round considers an accepted job.
    """

    lease_s: float
    visibility_s: float

    def objective_at(self, step: Step, began_at: float) -> float:
        """Return until when a wait is explained whatever the reason.

        :param began_at: when the wait began.
        """
        released_at = step.job.released_at(step.occurrence)
        allowed_s = step.job.objective_at(step.occurrence) - released_at
        return max(released_at, began_at) + LATE_FACTOR * allowed_s

    def reason_s(self, step: Step, reason: WaitReason) -> float:
        """Return how long a reason may hold, in seconds."""
        if reason is WaitReason.NOT_LOOKED_AT:
            return self.visibility_s
        if reason in (WaitReason.RUNS_BOUND, WaitReason.GANG_INCOMPLETE):
            return self.lease_s + MAX_ORDER_DELAY_S
        advice = step.job.queue.advice
        if reason is WaitReason.ADVICE_ASKED and advice is not None:
            return LATE_FACTOR * advice.answer_s(MAX_WORKERS_PER_REQUEST)
        return math.inf


@attrs.define(slots=True, eq=False)
class _Wait:
    """A waiting step.

    :param order: since when tasks of it wait, and its name.
    :param late_at: until when the job's objective explains the wait.
    :ivar reason_at: since when the reason holds.
    :ivar overdue_at: until when the reason explains the wait.
    :ivar tasks: how many of its tasks wait.
    """

    step: Step
    order: tuple[float, str]
    late_at: float
    reason: WaitReason | None = None
    reason_at: float = 0.0
    overdue_at: float = 0.0
    tasks: int = 0


class WaitMonitor:
    """Follows the steps that wait, and since when each has its present reason.

    :param limits: how long a wait is explained.
    :ivar view: the last round, as given at the last observation.
    """

    def __init__(
        self, book: JobTable, tickets: TicketTable, limits: WaitLimits
    ) -> None:
        self._book = book
        self._tickets = tickets
        self._limits = limits
        self.view = RoundView()
        self._now = -math.inf
        self._waits: dict[Step, _Wait] = {}
        # When to report an overdue step next, and the interval after that.
        self._repeats: dict[tuple[Step, WaitReason], tuple[float, float]] = {}

    def observe(self, view: RoundView, now: float) -> None:
        """Determine which steps wait now, and why."""
        running = self._running_tasks(view.answering)
        earlier, self._waits = self._waits, {}
        before, self._now = self._now, now
        self.view = view
        for job in self._book.jobs.values():
            if job.status.ended:
                continue
            for step in job.steps.values():
                if not step.remaining or not _is_due(step):
                    continue
                tasks = step.remaining - running.get(step, 0)
                if tasks > 0:
                    wait = earlier.get(step) or self._begin(step, before)
                    wait.tasks = tasks
                    self._waits[step] = wait
                    self._update(wait)

    def _running_tasks(self, answering: Container[str]) -> dict[Step, int]:
        """Return the number of unfinished tasks with a confirmed run, by step."""
        tasks = set()
        for worker, runs in self._book.worker_runs.items():
            if worker not in answering:
                continue
            for run in runs.values():
                if run.confirmed and not run.stop_reason and not run.task.done:
                    tasks.add(run.task)
        return Counter(task.step for task in tasks)

    def _begin(self, step: Step, before: float) -> _Wait:
        """Return the wait of a step that did not wait when last observed.

        :param before: when that was.
        """
        ready_at = self._now if step.ready_at is None else step.ready_at
        began_at = max(ready_at, before)
        late_at = self._limits.objective_at(step, began_at)
        return _Wait(step, (began_at, step.name), late_at, reason_at=began_at)

    def _update(self, wait: _Wait) -> None:
        """Update a wait's reason."""
        reason = self._reason(wait)
        if reason is not wait.reason:
            if wait.reason is not None:
                wait.reason_at = self._now
            wait.reason = reason
            explained_s = self._limits.reason_s(wait.step, reason)
            wait.overdue_at = min(wait.late_at, wait.reason_at + explained_s)

    def _reason(self, wait: _Wait) -> WaitReason:
        step = wait.step
        found = self.view.wait_reasons.get(wait.order[1])
        if found is not None and step.idle:
            return found
        if len(step.idle) == step.remaining:
            return WaitReason.NOT_LOOKED_AT
        if not step.tasks.waiting:
            return WaitReason.RUNS_BOUND
        if step.spec.gang and any(step.runs()):
            return WaitReason.GANG_INCOMPLETE
        return WaitReason.NOT_LOOKED_AT

    # Reports.

    def totals(self) -> dict[WaitReason, ReasonTotal]:
        """Return the totals of all waiting steps by reason."""
        totals: dict[WaitReason, ReasonTotal] = {}
        reason, total = None, ReasonTotal()
        for wait in self._waits.values():
            if wait.reason is not reason:
                assert wait.reason is not None
                reason = wait.reason
                total = totals.setdefault(reason, ReasonTotal())
            waited_s = self._now - wait.order[0]
            total.steps += 1
            if waited_s > total.longest_s:
                total.longest_s = waited_s
            if self._now > wait.overdue_at:
                total.overdue += 1
        return totals

    def report(self, limit: int, min_wait_s: float = 0.0) -> WaitingReport:
        """Return a report on the steps that waited when last observed.

        :param limit: largest number of rows; the oldest step of each reason has one
            even beyond this limit.
        :param min_wait_s: shorter waits get no row.
        """
        before = self._now - min_wait_s
        waits = [w for w in self._waits.values() if w.order[0] <= before]
        oldest: dict[WaitReason | None, _Wait] = {}
        for wait in waits:
            other = oldest.get(wait.reason)
            if other is None or wait.order < other.order:
                oldest[wait.reason] = wait
        chosen = sorted(oldest.values(), key=_order)
        others = (w for w in waits if oldest[w.reason] is not w)
        left = max(limit - len(chosen), 0)
        chosen += heapq.nsmallest(left, others, key=_order)
        return WaitingReport(self.totals(), tuple(self._rows(chosen)))

    @property
    def steps(self) -> Mapping[Step, object]:
        """The steps that waited when last observed."""
        return self._waits

    def row_of(self, step: Step) -> WaitingStep | None:
        """Return the row of a step; ``None`` if it does not wait."""
        wait = self._waits.get(step)
        return None if wait is None else next(iter(self._rows([wait])))

    def take_overdue(self, limit: int) -> list[WaitingStep]:
        """Return overdue steps to report now, those not reported before first.

        Each step is due once for each reason, and again after an interval that
        doubles.

        :param limit: largest number of rows.
        """
        overdue = {
            (wait.step, reason): wait
            for wait in self._waits.values()
            if self._now > wait.overdue_at and (reason := wait.reason) is not None
        }
        # Reasons may alternate, so all those of a step are kept.
        steps = {step for step, _ in overdue}
        self._repeats = {k: v for k, v in self._repeats.items() if k[0] in steps}
        due = [
            (key, wait)
            for key, wait in overdue.items()
            if key not in self._repeats or self._repeats[key][0] <= self._now
        ]
        chosen = heapq.nsmallest(
            limit, due, key=lambda item: (item[0] in self._repeats, item[1].order)
        )
        for key, _ in chosen:
            interval_s = self._repeats.get(key, (0.0, _REPEAT_S))[1]
            self._repeats[key] = (self._now + interval_s, 2 * interval_s)
        return list(self._rows([wait for _, wait in chosen]))

    def _rows(self, waits: Iterable[_Wait]) -> Iterable[WaitingStep]:
        rooms: dict[object, list[WorkerView]] = {}
        for wait in waits:
            step = wait.step
            key = (step.job.queue.pool, step.spec.label)
            if key not in rooms:
                rooms[key] = self._suitable(step)
            yield self._row(wait, rooms[key])

    def _row(self, wait: _Wait, suitable: list[WorkerView]) -> WaitingStep:
        assert wait.reason is not None
        step, policy = wait.step, wait.step.job.queue.advice
        team = self._book.config.team_by_name.get(step.job.team)
        bound = sorted({run.worker for run in step.runs()})
        asked = permitted = with_ticket = 0
        may_run = suitable
        if policy is not None:
            advice = self._tickets.advice_for(step)
            asked, permitted = advice.answered_count(), len(advice.permitted)
            until = self._now + self._tickets.margin_s(policy.valid_s)
            with_ticket = sum(t.expires_at > until for t in advice.permitted.values())
            may_run = [w for w in suitable if w.name in advice.permitted]
        room = _room(step, wait.tasks, may_run, suitable) if self.view.workers else None
        return WaitingStep(
            step,
            0.0 if step.ready_at is None else self._now - step.ready_at,
            self._now - wait.order[0],
            wait.reason,
            self._now - wait.reason_at,
            wait.tasks,
            self._now > wait.overdue_at,
            tuple(bound[:_MAX_WORKERS]),
            asked,
            permitted,
            with_ticket,
            step.name in self.view.reserved,
            room,
            self._book.team_usage.get(step.job.team, NO_RESOURCES),
            team.limit if team is not None else NO_RESOURCES,
        )

    def _suitable(self, step: Step) -> list[WorkerView]:
        pool, label = step.job.queue.pool, step.spec.label
        return [
            worker
            for worker in self.view.workers.values()
            if worker.usable
            and worker.pool == pool
            and (not label or label in worker.labels)
        ]


def _is_due(step: Step) -> bool:
    """Return whether all steps that a step depends on are done."""
    if step.ready_at is not None:
        return True
    steps = step.job.steps
    for number in step.spec.after:
        if steps[step.occurrence, number].remaining:
            return False
    return True


def _order(wait: _Wait) -> tuple[float, str]:
    return wait.order


def _room(
    step: Step, tasks: int, permitted: list[WorkerView], pool: list[WorkerView]
) -> Room:
    need, most = step.spec.reserved, step.spec.per_worker or tasks

    def count(amounts: Iterable[Resources]) -> int:
        fitting = 0
        for amount in amounts:
            if amount.cpu_m >= need.cpu_m:
                fitting += amount.count_fitting(need, most)
                if fitting >= tasks:
                    return tasks
        return fitting

    return Room(
        count(worker.free for worker in permitted),
        count(_unreserved(worker) for worker in permitted),
        count(worker.free for worker in pool),
    )


def _unreserved(worker: WorkerView) -> Resources:
    free, other = worker.free, worker.unreserved
    if other is None:
        return free
    return Resources(
        min(free.cpu_m, other.cpu_m),
        min(free.memory_mb, other.memory_mb),
        min(free.accelerators, other.accelerators),
    )
