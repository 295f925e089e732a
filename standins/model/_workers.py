"""Model of the workers, which run tasks under leases."""

import asyncio
import contextlib
import random
from collections.abc import Callable

import attrs
import msgspec

from firhook.cell import (
    EndCursor,
    EndedRow,
    OrderAnswer,
    OrderOutcome,
    PollReply,
    Resources,
    RunEnd,
    RunningRow,
    StartOrder,
    WorkerEntry,
)
from firhook.errors import WorkerFencedError, WorkerUnreachableError
from firhook.platform.workers import ORDER_TIMEOUT_S, Workers
from standins.model._checks import Checks
from standins.model._time import now, pause

NETWORK_DELAY_S = 0.001
TASK_STOP_S = 0.4
GANG_TIMEOUT_S = 3.0
CHECKPOINT_INTERVAL_S = 0.5
#: How long a task that lasts takes until it is at work.
LASTING_STARTUP_S = 0.3
MAX_LISTED_ENDS = 500


@attrs.frozen
class TaskPlan:
    """Properties of a task that only the model knows.

    :param work_s: duration on a worker of normal speed.
    :param need: resources that the task uses.
    :param fails: whether the task fails wherever it runs.
    :param gang: number of members of the task's gang; 0 without a gang.
    :param checkpoints: whether the task saves its progress for the next run.
    :param lasts: whether the task works until it is stopped.
    :param label: label that the worker must have; empty if any worker will do.
    """

    work_s: float
    need: Resources
    fails: bool = False
    gang: int = 0
    checkpoints: bool = False
    lasts: bool = False
    label: str = ""


@attrs.define(eq=False)
class _Run:
    """A run on a worker.

    :ivar saved_s: work that was done in earlier runs, from the checkpoint.
    :ivar working: whether the run has begun its work; the members of a gang wait for
        each other first.
    """

    task: str
    number: int
    plan: TaskPlan
    started_at: float
    saved_s: float
    timers: list[asyncio.TimerHandle] = attrs.field(factory=list)
    stopping: bool = False
    working: bool = False


class Gangs:
    """Coordinates the members of gangs across all workers.

    :ivar fail_together: whether all members end failed if one does, where otherwise
        the others end broken.
    """

    def __init__(self) -> None:
        self.fail_together = False
        self.members: dict[tuple[str, int], dict[str, tuple[ModelWorker, _Run]]] = {}

    def add(self, worker: "ModelWorker", run: _Run) -> None:
        """Add a member; the gang begins its work when it is complete."""
        key = (run.task.rpartition(".")[0], run.number)
        members = self.members.setdefault(key, {})
        members[run.task] = (worker, run)
        if len(members) == run.plan.gang:
            longest = max(r.plan.work_s for _, r in members.values())
            for member_worker, member in members.values():
                member_worker.begin_work(member, longest)
        else:
            run.timers.append(
                asyncio.get_running_loop().call_later(
                    GANG_TIMEOUT_S, self._time_out, key, run
                )
            )

    def _time_out(self, key: tuple[str, int], run: _Run) -> None:
        if not run.working and run.task in self.members.get(key, {}):
            worker, _ = self.members[key][run.task]
            worker.checks.incomplete_gangs.append(
                f"{now():.2f} {run.task} run {run.number}"
            )
            worker.finish(run, RunEnd.GANG_TIMED_OUT)

    def ended(self, run: _Run, end: RunEnd) -> None:
        """End the other members of a gang after one has ended."""
        key = (run.task.rpartition(".")[0], run.number)
        members = self.members.pop(key, {})
        members.pop(run.task, None)
        is_shared = end is RunEnd.DONE or (end is RunEnd.FAILED and self.fail_together)
        for worker, other in members.values():
            worker.finish(other, end if is_shared else RunEnd.GANG_BROKEN)


