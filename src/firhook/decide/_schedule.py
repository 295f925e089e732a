"""Which waiting tasks start now, and where.

A round goes through the steps that wait, the most urgent first, and gives each
the workers it may use, as far as there is room.
"""

import heapq
from collections.abc import Iterable
from enum import StrEnum

import attrs

from firhook.cell import JobTable, Resources, Run, Step, StepSpec, Task
from firhook.decide.tickets import (
    MAX_WORKERS_PER_REQUEST,
    AdviceRequest,
    TicketTable,
    more_workers_request,
    next_advice_request,
)

#: Gangs for which room is kept in a round.  Each keeps other work off some
#: workers until its room is together; many at once would leave most of the
#: cell waiting for itself.
MAX_RESERVED_GANGS = 3
#: Work that takes up to so many times its objective is late, but not in vain.
LATE_FACTOR = 3
#: Work that need not start for so long has time to spare.
_AMPLE_SLACK_S = 1.5
#: The part of a worker's processors that is kept for urgent work at the most.
#: A burst of three times the usual quotes needs a tenth of the cell.
_URGENT_FRACTION = 0.1
#: Work that has waited so long uses the room kept for urgent work as well.
_URGENT_HEADROOM_WAIT_S = 2.0
#: Work that ends before a gang's room is together may use the room meanwhile;
#: estimates are off, so that it must end well before.
_BACKFILL_FACTOR = 1.25
#: How often it is looked at whether a step that waits should ask about others.
_WIDEN_INTERVAL_S = 1.0


class WaitReason(StrEnum):
    """Why a step does not start."""

    #: No worker of its pool and label takes new work.
    NO_WORKER = "no_worker"
    #: Its team may not have more running.
    TEAM_LIMIT = "team_limit"
    #: A question to the adviser waits for an instance that is free.
    ADVICE_DUE = "advice_due"
    #: The adviser's answer is waited for.
    ADVICE_ASKED = "advice_asked"
    #: The adviser permits none of the workers that it was asked about.
    NOT_PERMITTED = "not_permitted"
    #: Those that may run it have no room, or none that is not kept for others.
    NO_ROOM = "no_room"
    #: All that is left of it is assigned, to workers that were not heard to run it.
    RUNS_BOUND = "runs_bound"
    #: No round has looked at it.
    NOT_LOOKED_AT = "not_looked_at"


@attrs.define(slots=True, eq=False)
class WorkerView:
    """A worker in a round.

    :param usable: whether new work may start on it.
    :param slow: whether it works slower than others of its pool.
    :ivar free: what is left on it.
    :ivar reservation_ready_at: when the room that is kept for gangs is together.
    :ivar unreserved: what is left then beside the room kept.
    :ivar urgent_cpu_m: processors that are kept for work of the first priority.
        Load: a burst of plans, each of which holds its room for six seconds.
        Harm: quotes, which have half a second to start, find every worker that
        may run them full; 27 of 814 were late and 12 in vain on a calm day.
    """

    name: str
    incarnation: int
    pool: str
    rack: str
    labels: frozenset[str]
    free: Resources
    usable: bool = True
    slow: bool = False
    reservation_ready_at: float = 0.0
    unreserved: Resources | None = None
    urgent_cpu_m: int = 0

    def keeps_urgent_headroom(self, need: Resources) -> bool:
        """Return whether a task leaves the room that is kept for urgent work."""
        return self.free.cpu_m - need.cpu_m >= self.urgent_cpu_m

    def take(self, need: Resources) -> None:
        """Use up some of what is left."""
        self.free = self.free.subtract(need)
        if self.unreserved is not None:
            self.unreserved = self.unreserved.subtract(need)


@attrs.frozen(slots=True)
class Placement:
    """Tasks of one step that start together, each with worker and life."""

    step: Step
    tasks: tuple[tuple[Task, str, int], ...]


