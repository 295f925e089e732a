"""What a zone's lead orders of its workers, and which attempts have ended.

Everything here serves one rule: an attempt is recorded as ended only when no
process can still run it, and is started only by the lead that recorded it.
What goes wrong otherwise is a blend plan that runs twice: an order that a
paused or cut-off lead sent earlier arrives late, or a worker that nobody
reaches goes on with a task that was given to another.  One would notice two
workers that report the same task.  The limits that prevent it:

* each order names the lead's epoch, the worker's run and, on the worker's own
  clock, the moment after which it is refused;
* a start is ordered only while the lease is held for certain, and its order
  ends with that lease, so that none of an older lead's starts is acceptable
  once another lead can have claimed;
* an attempt that its worker does not report is taken as not running only if
  the worker has seen this lead's epoch, which bars older leads' orders, and
  if no start of this lead's own for it can still arrive;
* an attempt at a worker that does not answer is taken as over only when every
  order that could have renewed it, by any lead, has lapsed at the worker.
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

#: An order that is still on its way after so long is refused by its worker.
#: Long enough for a slow answer of the worker before it, short enough that
#: the tasks of a silent worker come back soon.
ORDER_TTL_S = 5.0

#: A worker that runs just what it should is asked for its whole inventory this
#: often, for the progress of its tasks; in between, a digest does.  In full, a
#: lead's talk with 130 workers takes six times the bytes a node may spend.
FULL_REPORT_INTERVAL_S = 60.0


@attrs.frozen(slots=True)
class Timing:
    """The spans of time that a lead works with, in seconds.

    :param lease_s: how long a task goes on at its worker without an order.
    :param hold_s: how long a lead that is cut off goes on renewing.
    :param margin_s: added to every wait for another's lease.
    :param sync_s: how often each worker gets an order.
    """

    lease_s: float
    hold_s: float
    margin_s: float
    sync_s: float


@attrs.frozen(slots=True)
class LeaseStatus:
    """What the lead may rely on at this moment.

    :param held: whether it holds the lease for certain.
    :param lease_left_s: how long it will hold it at least.
    :param hold_left_s: how long it may go on renewing tasks.
    """

    held: bool
    lease_left_s: float
    hold_left_s: float


@attrs.define(slots=True)
class _Sent:
    """The latest start of an attempt that this lead has sent."""

    boot: str
    not_after: float


@attrs.define(slots=True)
class WorkerView:
    """What the zone's lead knows of a worker.

    :ivar endpoint: where it is listed; ``None`` once it is not.
    :ivar report: its last report; ``None`` while it does not answer.
    :ivar read_at: when that was read, on this instance's clock.
    :ivar full_at: when its last report in full was read.
    :ivar until: when the last of this lead's orders lapses at the latest, on
        this instance's clock.
    :ivar sent: starts sent, by attempt.
    :ivar seen: progress of the attempts it has ever reported as running.
    """

    name: str
    endpoint: Endpoint | None = None
    report: Report | None = None
    read_at: float = float("-inf")
    full_at: float = float("-inf")
    orders_expire_at: float = float("-inf")
    starts_sent: dict[Ref, _Sent] = attrs.field(factory=dict)
    reported_progress: dict[Ref, float] = attrs.field(factory=dict)

    def start_may_arrive(self, ref: Ref) -> bool:
        """Return whether a start of this lead's may yet reach the worker."""
        sent = self.starts_sent.get(ref)
        if sent is None:
            return False
        if self.report is None:
            return True
        return sent.boot == self.report.boot and self.report.stamp <= sent.not_after