class ModelWorker:
    """A worker.

    :ivar mode: ``up``, ``cut`` (no call arrives) or ``mute`` (calls take effect
        without an answer).
    :ivar unreachable_from: instances whose calls do not arrive.
    :ivar late_share: share of orders that take effect seconds later and are not
        answered.
    :ivar late_s: time after which all orders take effect, without an answer; ``None``
        leaves that to ``late_share``.
    :ivar lost_share: share of calls that take effect at once and whose answers are
        lost.
    :ivar slow: factor on the duration of work.
    :ivar fails_all: whether all runs fail soon after they start.
    :ivar refuses: whether it refuses all starts as busy, and does nothing.
    :ivar rejects_starts: whether it rejects all starts as malformed.
    :ivar rejected_starts: number of starts that it rejected as malformed.
    :ivar loses_starts: whether starts do not arrive, though other calls do.
    :ivar greetings: how long the answers to the next greetings take, in seconds;
        ``None`` for one that is not answered.  Starts go at once if it is empty.
    :ivar lost_greeting_share: share of the other greetings that are not answered, so
        that the start is not sent.
    :ivar late_greeting_share: share of them that are answered up to 0.7 s late.
    :ivar late_poll_share: share of polls that are not answered and take effect seconds
        later, with their lease and their acknowledgement.
    :ivar late_orders_reach_next: whether an order that is carried out late reaches the
        incarnation that runs by then.  An assumption about the platform, which its
        documentation leaves open; firhook relies on its opposite.
    :ivar forgets_with_ends: whether a run whose end was acknowledged may be started
        again.  An assumption about the platform: by its documentation only the ends
        are forgotten.
    :ivar closes_connections: whether it announces the end of each connection, so that
        a start may reach another incarnation.
    :ivar stalled: whether new runs make no progress.
    :ivar draining_s: remaining time of a graceful stop, as shown in the registration;
        ``None`` if the worker is not stopping.
    :ivar expired_tickets: number of starts refused for an expired ticket.
    :ivar incarnation: number of the worker's current process, which grows with each
        restart.
    :ivar kind: its first label; a restarted worker may be of another kind.
    :ivar on_restart: writes the entry of a new incarnation; ``None`` if it does not
        register by itself.
    :ivar polls: number of polls.
    :ivar started_runs: number of runs that it started.
    """

    def __init__(
        self,
        name: str,
        capacity: Resources,
        rack: str,
        zone: str,
        plans: Callable[[str], TaskPlan],
        checks: Checks,
        gangs: Gangs,
        rng: random.Random,
        max_lease_s: float = 10.0,
    ) -> None:
        self.name, self.capacity, self.rack, self.zone = name, capacity, rack, zone
        self.checks = checks
        self.mode = "up"
        self.unreachable_from: set[str] = set()
        self.late_share = 0.0
        self.late_s: float | None = None
        self.lost_share = 0.0
        self.slow = 1.0
        self.fails_all = False
        self.refuses = False
        self.rejects_starts = False
        self.rejected_starts = 0
        self.loses_starts = False
        self.greetings: list[float | None] = []
        self.lost_greeting_share = 0.0
        self.late_greeting_share = 0.0
        self.late_poll_share = 0.0
        self.late_orders_reach_next = False
        self.forgets_with_ends = False
        self.closes_connections = False
        self.stalled = False
        self.draining_s: float | None = None
        self.incarnation = 1_000_000 + rng.randrange(1000)
        self.kind = "a"
        self.on_restart: Callable[[], None] | None = None
        self.up = True
        self.polls = 0
        self.started_runs = 0
        self.expired_tickets = 0
        self._order_is_late = False
        self._plans, self._gangs, self._rng = plans, gangs, rng
        self._max_lease_s = max_lease_s
        self._reset()

    def _reset(self) -> None:
        self._clock_base = now_or_zero() - self._rng.random() * 1000
        self.fence = 0
        self.runs: dict[tuple[str, int], _Run] = {}
        self.ends: list[EndedRow] = []
        self._count = 0
        self._highest_ended: dict[str, int] = {}
        self._lease_until = 0.0
        self._lease_timer: asyncio.TimerHandle | None = None
        self._changed = asyncio.Event()
        self._done_at: dict[int, float] = {}

    def loses_answer(self, rng: random.Random) -> bool:
        """Return whether the answer to a completed call is lost."""
        return self.lost_share > 0 and rng.random() < self.lost_share

    def clock(self) -> float:
        """Return the time of the worker's own monotonic clock."""
        return now() - self._clock_base

    # Faults.

    def crash(self) -> None:
        """Lose all runs without reporting their ends."""
        self.up = False
        for run in list(self.runs.values()):
            self._drop(run)
            if run.plan.gang:
                self._gangs.ended(run, RunEnd.GANG_BROKEN)

    def restart(self, clock_s: float | None = None) -> None:
        """Start a new incarnation without any state.

        :param clock_s: the time of its clock; random if ``None``.
        """
        self.crash()
        self.incarnation += 1000
        self._reset()
        if clock_s is not None:
            self._clock_base = now() - clock_s
        self.up = True
        if self.on_restart is not None:
            self.on_restart()

    def entry(self) -> dict:
        """Return the worker's registration."""
        data = {
            "service": "pool",
            "address": "10.1.0.1:80",
            "zone": self.zone,
            "version": "v1",
            "slots": 8,
            "state": "draining" if self.draining_s is not None else "ready",
            "cold_remaining_ms": 0,
            "capacity": {
                "millicpus": self.capacity.cpu_m,
                "task_memory_mb": self.capacity.memory_mb,
                "gpus": self.capacity.accelerators,
            },
            "labels": [self.kind, self.rack],
            "sequence": 1,
            "born": self.incarnation,
        }
        if self.draining_s is not None:
            data["drain_remaining_ms"] = int(self.draining_s * 1000)
        return data

    def entry_bytes(self) -> bytes:
        """Return the registration as the store holds it."""
        return msgspec.json.encode(self.entry())

    # Runs.

    def used(self) -> Resources:
        """Return the resources of all runs, including those being stopped."""
        total = Resources()
        for run in self.runs.values():
            total = total.add(run.plan.need)
        return total

    def begin_work(self, run: _Run, work_s: float) -> None:
        """Begin the work of a run and schedule its end."""
        run.working = True
        run.started_at = now()
        if self.stalled:
            return
        if self.fails_all or run.plan.fails:
            left, end = min(0.2, work_s), RunEnd.FAILED
        elif run.plan.lasts:
            return
        else:
            left, end = max(work_s - run.saved_s, 0.01) * self.slow, RunEnd.DONE
        loop = asyncio.get_running_loop()
        run.timers.append(loop.call_later(left, self.finish, run, end))

    def finish(self, run: _Run, end: RunEnd) -> None:
        """End a run if it is still in progress."""
        if self.runs.get((run.task, run.number)) is not run:
            return
        saved = self._checkpoint(run)
        self._drop(run)
        self._count += 1
        self._highest_ended[run.task] = max(
            run.number, self._highest_ended.get(run.task, 0)
        )
        row = EndedRow(self._count, run.task, run.number, end, saved)
        self.ends.append(row)
        if end is RunEnd.DONE:
            self._done_at[self._count] = now()
        if run.plan.gang:
            self._gangs.ended(run, end)
        self._changed.set()

    def fail_lasting(self) -> None:
        """End one of the runs that last as failed, if there is one."""
        for run in list(self.runs.values()):
            if run.plan.lasts and run.working:
                self.finish(run, RunEnd.FAILED)
                return

    def _checkpoint(self, run: _Run) -> str:
        if not run.plan.checkpoints or not run.working:
            return ""
        done_s = run.saved_s + (now() - run.started_at) / self.slow
        return f"{int(done_s / CHECKPOINT_INTERVAL_S)}"

    def _drop(self, run: _Run) -> None:
        for timer in run.timers:
            timer.cancel()
        self.runs.pop((run.task, run.number), None)
        self.checks.ended(run.task, self.name, self.incarnation)

    def _extend_lease(self, until_s: float) -> None:
        until_s = min(until_s, self.clock() + self._max_lease_s)
        self._lease_until = max(self._lease_until, until_s)
        if self._lease_timer is not None:
            self._lease_timer.cancel()
        left = max(self._lease_until - self.clock(), 0.0)
        # The worker's clock is 1% slow, which is within the permitted drift.
        self._lease_timer = asyncio.get_running_loop().call_later(
            left * 1.01, self._expire_lease
        )

    def _expire_lease(self) -> None:
        self._done_at.clear()
        for run in list(self.runs.values()):
            self.finish(run, RunEnd.LEASE_EXPIRED)

    # Interface.

    def poll(self, fence: int, ack: int, until_s: float | None) -> PollReply:
        """See :meth:`Workers.poll`."""
        if fence < self.fence:
            raise WorkerFencedError(self.name)
        self.fence = fence
        self.polls += 1
        for row in self.ends:
            if row.number <= ack and row.number in self._done_at:
                self.checks.acknowledged(now(), row.task, self._done_at[row.number])
            if row.number <= ack and self.forgets_with_ends:
                self._highest_ended.pop(row.task, None)
        self.ends = [row for row in self.ends if row.number > ack]
        if until_s is not None:
            self._extend_lease(until_s)
        rows = tuple(self._running_row(run) for run in self.runs.values())
        ends = tuple(self.ends[:MAX_LISTED_ENDS])
        return PollReply(self.incarnation, self.clock(), rows, ends)

    def _running_row(self, run: _Run) -> RunningRow:
        if not run.working:
            return RunningRow(run.task, run.number, "", 0)
        if run.plan.lasts:
            at_work = not self.stalled and now() - run.started_at > LASTING_STARTUP_S
            return RunningRow(run.task, run.number, "", 100 if at_work else 0)
        done_s = run.saved_s + (now() - run.started_at) / self.slow
        percent = 0 if self.stalled else min(99, 100 * done_s / run.plan.work_s)
        return RunningRow(run.task, run.number, self._checkpoint(run), int(percent))

    def carry_out_late(
        self, incarnation: int, act: Callable[["ModelWorker"], OrderAnswer]
    ) -> None:
        """Carry out a delayed order, unless the process that received it is gone."""
        is_gone = self.incarnation != incarnation and not self.late_orders_reach_next
        if not self.up or is_gone:
            return
        self._order_is_late = True
        try:
            act(self)
        finally:
            self._order_is_late = False

    def poll_late(
        self, incarnation: int, fence: int, ack: int, until_s: float | None
    ) -> None:
        """Carry out a delayed poll, unless the process that received it is gone."""
        if self.up and self.incarnation == incarnation:
            with contextlib.suppress(WorkerFencedError):
                self.poll(fence, ack, until_s)

    def start_sent_to(self, incarnation: int, order: StartOrder) -> OrderAnswer:
        """Handle a start that was sent to one incarnation."""
        reaches_next = self._order_is_late and self.late_orders_reach_next
        if self.incarnation == incarnation or reaches_next:
            return self.start(order)
        return OrderAnswer(OrderOutcome.UNKNOWN)

    def greeting_s(self, rng: random.Random) -> float | None:
        """Return how long the answer to a greeting takes; ``None`` if there is none."""
        if self.greetings:
            return self.greetings.pop(0)
        if self.lost_greeting_share > 0 and rng.random() < self.lost_greeting_share:
            return None
        if self.late_greeting_share > 0 and rng.random() < self.late_greeting_share:
            return 0.7 * rng.random()
        return 0.0

    def start(self, order: StartOrder) -> OrderAnswer:
        """See :meth:`Workers.start`."""
        if order.fence < self.fence:
            return self._answer(OrderOutcome.FENCED)
        self.fence = order.fence
        if self.refuses:
            return self._answer(OrderOutcome.BUSY)
        if self.rejects_starts:
            self.rejected_starts += 1
            return self._answer(OrderOutcome.INVALID)
        if (order.task, order.run) in self.runs:
            self._extend_lease(order.lease_until_s)
            return self._answer(OrderOutcome.APPLIED)
        if order.run <= self._highest_ended.get(order.task, 0):
            return self._answer(OrderOutcome.SUPERSEDED)
        if order.lease_until_s < self.clock():
            return self._answer(OrderOutcome.EXPIRED)
        if order.ticket and not self._accepts(order.ticket):
            self.expired_tickets += 1
            return self._answer(OrderOutcome.NO_TICKET)
        plan = self._plans(order.task)
        saved_s = float(order.checkpoint or 0) * CHECKPOINT_INTERVAL_S
        run = _Run(order.task, order.run, plan, now(), saved_s)
        self.runs[order.task, order.run] = run
        self.started_runs += 1
        self.checks.started(now(), order.task, self.name, self.incarnation, order.run)
        if not self._order_is_late:
            self.checks.started_on_time(now(), order.task, self.zone)
        if plan.label not in ("", self.kind):
            detail = f"{order.task} requires {plan.label}, {self.name} is {self.kind}"
            self.checks.record_violation(now(), "label", detail)
        if not self.capacity.covers(self.used()):
            detail = f"{self.name}: {self.used()} of {self.capacity}"
            self.checks.record_violation(now(), "capacity", detail)
        self._extend_lease(order.lease_until_s)
        if plan.gang:
            self._gangs.add(self, run)
        else:
            self.begin_work(run, plan.work_s)
        return self._answer(OrderOutcome.APPLIED)

    def _accepts(self, ticket: str) -> bool:
        """Return whether a ticket was issued to this incarnation and is still valid."""
        incarnation, valid_until = ticket.split()
        return int(incarnation) == self.incarnation and float(valid_until) >= now()

    def stop(self, task: str, number: int, fence: int) -> OrderAnswer:
        """See :meth:`Workers.stop`."""
        if fence < self.fence:
            return self._answer(OrderOutcome.FENCED)
        self.fence = fence
        run = self.runs.get((task, number))
        if run is None:
            highest = max(number, self._highest_ended.get(task, 0))
            self._highest_ended[task] = highest
        elif not run.stopping:
            run.stopping = True
            loop = asyncio.get_running_loop()
            loop.call_later(TASK_STOP_S, self.finish, run, RunEnd.STOPPED)
        return self._answer(OrderOutcome.APPLIED)

    def _answer(self, outcome: OrderOutcome) -> OrderAnswer:
        # Only replies to polls name the incarnation.
        return OrderAnswer(outcome, 0, self.clock())

    async def wait_for_end(self, wait_s: float) -> None:
        """Wait until a run ends, unless an ended run is listed already."""
        until = now() + wait_s
        while not self.ends and now() < until and self.up:
            self._changed.clear()
            try:
                await asyncio.wait_for(self._changed.wait(), until - now())
            except TimeoutError:
                return


