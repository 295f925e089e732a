"""A zone lead's orders to its workers, and the detection of ended attempts.

An attempt is recorded as ended only when no process can still run it, and is
started only by the lead that recorded its assignment.  Otherwise a task could run
twice: an order of a paused or partitioned lead may arrive late, or an unreachable
worker may keep running a task that was reassigned.  The symptom would be two
workers that report the same task.  The following rules prevent it:

* Every order carries the lead's epoch, the worker's incarnation and an expiry on
  the worker's own clock, after which the worker refuses it.
* A start is ordered only while the lease is certainly held, and its order expires
  with that lease, so no start of an older lead is acceptable once another lead can
  have claimed.
* An attempt that its worker does not report counts as not running only if the
  worker has seen this lead's epoch, which bars older leads' orders, and if no
  start of the attempt by this lead can still arrive.
* An attempt on an unreachable worker counts as ended only when every order of any
  lead that could have renewed it has expired at the worker.
"""

from collections.abc import Iterable

import attrs

from firhook.decide._lease import latest_end, to_worker_clock
from firhook.model import (
    Ending,
    Endpoint,
    Order,
    Report,
    StartOrder,
    StopOrder,
    running_digest,
)
from firhook.state import CellState, JobEntry, Ref, TaskState, ZoneState

#: A worker refuses an order that arrives after this time.  Long enough for a slow
#: answer of the worker, short enough that the tasks of an unreachable worker are
#: soon reassigned.
ORDER_TTL_S = 5.0

#: How often a worker that runs exactly the expected tasks reports all of them, for
#: their progress.  A digest is enough in between: full reports of 130 workers take
#: six times the bandwidth that a node may use.
FULL_REPORT_INTERVAL_S = 60.0


@attrs.frozen(slots=True)
class Timing:
    """Durations used by a zone's lead, in seconds.

    :param lease_s: how long a task keeps running at its worker without an order.
    :param hold_s: how long a partitioned lead keeps renewing tasks.
    :param margin_s: added to every wait for the expiry of a lease.
    :param sync_s: interval between orders to a worker.
    """

    lease_s: float
    hold_s: float
    margin_s: float
    sync_s: float


@attrs.frozen(slots=True)
class LeaseStatus:
    """The lead's current rights under its lease.

    :param held: whether the lease is certainly held.
    :param lease_left_s: remaining time of the lease, in seconds.
    :param hold_left_s: remaining time in which tasks may be renewed, in seconds.
    """

    held: bool
    lease_left_s: float
    hold_left_s: float


@attrs.define(slots=True)
class _SentStart:
    """The latest start order of an attempt that this lead has sent."""

    boot: str
    not_after: float


@attrs.define(slots=True)
class WorkerView:
    """What the zone's lead knows about a worker.

    :ivar endpoint: its entry in the platform's list; ``None`` if it has none.
    :ivar report: its last report; ``None`` while it is unreachable.
    :ivar read_at: when that report was read, on this instance's clock.
    :ivar full_at: when its last full report was read.
    :ivar orders_expire_at: latest expiry of this lead's orders, on this
        instance's clock.
    :ivar starts_sent: start orders sent, by attempt.
    :ivar reported_progress: progress of the attempts that it has ever reported
        as running.
    """

    name: str
    endpoint: Endpoint | None = None
    report: Report | None = None
    read_at: float = float("-inf")
    full_at: float = float("-inf")
    orders_expire_at: float = float("-inf")
    starts_sent: dict[Ref, _SentStart] = attrs.field(factory=dict)
    reported_progress: dict[Ref, float] = attrs.field(factory=dict)

    def start_may_arrive(self, ref: Ref) -> bool:
        """Return whether a start sent by this lead may still reach the worker."""
        start_sent = self.starts_sent.get(ref)
        if start_sent is None:
            return False
        if self.report is None:
            return True
        return (
            start_sent.boot == self.report.boot
            and self.report.stamp <= start_sent.not_after
        )