@attrs.define(slots=True)
class RoundResult:
    """What a round decided.

    :ivar wait_reasons: why steps that could not start wait, by the step's name.
    """

    placements: list[Placement] = attrs.field(factory=list)
    advice_requests: list[AdviceRequest] = attrs.field(factory=list)
    wait_reasons: dict[str, WaitReason] = attrs.field(factory=dict)


def urgency(step: Step, now: float) -> tuple[int, int, float]:
    """Return the place of a step in the order of a round.

    Load: unlike work at over three quarters of the cell's room, with bursts
    beyond it.  Harm: first come, first served lets a charge that has ten
    seconds take the room of a quote that has half a second; strict priority
    lets a burst of plans starve charges until they miss their own objective.

    Work that can still meet its objective goes before work that cannot; of it
    the queues that go first by configuration, whose work is short; then what
    must start soonest.  Work that is late is still worth something up to three
    times its objective, so it goes before what is later than that.  Late work of
    a queue that goes first waits for seconds only before it is in vain: it goes
    before other work that has time to spare, until that has none left.
    """
    latest = step.latest_start()
    objective_at = step.job.objective_at(step.occurrence)
    allowed_s = objective_at - step.job.released_at(step.occurrence)
    urgent = step.job.queue.priority == 0
    if latest >= now - step.job.queue.target_s:
        if urgent:
            return (0, 0, latest)
        spare = latest - now > _AMPLE_SLACK_S
        return (2, 0, latest) if spare else (0, 1, latest)
    if latest + (LATE_FACTOR - 1) * allowed_s >= now:
        return (1, 0, latest) if urgent else (3, 0, latest)
    return (4, 0 if urgent else 1, latest)


def urgent_headroom_m(capacity_m: int, urgent_need_m: int) -> int:
    """Return the processors to keep free on a worker for urgent work.

    :param urgent_need_m: what urgent tasks needed lately; 0 if there are none.
    """
    return min(urgent_need_m, int(capacity_m * _URGENT_FRACTION))