def now_or_zero() -> float:
    """Return the running loop's time, or 0 before a loop runs."""
    try:
        return now()
    except RuntimeError:
        return 0.0


class ModelWorkers(Workers):
    """Client of the workers for one instance.

    :param send_over_link: sends an order over the instance's link and returns how
        long that takes, in seconds.
    """

    def __init__(
        self,
        workers: dict[str, ModelWorker],
        instance: str,
        may_send: Callable[[], bool],
        rng: random.Random,
        send_over_link: Callable[[], float],
    ) -> None:
        self._send_over_link = send_over_link
        self._workers = workers
        self._instance = instance
        self._may_send = may_send
        self._rng = rng

    def _find_reachable(self, name: str) -> ModelWorker | None:
        worker = self._workers.get(name)
        if worker is None or not worker.up or worker.mode == "cut":
            return None
        return None if self._instance in worker.unreachable_from else worker

    async def poll(
        self,
        worker: WorkerEntry,
        fence: int,
        ack: EndCursor,
        lease_until_s: float | None,
        wait_s: float,
    ) -> PollReply:
        """See :meth:`Workers.poll`."""
        await pause(NETWORK_DELAY_S)
        target = self._find_reachable(worker.name)
        if target is None:
            await pause(wait_s + 1.0)
            raise WorkerUnreachableError(worker.name)
        share = target.late_poll_share
        if share > 0 and self._rng.random() < share:
            # The delayed poll is lost with the process that received it.
            is_bound = ack.incarnation == target.incarnation
            asyncio.get_running_loop().call_later(
                2 + 10 * self._rng.random(),
                target.poll_late,
                target.incarnation,
                fence,
                ack.number if is_bound else 0,
                lease_until_s if is_bound else None,
            )
            await pause(wait_s + 1.0)
            raise WorkerUnreachableError(worker.name)
        # A kept connection leads to the incarnation that accepted it, or nowhere.
        if ack.incarnation == target.incarnation:
            target.poll(fence, ack.number, lease_until_s)
            await target.wait_for_end(wait_s)
        else:
            target.poll(fence, 0, None)
        lost = target.mode == "mute" or target.loses_answer(self._rng)
        if self._find_reachable(worker.name) is not target or lost:
            await pause(1.0)
            raise WorkerUnreachableError(worker.name)
        reply = target.poll(fence, 0, None)
        await pause(NETWORK_DELAY_S)
        return reply

    async def start(
        self, worker: WorkerEntry, fence: int, compose: Callable[[], StartOrder | None]
    ) -> OrderAnswer:
        """See :meth:`Workers.start`."""
        target = self._workers.get(worker.name)
        closes = target is None or target.closes_connections
        if not closes:
            answer_s = target.greeting_s(self._rng)
            if answer_s is None:
                await pause(ORDER_TIMEOUT_S)
                return OrderAnswer(OrderOutcome.NOT_SENT)
            if answer_s > 0:
                await pause(answer_s)
        # A greeting opens the connection, and the answer names the incarnation.
        reached = self._find_reachable(worker.name)
        is_other = reached is not None and reached.incarnation != worker.incarnation
        if is_other and not closes:
            await pause(2 * NETWORK_DELAY_S)
            return OrderAnswer(OrderOutcome.NOT_SENT, reached.incarnation)
        order = compose() if self._may_send() else None
        if order is None:
            return OrderAnswer(OrderOutcome.NOT_SENT)
        if target is not None and target.loses_starts:
            await pause(ORDER_TIMEOUT_S)
            return OrderAnswer(OrderOutcome.UNKNOWN)
        if closes:
            return await self._order(worker.name, lambda w: w.start(order))
        return await self._order(
            worker.name,
            lambda w: w.start_sent_to(worker.incarnation, order),
        )

    async def stop(
        self, worker: WorkerEntry, task: str, run: int, fence: int
    ) -> OrderAnswer:
        """See :meth:`Workers.stop`."""
        return await self._order(worker.name, lambda w: w.stop(task, run, fence))

    async def throttle(
        self, worker: WorkerEntry, task: str, run: int, percent: int, fence: int
    ) -> OrderAnswer:
        """See :meth:`Workers.throttle`."""
        return await self._order(worker.name, lambda w: w._answer(OrderOutcome.APPLIED))

    async def _order(
        self, name: str, act: Callable[[ModelWorker], OrderAnswer]
    ) -> OrderAnswer:
        if not self._may_send():
            return OrderAnswer(OrderOutcome.NOT_SENT)
        await pause(NETWORK_DELAY_S + self._send_over_link())
        target = self._find_reachable(name)
        if target is None:
            await pause(ORDER_TIMEOUT_S)
            return OrderAnswer(OrderOutcome.UNKNOWN)
        if target.late_s is not None or self._rng.random() < target.late_share:
            late_s = target.late_s or 2 + 10 * self._rng.random()
            loop = asyncio.get_running_loop()
            # The delayed order waits inside the worker and is lost with its process.
            # A new incarnation, which has seen no fencing token, could not refuse it.
            incarnation = target.incarnation
            loop.call_later(late_s, target.carry_out_late, incarnation, act)
            await pause(ORDER_TIMEOUT_S)
            return OrderAnswer(OrderOutcome.UNKNOWN)
        answer = act(target)
        await pause(NETWORK_DELAY_S)
        if target.mode == "mute" or target.loses_answer(self._rng):
            await pause(ORDER_TIMEOUT_S)
            return OrderAnswer(OrderOutcome.UNKNOWN)
        return answer