class LeadTerm:
    """One epoch of a zone's lead: its view of the workers and its decisions.

    The term outlives an expiry and renewal of the lease within the epoch, so that
    earlier orders stay known while they may still arrive.

    :param previous_lead_read_at: latest time at which the last record of an
        earlier lead was read, on this instance's clock.  That lead counted its
        hold from before it sent that record.
    :ivar settled: whether the lead's first record has been read back and no later
        append has an unknown outcome; nothing is placed before.
    :ivar fleet_version: changes whenever the list of workers changes.
    :ivar stopping: attempts to checkpoint and stop, with the reason.
    """

    def __init__(
        self,
        epoch: int,
        zone: ZoneState,
        cell: CellState,
        timing: Timing,
        previous_lead_read_at: float,
    ) -> None:
        self.epoch = epoch
        self.settled = False
        self.fleet_version = 0
        self.workers: dict[str, WorkerView] = {}
        self.stopping: dict[Ref, str] = {}
        self._zone = zone
        self._cell = cell
        self._timing = timing
        self._previous_lead_read_at = previous_lead_read_at
        self._endings: dict[Ref, Ending] = {}

    # -- worker state --------------------------------------------------------

    def update_workers(self, listed: Iterable[Endpoint]) -> None:
        """Update the workers from the platform's list, which lags.

        A worker that is no longer listed may still run tasks, so it is kept as
        long as the log has live attempts on it.
        """
        by_name = {e.name: e for e in listed}
        for name in by_name.keys() | self._zone.live.keys():
            if name not in self.workers:
                self.workers[name] = WorkerView(name)
                self.fleet_version += 1
        for name, view in list(self.workers.items()):
            endpoint = by_name.get(name, view.endpoint)
            if endpoint != view.endpoint:
                view.endpoint = endpoint
                self.fleet_version += 1
            unlisted = name not in by_name and name not in self._zone.live
            if unlisted and not view.starts_sent:
                del self.workers[name]
                self.fleet_version += 1

    def note_report(self, name: str, report: Report, now: float) -> None:
        """Record a worker's report."""
        view = self.workers.get(name)
        if view is None:
            return
        if report.same:
            if view.report is None or view.report.boot != report.boot:
                return
            tasks = view.report.tasks
            report = attrs.evolve(report, tasks=tasks, same=False)
            view.report, view.read_at = report, now
            return
        view.report, view.read_at, view.full_at = report, now, now
        for task in report.tasks:
            ref = (task.job_id, task.index, task.attempt)
            if task.state == "running" and self._zone.is_live(ref):
                view.reported_progress[ref] = task.progress
        live = self._zone.live.get(name, {})
        for ref in [r for r in view.reported_progress if r not in live]:
            del view.reported_progress[ref]
        for ref in [
            r
            for r in view.starts_sent
            if r not in live and not view.start_may_arrive(r)
        ]:
            del view.starts_sent[ref]

    def note_unreachable(self, name: str) -> None:
        """Record that a worker did not answer, or refused an order.

        From now on it is only polled.  Every order renews the worker's tasks, so
        orders to an unreachable worker would keep postponing the time at which its
        tasks have certainly ended.
        """
        view = self.workers.get(name)
        if view is not None:
            view.report = None

    # -- orders --------------------------------------------------------------

    def next_order(self, name: str, lease: LeaseStatus, now: float) -> Order | None:
        """Return the next order for a worker and record it as sent.

        :returns: ``None`` if no order may be sent: the worker must be polled
            first, it has seen a newer lead, or this lead's lease and hold have
            expired.
        """
        view = self.workers[name]
        report = view.report
        if report is None or report.epoch > self.epoch or not self.settled:
            return None
        ttl_s = min(
            ORDER_TTL_S,
            lease.lease_left_s if lease.held else ORDER_TTL_S,
        )
        hold_ended = not lease.held and lease.hold_left_s <= 0
        if not lease.held and not hold_ended:
            ttl_s = min(ttl_s, lease.hold_left_s)
        if ttl_s <= 0:
            return None
        order = attrs.evolve(
            self._build_order(view, report, lease, hold_ended),
            not_after=to_worker_clock(report.stamp, view.read_at, now + ttl_s),
        )
        if report.brief and now < view.full_at + FULL_REPORT_INTERVAL_S:
            order = _with_digest(order, report)
        view.orders_expire_at = max(view.orders_expire_at, now + ttl_s)
        for start in order.start:
            ref = (start.job_id, start.index, start.attempt)
            view.starts_sent[ref] = _SentStart(report.boot, order.not_after)
        return order

    def _build_order(
        self, view: WorkerView, report: Report, lease: LeaseStatus, hold_ended: bool
    ) -> Order:
        reported = {(t.job_id, t.index, t.attempt): t.state for t in report.tasks}
        live = self._zone.live.get(view.name, {})
        start: list[StartOrder] = []
        stop: list[StopOrder] = []
        renew: list[Ref] = []
        for ref, task in live.items():
            if ref in self._endings:
                continue
            reason = self._stop_reason(ref, lease)
            if reported.get(ref) == "running":
                if reason:
                    stop.append(StopOrder(*ref, reason))
                elif not hold_ended or not self._entry(ref).job.exclusive:
                    renew.append(ref)
            elif lease.held and not reason and self._may_start(view, ref, task):
                start.append(_start_order(self._entry(ref), ref, task))
        forget = []
        for ref, state in reported.items():
            if ref in live or not lease.held:
                continue
            if state == "running":
                stop.append(StopOrder(*ref, "it has been given up"))
            elif not view.start_may_arrive(ref):
                # A worker that has forgotten an attempt would start it again on
                # a delayed start order.
                forget.append(ref)
        return Order(
            epoch=self.epoch,
            not_after=0.0,
            lease_s=self._timing.lease_s,
            start=tuple(start),
            stop=tuple(stop),
            renew=tuple(renew),
            forget=tuple(forget),
            boot=report.boot,
        )

    def _entry(self, ref: Ref) -> JobEntry:
        return self._cell.jobs[ref[0]]

    def _stop_reason(self, ref: Ref, lease: LeaseStatus) -> str:
        """Return why an attempt must stop, or an empty string if it need not."""
        entry = self._cell.jobs.get(ref[0])
        if entry is None or entry.ended:
            return "its job has ended"
        if entry.cancelled:
            return "cancelled"
        if entry.zone != self._zone.zone:
            return f"zone {entry.zone} has adopted its job"
        last_chance_s = 2 * self._timing.sync_s
        if not lease.held and entry.job.exclusive:
            # Another zone may adopt the task soon.  Stopping it now checkpoints its
            # work, which would be lost if its lease expired instead.
            if 0 < lease.hold_left_s <= last_chance_s:
                return "its zone is cut off from the log"
            return ""
        return self.stopping.get(ref, "")

    def _may_start(self, view: WorkerView, ref: Ref, task: TaskState) -> bool:
        """Return whether an attempt that its worker does not have may be started.

        Only the lead that assigned it may start it.  The outcome of an earlier
        lead's start is unknown, so such an attempt is ended as lost.
        """
        if task.epoch != self.epoch or ref in view.reported_progress:
            return False
        start_sent = view.starts_sent.get(ref)
        return start_sent is None or start_sent.boot == view.report.boot  # type: ignore[union-attr]

    # -- ends ------------------------------------------------------------------

    def endings(self, now: float) -> tuple[Ending, ...]:
        """Return the attempts that have ended and whose end is not in the log yet.

        A decision stands until it is in the log.  The attempt gets no orders in the
        meantime; otherwise a worker that becomes reachable again could start
        an attempt that the log is about to record as ended.
        """
        for ref in [r for r in self._endings if not self._zone.is_live(r)]:
            del self._endings[ref]
        for ref in [r for r in self.stopping if not self._zone.is_live(r)]:
            del self.stopping[ref]
        if self.settled:
            for name, view in self.workers.items():
                for ref, task in self._zone.live.get(name, {}).items():
                    if ref not in self._endings:
                        ending = self._ending(view, ref, task, now)
                        if ending is not None:
                            self._endings[ref] = ending
        return tuple(self._endings.values())

    def _ending(
        self, view: WorkerView, ref: Ref, task: TaskState, now: float
    ) -> Ending | None:
        report = view.report
        if report is None:
            return self._ending_of_unreachable(view, ref, now)
        for t in report.tasks:
            if (t.job_id, t.index, t.attempt) == ref:
                return None if t.state == "running" else self._reported_ending(ref, t)
        if report.epoch != self.epoch or view.start_may_arrive(ref):
            return None
        lease = LeaseStatus(held=True, lease_left_s=0.0, hold_left_s=0.0)
        reason = self._stop_reason(ref, lease)
        if reason and ref not in view.reported_progress and task.epoch == self.epoch:
            outcome = "cancelled" if reason == "cancelled" else "lost"
            return Ending(*ref, outcome, f"{reason}, before it was started")
        if self._may_start(view, ref, task):
            return None
        progress = view.reported_progress.get(ref, 0.0)
        return Ending(*ref, "lost", "its worker no longer has it", progress)

    def _ending_of_unreachable(
        self, view: WorkerView, ref: Ref, now: float
    ) -> Ending | None:
        if self._zone.live[view.name][ref].epoch == self.epoch and not (
            ref in view.starts_sent or ref in view.reported_progress
        ):
            return Ending(*ref, "lost", "its worker fell silent before it was started")
        hold_end = latest_end(self._previous_lead_read_at, self._timing.hold_s)
        last_renewal = max(view.orders_expire_at, hold_end)
        lease_end = latest_end(last_renewal, self._timing.lease_s)
        if now <= lease_end + self._timing.margin_s:
            return None
        progress = view.reported_progress.get(ref, 0.0)
        return Ending(*ref, "lost", "its worker fell silent", progress)

    def _reported_ending(self, ref: Ref, report: object) -> Ending:
        state = report.state  # type: ignore[attr-defined]
        reason = report.reason  # type: ignore[attr-defined]
        outcome = {"done": "done", "failed": "failed", "refused": "refused"}.get(state)
        if outcome is None:
            entry = self._cell.jobs.get(ref[0])
            cancelled = entry is not None and entry.cancelled
            outcome = "cancelled" if cancelled else "lost"
            if reason.startswith("preempted"):
                outcome = "preempted"
        return Ending(*ref, outcome, reason, report.progress)  # type: ignore[attr-defined]


def _with_digest(order: Order, report: Report) -> Order:
    """Return an equivalent order that renews all tasks by digest, if possible."""
    if not order.renew or order.start or order.stop or order.forget:
        return order
    if len(order.renew) != len(report.tasks):
        return order
    return attrs.evolve(order, renew=(), renew_all=running_digest(order.renew))


def _start_order(entry: JobEntry, ref: Ref, task: TaskState) -> StartOrder:
    job = entry.job
    return StartOrder(
        *ref,
        job.cpus,
        job.memory_mb,
        job.accelerators,
        job.run_s,
        job.exclusive,
        task.progress,
        job.command,
    )