class LeadTerm:
    """One epoch of a zone's lead: its view of the workers and its decisions.

    It holds through a lapse and renewal of the lease within the epoch, so
    that orders sent before are not forgotten while they may still arrive.

    :param before: when the last record of an earlier lead was read at the
        latest, on this instance's clock.  That lead counted its hold from
        before it sent that record.
    :ivar settled: whether the lead's first record has been read back and no
        later append has an unknown outcome; nothing is placed before.
    :ivar fleet: changes whenever a worker is listed otherwise than before.
    :ivar stopping: attempts to checkpoint and stop, and why.
    """

    def __init__(
        self,
        epoch: int,
        zone: ZoneState,
        cell: CellState,
        timing: Timing,
        before: float,
    ) -> None:
        self.epoch = epoch
        self.settled = False
        self.fleet_version = 0
        self.workers: dict[str, WorkerView] = {}
        self.stopping: dict[Ref, str] = {}
        self._zone = zone
        self._cell = cell
        self._timing = timing
        self._before = before
        self._endings: dict[Ref, Ending] = {}

    # -- what is known of the workers --------------------------------------

    def update_workers(self, listed: Iterable[Endpoint]) -> None:
        """Take over the platform's list, which lags.

        A worker that has left the list may still run tasks, so it is kept
        for as long as the log has attempts on it.
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
            gone = name not in by_name and name not in self._zone.live
            if gone and not view.starts_sent:
                del self.workers[name]
                self.fleet_version += 1

    def note_report(self, name: str, report: Report, now: float) -> None:
        """Note what a worker answered."""
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
        """Note that a worker did not answer, or refused.

        It is only looked at from now on.  Each order renews what it runs, so
        that orders sent blindly would put off the moment at which its tasks
        are certainly over for as long as nobody hears from it.
        """
        view = self.workers.get(name)
        if view is not None:
            view.report = None

    # -- orders --------------------------------------------------------------

    def next_order(self, name: str, standing: LeaseStatus, now: float) -> Order | None:
        """Return the order for a worker, noted as sent, or ``None``.

        ``None`` means that nothing may be ordered: the worker is to be looked
        at first, has seen a newer lead, or this lead's time is over.
        """
        view = self.workers[name]
        report = view.report
        if report is None or report.epoch > self.epoch or not self.settled:
            return None
        ttl_s = min(
            ORDER_TTL_S,
            standing.lease_left_s if standing.held else ORDER_TTL_S,
        )
        held_back = not standing.held and standing.hold_left_s <= 0
        if not standing.held and not held_back:
            ttl_s = min(ttl_s, standing.hold_left_s)
        if ttl_s <= 0:
            return None
        order = attrs.evolve(
            self._wanted(view, report, standing, held_back),
            not_after=to_worker_clock(report.stamp, view.read_at, now + ttl_s),
        )
        if report.brief and now < view.full_at + FULL_REPORT_INTERVAL_S:
            order = _shortened(order, report)
        view.orders_expire_at = max(view.orders_expire_at, now + ttl_s)
        for start in order.start:
            ref = (start.job_id, start.index, start.attempt)
            view.starts_sent[ref] = _Sent(report.boot, order.not_after)
        return order

    def _wanted(
        self, view: WorkerView, report: Report, standing: LeaseStatus, held_back: bool
    ) -> Order:
        known = {(t.job_id, t.index, t.attempt): t.state for t in report.tasks}
        live = self._zone.live.get(view.name, {})
        start: list[StartOrder] = []
        stop: list[StopOrder] = []
        renew: list[Ref] = []
        for ref, task in live.items():
            if ref in self._endings:
                continue
            reason = self._unwanted(ref, standing)
            if known.get(ref) == "running":
                if reason:
                    stop.append(StopOrder(*ref, reason))
                elif not held_back or not self._entry(ref).job.exclusive:
                    renew.append(ref)
            elif standing.held and not reason and self._startable(view, ref, task):
                start.append(_start_order(self._entry(ref), ref, task))
        forget = []
        for ref, state in known.items():
            if ref in live or not standing.held:
                continue
            if state == "running":
                stop.append(StopOrder(*ref, "it has been given up"))
            elif not view.start_may_arrive(ref):
                # A worker that has forgotten an attempt would start it anew
                # if a start of it were still on its way.
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

    def _unwanted(self, ref: Ref, standing: LeaseStatus) -> str:
        """Return why an attempt is to stop, or nothing if it is to go on."""
        entry = self._cell.jobs.get(ref[0])
        if entry is None or entry.ended:
            return "its job has ended"
        if entry.cancelled:
            return "cancelled"
        if entry.zone != self._zone.zone:
            return f"zone {entry.zone} has adopted its job"
        last_chance_s = 2 * self._timing.sync_s
        if not standing.held and entry.job.exclusive:
            # Another zone may adopt it soon.  Stopping it now keeps its work
            # up to here; letting its lease lapse would lose it.
            if 0 < standing.hold_left_s <= last_chance_s:
                return "its zone is cut off from the log"
            return ""
        return self.stopping.get(ref, "")

    def _startable(self, view: WorkerView, ref: Ref, task: TaskState) -> bool:
        """Return whether an attempt that is not at its worker may be started.

        Only by the lead that assigned it: what an earlier lead's start has
        come to is not known, and its attempt is ended as lost instead.
        """
        if task.epoch != self.epoch or ref in view.reported_progress:
            return False
        sent = view.starts_sent.get(ref)
        return sent is None or sent.boot == view.report.boot  # type: ignore[union-attr]

    # -- ends ------------------------------------------------------------------

    def endings(self, now: float) -> tuple[Ending, ...]:
        """Return the attempts that have ended and whose end is not on the log.

        A decision stands until the log holds it: meanwhile the attempt gets
        no order, or its worker, back just then, would start what the log is
        about to declare over.
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
            return self._lapsed(view, ref, now)
        for t in report.tasks:
            if (t.job_id, t.index, t.attempt) == ref:
                return None if t.state == "running" else self._told(ref, t)
        if report.epoch != self.epoch or view.start_may_arrive(ref):
            return None
        standing = LeaseStatus(held=True, lease_left_s=0.0, hold_left_s=0.0)
        reason = self._unwanted(ref, standing)
        if reason and ref not in view.reported_progress and task.epoch == self.epoch:
            outcome = "cancelled" if reason == "cancelled" else "lost"
            return Ending(*ref, outcome, f"{reason}, before it was started")
        if self._startable(view, ref, task):
            return None
        progress = view.reported_progress.get(ref, 0.0)
        return Ending(*ref, "lost", "its worker no longer has it", progress)

    def _lapsed(self, view: WorkerView, ref: Ref, now: float) -> Ending | None:
        if self._zone.live[view.name][ref].epoch == self.epoch and not (
            ref in view.starts_sent or ref in view.reported_progress
        ):
            return Ending(*ref, "lost", "its worker fell silent before it was started")
        hold_end = latest_end(self._before, self._timing.hold_s)
        last_renewal = max(view.orders_expire_at, hold_end)
        lease_end = latest_end(last_renewal, self._timing.lease_s)
        if now <= lease_end + self._timing.margin_s:
            return None
        progress = view.reported_progress.get(ref, 0.0)
        return Ending(*ref, "lost", "its worker fell silent", progress)

    def _told(self, ref: Ref, report: object) -> Ending:
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


def _shortened(order: Order, report: Report) -> Order:
    """Return an order that renews all by digest, if that says the same."""
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