class Round:
    """One round over the waiting steps.

    :param workers: the workers by name, with what is left on them; the round
        uses it up as it places.
    """

    def __init__(
        self,
        book: JobTable,
        workers: dict[str, WorkerView],
        tickets: TicketTable,
        now: float,
    ) -> None:
        self._book = book
        self._workers = workers
        self._tickets = tickets
        self._now = now
        self._reserved_gangs = 0
        self._suitable_cache: dict[tuple[str, str], list[WorkerView]] = {}
        self._team_use = dict(book.team_usage)
        self.result = RoundResult()

    def run(self) -> RoundResult:
        """Place what can start now."""
        for step in sorted(self._book.open_steps.values(), key=self._rank):
            if step.spec.gang:
                self._place_gang(step)
            else:
                self._place_tasks(step)
        return self.result

    def _rank(self, step: Step) -> tuple[float, ...]:
        """Return the place of a step in the order of the round."""
        return urgency(step, self._now)

    # What a step may use.

    def _suitable(self, step: Step) -> list[WorkerView]:
        """Return the workers of the step's pool and label, by room.

        They are ordered once a round, by what was free when the round began.
        The order only tells which to ask the adviser about first; done for each
        step it was most of a round of 25 steps and 176 workers.
        """
        key = (step.job.queue.pool, step.spec.label)
        found = self._suitable_cache.get(key)
        if found is None:
            pool, label = key
            found = [
                w
                for w in self._workers.values()
                if w.usable and w.pool == pool and (not label or label in w.labels)
            ]
            found.sort(key=lambda w: -w.free.cpu_m)
            self._suitable_cache[key] = found
        return found

    def _permitted_count(self, step: Step) -> int:
        """Return how many more tasks of the step the team may have running."""
        team = self._book.config.team_by_name.get(step.job.team)
        idle = len(step.idle)
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

    def _workers_with_tickets(
        self, step: Step, suitable: list[WorkerView]
    ) -> list[WorkerView]:
        """Return those that the step may start on now, and note what to ask."""
        policy = step.job.queue.advice
        if policy is None:
            return suitable
        advice = self._tickets.advice_for(step)
        margin_s = self._tickets.margin_s(policy.valid_s)
        permitted = [w for w in suitable if w.name in advice.permitted]
        if not advice.in_flight:
            has_room = any(w.free.covers(step.spec.reserved) for w in permitted)
            candidates = permitted or suitable
            if len(permitted) > MAX_WORKERS_PER_REQUEST:
                candidates.sort(key=lambda w: not w.free.covers(step.spec.reserved))
            asked = [(w.name, w.incarnation) for w in candidates]
            request = next_advice_request(
                step, advice, asked, has_room, self._now, margin_s
            )
            if request is not None:
                self.result.advice_requests.append(request)
        until = self._now + margin_s
        return [
            w for w in permitted if advice.usable_ticket(w.name, w.incarnation, until)
        ]

    def _widen_advice(self, step: Step, suitable: list[WorkerView]) -> None:
        """Ask about more workers for a step that those known cannot take now.

        A first question that was about few is made up for at once.  After that
        more are asked about only if those that may run the step could not hold it
        even with nothing else on them: each answer takes the adviser's time.
        """
        if step.job.queue.advice is None:
            return
        advice = self._tickets.advice_for(step)
        if (
            advice.in_flight
            or self._has_request_for(step)
            or self._now < advice.widen_at
        ):
            return
        request = None
        first_was_short = advice.answered_count() < MAX_WORKERS_PER_REQUEST
        if first_was_short or not self._could_hold(
            step, self._permitted_workers(step, suitable)
        ):
            asked = [(w.name, w.incarnation) for w in suitable]
            request = more_workers_request(step, advice, asked, self._now)
        if request is None:
            advice.widen_at = self._now + _WIDEN_INTERVAL_S
        else:
            self.result.advice_requests.append(request)

    def _has_request_for(self, step: Step) -> bool:
        """Return whether this round wishes to ask about the step at hand."""
        requests = self.result.advice_requests
        return bool(requests) and requests[-1].step is step

    def _could_hold(self, step: Step, workers: list[WorkerView]) -> bool:
        """Return whether workers hold a step once all that ends there has ended."""
        spec = step.spec
        wanted = spec.count if spec.gang else 1
        most = spec.per_worker or spec.count
        slots = 0
        for worker in workers:
            room = worker.free
            for run in self._book.worker_runs.get(worker.name, {}).values():
                if not run.task.step.spec.long_running:
                    room = room.add(run.task.step.spec.reserved)
            slots += room.count_fitting(spec.reserved, most)
            if slots >= wanted:
                return True
        return False

    def _record_wait(self, step: Step, reason: WaitReason) -> None:
        self.result.wait_reasons[step.name] = reason

    def _wait_reason(self, step: Step, suitable: list[WorkerView]) -> WaitReason:
        """Return what a step lacks that found no worker."""
        if not suitable:
            return WaitReason.NO_WORKER
        if step.job.queue.advice is not None:
            advice = self._tickets.advice_for(step)
            if advice.in_flight:
                return WaitReason.ADVICE_ASKED
            if self._has_request_for(step):
                return WaitReason.ADVICE_DUE
            if not advice.permitted:
                return WaitReason.NOT_PERMITTED
        return WaitReason.NO_ROOM

    def _permitted_workers(
        self, step: Step, suitable: list[WorkerView]
    ) -> list[WorkerView]:
        """Return those that the step may run on, with or without a ticket now."""
        if step.job.queue.advice is None:
            return suitable
        permitted = self._tickets.advice_for(step).permitted
        return [w for w in suitable if w.name in permitted]

    # Single tasks.

    def _place_tasks(self, step: Step) -> None:
        suitable = self._suitable(step)
        usable = self._workers_with_tickets(step, suitable)
        permitted = self._permitted_count(step)
        if not permitted:
            self._record_wait(step, WaitReason.TEAM_LIMIT)
            return
        on_worker = _count_by_worker(step.runs()) if step.spec.per_worker else {}
        chosen: list[tuple[Task, str, int]] = []
        for task in list(step.idle.values())[:permitted]:
            avoid = {run.worker for run in task.runs}
            worker = self._pick_worker(step, usable, on_worker, avoid)
            if worker is None:
                break
            worker.take(step.spec.reserved)
            if step.spec.per_worker:
                on_worker[worker.name] = on_worker.get(worker.name, 0) + 1
            chosen.append((task, worker.name, worker.incarnation))
        if chosen:
            self._add_placement(step, chosen)
        else:
            self._widen_advice(step, suitable)
            self._record_wait(step, self._wait_reason(step, suitable))

    def _pick_worker(
        self,
        step: Step,
        workers: Iterable[WorkerView],
        on_worker: dict[str, int],
        avoid: set[str],
    ) -> WorkerView | None:
        """Return the worker that is left with the least room.

        The fullest that fits is taken, which keeps others whole for gangs;
        slow ones and those away from the data come last.
        """
        spec, urgent = step.spec, step.job.queue.priority == 0
        keeps_urgent = self._must_keep_urgent_headroom(step)
        best, best_key = None, (True, True, 0)
        for worker in workers:
            if worker.name in avoid or not worker.free.covers(spec.reserved):
                continue
            if spec.per_worker and on_worker.get(worker.name, 0) >= spec.per_worker:
                continue
            if keeps_urgent and not worker.keeps_urgent_headroom(spec.reserved):
                continue
            if not urgent and not self._respects_reservation(worker, spec):
                continue
            away = bool(spec.data_rack) and worker.rack != spec.data_rack
            key = (away, worker.slow, worker.free.cpu_m)
            if best is None or key < best_key:
                best, best_key = worker, key
        return best

    def _must_keep_urgent_headroom(self, step: Step) -> bool:
        """Return whether a step leaves the room that is kept for urgent work.

        Work that needs whole workers would otherwise never start.
        """
        waited_s = self._now - (step.ready_at or self._now)
        return step.job.queue.priority > 0 and waited_s < _URGENT_HEADROOM_WAIT_S

    def _respects_reservation(self, worker: WorkerView, spec: StepSpec) -> bool:
        if worker.unreserved is None or worker.unreserved.covers(spec.reserved):
            return True
        return not spec.long_running and self._ends_before_reservation(worker, spec)

    def _add_placement(self, step: Step, chosen: list[tuple[Task, str, int]]) -> None:
        team = step.job.team
        used = self._team_use.get(team, Resources())
        self._team_use[team] = used.add(step.spec.need, len(chosen))
        self.result.placements.append(Placement(step, tuple(chosen)))

    # Gangs.

    def _place_gang(self, step: Step) -> None:
        suitable = self._suitable(step)
        usable = self._workers_with_tickets(step, suitable)
        if self._permitted_count(step) < step.spec.count:
            self._record_wait(step, WaitReason.TEAM_LIMIT)
            return
        chosen = self._gang_workers(step, usable)
        if chosen is not None:
            tasks = list(step.idle.values())
            rows = [
                (t, w.name, w.incarnation) for t, w in zip(tasks, chosen, strict=True)
            ]
            self._add_placement(step, rows)
            return
        self._widen_advice(step, suitable)
        self._record_wait(step, self._wait_reason(step, suitable))
        if self._reserved_gangs < MAX_RESERVED_GANGS:
            self._reserve(step, self._permitted_workers(step, suitable))

    def _gang_workers(
        self, step: Step, usable: list[WorkerView]
    ) -> list[WorkerView] | None:
        """Return a worker for each member and take its room, or ``None``."""
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
        spec = step.spec
        most = spec.per_worker or spec.count
        fits: list[tuple[bool, bool, int, WorkerView, int]] = []
        for worker in workers:
            room = worker.free
            if worker.unreserved is not None and not self._ends_before_reservation(
                worker, spec
            ):
                room = _min_resources(room, worker.unreserved)
            if self._must_keep_urgent_headroom(step):
                room = room.subtract(Resources(worker.urgent_cpu_m))
            slots = room.count_fitting(spec.reserved, most)
            if slots:
                left = worker.free.cpu_m - slots * spec.reserved.cpu_m
                away = bool(spec.data_rack) and worker.rack != spec.data_rack
                fits.append((away, worker.slow, left, worker, slots))
        if sum(fit[4] for fit in fits) < spec.count:
            return None
        # A gang is as slow as its slowest member.
        fits.sort(key=lambda fit: fit[:3])
        chosen: list[WorkerView] = []
        for _, _, _, worker, slots in fits:
            count = min(slots, spec.count - len(chosen))
            for _ in range(count):
                worker.take(spec.reserved)
                chosen.append(worker)
            if len(chosen) == spec.count:
                break
        return chosen

    def _ends_before_reservation(self, worker: WorkerView, spec: StepSpec) -> bool:
        return (
            self._now + spec.estimate_s * _BACKFILL_FACTOR
            <= worker.reservation_ready_at
        )

    def _reserve(self, step: Step, workers: list[WorkerView]) -> None:
        """Keep room for a gang that does not fit yet.

        Load: gangs of tens of cores in a cell that is four fifths full.  Harm:
        whenever a task ends, a smaller one takes its place, so that the gang's
        room never comes together and it starves until the load falls.

        The moment is worked out at which enough of what runs will have ended,
        and other work may use that room only if it ends before, or beside it.
        """
        spec = step.spec
        most = spec.per_worker or spec.count
        keeps = self._must_keep_urgent_headroom(step)
        kept = {w.name: Resources(w.urgent_cpu_m if keeps else 0) for w in workers}
        room = {
            w.name: (w.free if w.unreserved is None else w.unreserved).subtract(
                kept[w.name]
            )
            for w in workers
        }
        slots = {n: room[n].count_fitting(spec.reserved, most) for n in room}
        total = sum(slots.values())
        ends = self._expected_ends(workers)
        at = self._now
        while total < spec.count and ends:
            at, _, name, need = heapq.heappop(ends)
            room[name] = room[name].add(need)
            more = room[name].count_fitting(spec.reserved, most)
            total += more - slots[name]
            slots[name] = more
        if total < spec.count:
            return
        self._reserved_gangs += 1
        left = spec.count
        for worker in sorted(workers, key=lambda w: -slots[w.name]):
            count = min(slots[worker.name], left)
            if not count:
                break
            left -= count
            left_then = room[worker.name].subtract(spec.reserved, count)
            worker.unreserved = left_then.add(kept[worker.name])
            worker.reservation_ready_at = max(worker.reservation_ready_at, at)

    def _expected_ends(
        self, workers: list[WorkerView]
    ) -> list[tuple[float, int, str, Resources]]:
        ends: list[tuple[float, int, str, Resources]] = []
        for worker in workers:
            for run in self._book.worker_runs.get(worker.name, {}).values():
                spec = run.task.step.spec
                if spec.long_running:
                    continue
                at = self._now + run.remaining_s(self._now)
                ends.append((at, len(ends), worker.name, spec.reserved))
        heapq.heapify(ends)
        return ends


def _min_resources(one: Resources, other: Resources) -> Resources:
    return Resources(
        min(one.cpu_m, other.cpu_m),
        min(one.memory_mb, other.memory_mb),
        min(one.accelerators, other.accelerators),
    )


def _count_by_worker(runs: Iterable[Run]) -> dict[str, int]:
    counts: dict[str, int] = {}
    for run in runs:
        counts[run.worker] = counts.get(run.worker, 0) + 1
    return counts


def place_round(
    book: JobTable, workers: dict[str, WorkerView], tickets: TicketTable, now: float
) -> RoundResult:
    """Decide which waiting tasks start now and where.

    :param now: on the boot clock.
    """
    return Round(book, workers, tickets, now).run()
