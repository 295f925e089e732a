"""One term of a lead: from the claim of the cell until the lead steps down."""

import asyncio
import contextlib
import math
from collections.abc import Coroutine, Iterable
from typing import Any, Protocol

import attrs

from firhook.cell import (
    MAX_LISTED_ENDS,
    CellConfig,
    EndedRow,
    JobStatus,
    JobTable,
    JobView,
    LeadRecord,
    PollReply,
    Run,
    RunEnd,
    WorkerEntry,
)
from firhook.cell.job_table import MAX_ORDER_DELAY_S, PROOF_S
from firhook.cell.records import (
    JOB_PREFIX,
    LEAD_KEY,
    STATE_PREFIX,
    encode_record,
    state_version,
)
from firhook.clock import boot_time, unix_time
from firhook.decide.adviser_slots import SlotPlan
from firhook.decide.estimates import Estimates
from firhook.decide.lost_calls import LostCalls
from firhook.decide.stalls import stalled_runs
from firhook.decide.tickets import TicketTable
from firhook.decide.worker_health import may_back_off
from firhook.decide.worker_lease import WorkerLease
from firhook.errors import (
    FirhookError,
    LogFencedError,
    LogRecordRefusedError,
    LogSequenceError,
    RecordMalformedError,
)
from firhook.instance import Instance
from firhook.logs import log
from firhook.platform.store import KeyedRecord, encode_keyed_record
from firhook.services._adviser_client import AdviserClient
from firhook.services._batches import split_records
from firhook.services._events import (
    LEAD_PARTITIONS,
    CatchUp,
    HoldFullReplica,
    RecordsAppended,
    TermEnded,
)
from firhook.services._eviction import Evictor
from firhook.services._fenced_writer import FencedWriter
from firhook.services._held_jobs import HeldJobs
from firhook.services._hints import HintStore, TermHints
from firhook.services._job_room import current_limits
from firhook.services._load import LoadReporter
from firhook.services._order_sender import OrderSender
from firhook.services._placer import Placer, PlaceRound
from firhook.services._retention import delete_expired_jobs
from firhook.services._waiting import WaitingReporter
from firhook.services._worker_link import WorkerLink
from firhook.services._worker_list import WorkerList
from firhook.tasks import log_failure

#: The delay before a round, during which changes are collected, so that ends which
#: arrive together are stored in one append.
_BATCH_DELAY_S = 0.004
#: The longest interval between rounds.  Tickets expire and scheduled times come due
#: without any event.
_ROUND_INTERVAL_S = 0.1
#: The delay before reading the log again after a failed read.
_RETRY_S = 0.05
#: The delay before all records are read again because some jobs could not be taken
#: over.  It doubles with each attempt, up to the maximum.
_MIN_RELOAD_DELAY_S = 1.0
_MAX_RELOAD_DELAY_S = 30.0
#: The most ends that a worker keeps because one of them belongs to a skipped job.
_MAX_ENDS_BESIDE_HELD = MAX_LISTED_ENDS // 2
#: Leases are renewed for this time after the last moment at which the lead might
#: act.  While the store is down the lead cannot prove that it holds the cell, but
#: the tasks need not end for that.  A successor adds this time to every lease that
#: may still be valid.
RENEW_UNPROVEN_S = 3.0
#: A predecessor's lease expires its duration after the last renewal.  The factor
#: allows for clocks that run 2% slow.
_OLD_LEASE_FACTOR = 1.03
#: A worker that left for good is forgotten after this.  Each order to it was sent
#: within the first half, and is carried out within the second if at all.
_FORGET_AFTER_S = 2 * MAX_ORDER_DELAY_S
#: The interval at which the lead appends a proof if it has nothing else to write.
_PROOF_INTERVAL_S = 0.2
#: Logs a failed background task of a term, such as an order or an adviser request.
_LOG_FAILURE = log_failure("term.task_failed")
#: A submission that keeps its job ID is rewritten with an acceptance time that is
#: this much earlier than that of the conflicting one.
_OWNER_PRECEDENCE_S = 0.001


class TermOwner(Protocol):
    """What a term needs from the lead service.

    :ivar hints: the newest learned values of earlier leads.
    :ivar place: decides which waiting tasks start, and on which workers.
    :ivar slot_plan: the class that reserves adviser slots for fast requests.
    """

    instance: Instance
    hints: HintStore
    place: PlaceRound
    slot_plan: type[SlotPlan]

    def may_act(self) -> bool:
        """Return whether this instance may act as the lead now."""

    def note_proof(self, sent_at: float) -> None:
        """Record that the store accepted an append under the term's epoch."""

    def seconds_since_proof(self) -> float:
        """Return the seconds since the last accepted append was sent."""

    def announce(self) -> None:
        """Broadcast that this instance leads."""


class Term:
    """Leads the cell under one epoch.

    :param epoch: the epoch at the store and the fencing token at the workers;
        higher than that of every earlier lead.
    :ivar lost: whether the term is over, or is ending.
    :ivar lost_reason: why the lead was lost, or an empty string.
    :ivar drained_zones: the zones that get no new work.
    :ivar taken_over: whether the takeover is complete.
    :ivar takeover_stage: what the takeover waits for.
    :ivar held_jobs: jobs that wait for room in the job table.
    :ivar waiting: reports on the steps that wait.
    :ivar hints: sends what is learned in the term to likely successors.
    :ivar load: makes the load tables.
    """

    def __init__(self, lead: TermOwner, epoch: int) -> None:
        self.fence = epoch
        self.lost = False
        self.lost_reason = ""
        self.taken_over = False
        self.takeover_stage = "epoch"
        self._lead = lead
        instance = lead.instance
        self._instance = instance
        self._store = instance.store
        self._replica = instance.replica
        self._meters = instance.meters
        self._bounds = instance.settings.bounds
        self.workers = instance.platform.workers(
            self.may_act, lambda: self._order_sender.answer_delay_s()
        )
        self.links: dict[str, WorkerLink] = {}
        self.lost_calls = LostCalls()
        self.tickets = TicketTable()
        self.estimates = Estimates(instance.meters.count)
        config = instance.config.config
        assert config is not None
        limits = current_limits(instance.settings, self._replica)
        self.job_table = JobTable(config, limits)
        self.held_jobs = HeldJobs(instance, self.job_table)
        self.drained_zones = instance.config.drained_zones
        self._known_jobs: set[str] = set()
        self._skipped_jobs: set[str] = set()
        self._held_ends: dict[str, dict[tuple[str, int], EndedRow]] = {}
        self._writer = FencedWriter(self._store, epoch, lead.note_proof)
        self._version_count = 0
        self._settled_owners: dict[str, frozenset[tuple[str, str]]] = {}
        self._rewritten_submissions: list[KeyedRecord] = []
        self._wake = asyncio.Event()
        self._tasks: set[asyncio.Task[Any]] = set()
        adviser_client = AdviserClient(
            instance, self.tickets, lead.slot_plan(), self._spawn, self._wake.set
        )
        self._placer = Placer(
            self.job_table,
            self.links,
            self.estimates,
            self.tickets,
            adviser_client,
            self._meters,
            lead.place,
            self.drained_zones,
            Evictor(self.job_table, self.tickets, self._meters, self._bounds),
            self.lost_calls,
        )
        self.waiting = WaitingReporter(
            self.job_table,
            self._replica,
            self._known_jobs,
            self.tickets,
            self._bounds,
            self._placer.round_view,
        )
        self.hints = TermHints(lead.instance, lead.hints, epoch)
        self.hints.register(self.estimates.speeds)
        self.hints.register(self.estimates.durations)
        self.hints.register(self._placer.urgent_need)
        self.load = LoadReporter(epoch, self.job_table, self._placer)
        self._link_tasks: dict[str, asyncio.Task[None]] = {}
        self._renew_until = 0.0
        self._writes_paused_until = float("-inf")
        self._begun_at = boot_time()
        self._handles_changes = False
        self._order_sender = OrderSender(
            self, self._bounds, self._meters, self._spawn, self._wake.set
        )

    # Beginning and end of a term.

    def begin(self) -> None:
        """Start the takeover of the cell."""
        self._spawn(self._run())

    async def end(self) -> None:
        """Cancel all tasks of the term; a successor continues from the store."""
        self.lost = True
        tasks = [*self._tasks, *self._link_tasks.values()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self._instance.bus.publish(TermEnded())

    def _spawn(self, work: Coroutine[Any, Any, Any]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        task.add_done_callback(_LOG_FAILURE)

    def may_act(self) -> bool:
        """Return whether orders may be sent now."""
        return not self.lost and self._lead.may_act()

    def may_renew(self) -> bool:
        """Return whether leases may be renewed now."""
        now = boot_time()
        if self.may_act():
            self._renew_until = now + RENEW_UNPROVEN_S
        return not self.lost and now < self._renew_until

    def step_down(self, reason: str, **fields: object) -> None:
        """Give up the lead in favour of another instance.

        :param fields: further fields of the log line.
        """
        self._mark_lost(reason, level="info", **fields)

    def pause_writes(self, duration_s: float) -> None:
        """Pause all writes, so that a successor's claim succeeds."""
        self._writes_paused_until = boot_time() + duration_s

    @property
    def _writes_paused(self) -> bool:
        return boot_time() < self._writes_paused_until

    def on_fenced(self, worker: str) -> None:
        """End the term: a worker has seen a higher fencing token."""
        self._mark_lost("fenced", worker=worker)

    async def _run(self) -> None:
        try:
            await self._take_over()
            await self._control_loop()
        except (LogFencedError, LogSequenceError) as exc:
            self._mark_lost("fenced", error=exc.code)
        except Exception as exc:
            self._mark_lost("crashed", level="error", error=repr(exc))

    def _mark_lost(self, reason: str, level: str = "warning", **fields: object) -> None:
        """Mark the term as lost, and stop polling workers.

        A worker that has seen a higher fencing token refuses every further call
        of this term.
        """
        if self.lost:
            return
        self.lost, self.lost_reason = True, reason
        log("lead.lost", level=level, epoch=self.fence, reason=reason, **fields)
        for task in self._link_tasks.values():
            task.cancel()

    async def _take_over(self) -> None:
        # From here on the store refuses the appends of earlier leads, so that the
        # log as read next is complete.
        await self._writer.set_epoch()
        self.takeover_stage = "log"
        while True:
            try:
                self.takeover_stage = "reading"
                await self._instance.bus.ask(HoldFullReplica())
                self.takeover_stage = "log"
                await self._instance.bus.ask(CatchUp(LEAD_PARTITIONS))
                break
            except FirhookError as exc:
                log("lead.catch_up_retry", level="debug", error=repr(exc))
                await asyncio.sleep(_RETRY_S)
        self.takeover_stage = "jobs"
        now, unix = boot_time(), unix_time()
        # Jobs that were begun are added whether or not the table has room.
        unfinished = list(self._replica.unfinished_jobs())
        for job_id, job in sorted(unfinished, key=lambda row: row[1].state is None):
            self._add_job(job_id, job, now, unix)
            self._resolve_owner(job_id, job)
        # From here on changes are handled as they are read.  There is no await
        # between the loop above and this line: a job accepted in between would be
        # missed by both.
        self._handles_changes = True
        self.taken_over = True
        self.hints.apply()
        log(
            "lead.began",
            epoch=self.fence,
            jobs=len(self.job_table.jobs),
            runs=sum(len(r) for r in self.job_table.worker_runs.values()),
            took_ms=round((boot_time() - self._begun_at) * 1000, 1),
        )
        self._meters.record_duration("takeover", "", boot_time() - self._begun_at)
        self._spawn(
            delete_expired_jobs(
                self._replica,
                self._bounds.status_s,
                self._delete_keys,
                self._known_jobs.discard,
            )
        )
        self._spawn(self._prove_periodically())
        self._spawn(self.hints.run())
        self._spawn(self._reload_skipped_jobs())
        self._spawn(WorkerList(self._store, self._on_worker).run())

    # Incoming changes.

    def on_job(self, job_id: str) -> None:
        """Handle a change of a job's records."""
        if not self._handles_changes:
            return
        view = self._replica.jobs.get(job_id)
        if view is None or view.accepted is None:
            return
        contested = self._resolve_owner(job_id, view)
        if job_id not in self._known_jobs:
            # Jobs that ended in this term are known as well.  A late repeat of a
            # submission may be read before the job's final record is, and must
            # not start the job again.
            if view.is_over or (view.status.ended and not view.cancelled):
                self._known_jobs.add(job_id)
                self._skipped_jobs.discard(job_id)
            elif not self._add_job(job_id, view, boot_time(), unix_time()):
                return
        elif view.cancelled:
            self.job_table.cancel(job_id, unix_time())
        elif not contested:
            # The lead's own state record, read back from the store.
            return
        self._wake.set()

    def _add_job(self, job_id: str, view: JobView, now: float, unix: float) -> bool:
        """Add a job to the table; return whether that was possible.

        Without its state a job would run from the start, beside tasks that may still
        run.  It is skipped until its records change or were read again.  A job of which
        nothing was started is held back while the table is full.
        """
        assert view.accepted is not None
        try:
            if view.accepted.is_digest:
                raise RecordMalformedError(
                    "the accepted submission has no job specification"
                )
            state = view.state.decode() if view.state else None
        except RecordMalformedError as exc:
            if job_id not in self._skipped_jobs:
                log("record.malformed", level="error", job=job_id, detail=exc.detail)
            self._skipped_jobs.add(job_id)
            return False
        if self.held_jobs.must_wait(job_id, view):
            return False
        self._known_jobs.add(job_id)
        self._skipped_jobs.discard(job_id)
        try:
            job = self.job_table.add(view.accepted, state, now, unix)
            if job is not None and self._handles_changes:
                self.load.note_arrival(job, now)
            for row in self._held_ends.pop(job_id, {}).values():
                self.job_table.apply_held_end(row, now, unix)
            if view.cancelled:
                self.job_table.cancel(job_id, unix)
        except Exception as exc:
            # Each lead would end at this job, and no other job would run.
            self._set_aside(job_id, repr(exc))
            return False
        return True

    def _set_aside(self, job_id: str, why: str) -> None:
        """Leave a job and its runs alone until its records were read again."""
        log("job.set_aside", level="error", job=job_id, error=why)
        self._meters.count("jobs_set_aside")
        self.job_table.set_aside(job_id)
        self._known_jobs.discard(job_id)
        self._skipped_jobs.add(job_id)
        # Ends of the job may be among those that the table has processed.
        for link in self.links.values():
            link.hold_ends()

    async def _reload_skipped_jobs(self) -> None:
        """Read all records again while the records of some jobs cannot be decoded."""
        delay_s = _MIN_RELOAD_DELAY_S
        while not self.lost:
            await asyncio.sleep(delay_s)
            self._skipped_jobs &= self._replica.jobs.keys()
            for job_id in self._held_ends.keys() - self._skipped_jobs:
                del self._held_ends[job_id]
            if not self._skipped_jobs:
                delay_s = _MIN_RELOAD_DELAY_S
                continue
            delay_s = min(2 * delay_s, _MAX_RELOAD_DELAY_S)
            try:
                await self._instance.bus.ask(HoldFullReplica(reload=True))
            except FirhookError as exc:
                log("lead.reload_failed", level="debug", error=exc.detail)
            for job_id in list(self._skipped_jobs):
                self.on_job(job_id)

    def _resolve_owner(self, job_id: str, view: JobView) -> bool:
        """Settle which team owns a job ID; return whether several had claimed it.

        Two teams may submit the same job ID at two instances before either
        instance knows of the other submission, and both submissions are appended.
        The store keeps only the newest record of a key.  The first team's job,
        which may be running, would become the second team's, and the first team
        would be told that the job does not exist.  The submission that the lead
        accepted is therefore written again, on a partition of the lead and as the
        earliest one, which makes it valid everywhere.
        """
        if not view.owners or view.owners == self._settled_owners.get(job_id):
            return False
        job, visible = self.job_table.jobs.get(job_id), view.accepted
        assert visible is not None
        holder = job.accepted if job is not None else visible
        if holder.is_digest:
            # Storing it would take the full submission from all later leads.
            return False
        self._settled_owners[job_id] = view.owners
        if holder.owner != visible.owner:
            earlier = min(holder.accepted_at, visible.accepted_at - _OWNER_PRECEDENCE_S)
            holder = attrs.evolve(holder, accepted_at=earlier)
        log("job.contested", level="warning", job=job_id, owners=len(view.owners))
        record = KeyedRecord(JOB_PREFIX + job_id, encode_record(holder))
        self._rewritten_submissions.append(record)
        return True

    def next_load_table(self, now: float) -> bytes:
        """Return the load table if it is due; none before the takeover is complete."""
        if not self.taken_over or self.lost:
            return b""
        return self.load.next_table(len(self._replica.peers), now)

    def on_config(self, config: CellConfig) -> None:
        """Apply a new version of the configuration."""
        self.job_table.set_config(config)
        self._wake.set()

    def on_drained_zones(self) -> None:
        """Handle that a zone was drained or returned to service."""
        self._wake.set()

    def _on_worker(self, name: str, entry: WorkerEntry | None) -> None:
        link = self.links.get(name)
        now = boot_time()
        if entry is None:
            if link is not None and link.unlisted_at is None:
                link.unlisted_at = now
            return
        if link is None:
            lease = WorkerLease(self._bounds.lease_s, self._old_leases_expire_at())
            link = WorkerLink(self, entry, lease)
            self.links[name] = link
            self._link_tasks[name] = asyncio.create_task(link.run())
        if entry.draining and not link.entry.draining:
            self._on_draining(link, entry)
        link.set_entry(entry)

    def _on_draining(self, link: WorkerLink, entry: WorkerEntry) -> None:
        """Stop the runs that would not end before the worker leaves."""
        now = boot_time()
        runs = list(self.job_table.worker_runs.get(link.name, {}).values())
        log("worker.draining", worker=link.name, runs=len(runs), left=entry.leaves_in_s)
        for run in runs:
            speed = self.estimates.speeds.speed(link.name)
            if run.stored and run.remaining_s(now, speed) > entry.leaves_in_s:
                self.job_table.stop(run, "worker_leaves")
        self._wake.set()

    def on_poll(self, link: WorkerLink, reply: PollReply, sent_at: float) -> None:
        """Handle a worker's poll reply."""
        now, unix = boot_time(), unix_time()
        self._log_unknown_ends(link, reply)
        orphaned = self.job_table.apply_poll_reply(link.name, reply, sent_at, now, unix)
        self.estimates.record_poll(
            self.job_table.worker_runs.get(link.name, {}).values(),
            self.job_table.ended_runs,
            now,
        )
        for run, end in self.job_table.ended_runs:
            self._note_end(link, run, end, now)
        self.job_table.ended_runs.clear()
        runs = self.job_table.worker_runs.get(link.name, {})
        if link.health.record_work(runs.values(), now):
            log("worker.recovered", worker=link.name, by="work")
        elif link.health.expire(now):
            log("worker.recovered", worker=link.name, by="time")
        link.has_orphaned_runs = bool(orphaned)
        self._hold_ends(link, reply)
        for task, number in orphaned:
            if self._is_skipped(task):
                continue
            log("run.stray", worker=link.name, task=task, run=number)
            self._spawn(self.workers.stop(link.entry, task, number, self.fence))
        self._stop_stalled(link, now)
        self._wake.set()

    def _log_unknown_ends(self, link: WorkerLink, reply: PollReply) -> None:
        """Log the ends of runs that are not in the job table, each once.

        Of a task that is not done, such an end shows a run that was given up although
        the worker executed it.
        """
        runs = self.job_table.worker_runs.get(link.name, {})
        for row in reply.ended:
            is_new = row.number > link.processed.number
            if (row.task, row.run) in runs or not is_new or self._is_skipped(row.task):
                continue
            task = self.job_table.find_task(row.task)
            log(
                "end.unknown",
                level="info" if task is None or task.done else "warning",
                worker=link.name,
                task=row.task,
                run=row.run,
                end=row.end.value,
                state="gone" if task is None else "done" if task.done else "open",
                last_run=task.last_run if task is not None else 0,
            )

    def _hold_ends(self, link: WorkerLink, reply: PollReply) -> None:
        """Keep the ends of skipped jobs, which may be taken over yet.

        They remain at the worker, unless they would keep it from listing the ends of
        other jobs.
        """
        held = [row for row in reply.ended if self._is_skipped(row.task)]
        if len(reply.ended) <= _MAX_ENDS_BESIDE_HELD:
            link.held_end = min((row.number for row in held), default=math.inf)
            return
        link.held_end = math.inf
        for row in held:
            ends = self._held_ends.setdefault(row.task.partition(".")[0], {})
            ends[row.task, row.run] = row

    def _is_skipped(self, task: str) -> bool:
        """Return whether a task belongs to a job that could not be taken over."""
        return task.partition(".")[0] in self._skipped_jobs

    def _stop_stalled(self, link: WorkerLink, now: float) -> None:
        """Stop the stalled runs of a worker, so that they run elsewhere."""
        runs = self.job_table.worker_runs.get(link.name, {})
        for run in stalled_runs(runs.values(), now, self._bounds.restore_s):
            log(
                "run.stalled",
                level="warning",
                task=run.task.name,
                run=run.number,
                worker=link.name,
                percent=run.percent,
                still_s=round(now - run.percent_at, 2),
            )
            self.job_table.stop(run, "stalled")
            link.health.record_stall(now, self.may_back_off(link))

    def _note_end(self, link: WorkerLink, run: Run, end: RunEnd, now: float) -> None:
        step = run.task.step
        self._meters.count("ends", end.value)
        log(
            "run.ended",
            task=run.task.name,
            run=run.number,
            worker=link.name,
            end=end.value,
            gang=step.spec.gang,
            ran_ms=round((now - run.started_at) * 1000),
        )
        was_on_probation = link.health.probation
        ran_s = now - run.started_at
        may_rest = end is not RunEnd.FAILED or self.may_back_off(link)
        if link.health.record_end(step.job.id, end, now, ran_s, may_rest):
            log(
                "worker.rests",
                level="warning",
                worker=link.name,
                jobs=len(link.health.failed_at),
                ran_s=round(link.health.longest_failed_s, 3),
            )
        elif was_on_probation and not link.health.probation:
            log("worker.recovered", worker=link.name, by="end")

    def may_back_off(self, link: WorkerLink) -> bool:
        """Return whether a worker may get less work than the others of its pool."""
        now = boot_time()
        pool = [
            other.health
            for other in self.links.values()
            if other.entry.pool == link.entry.pool and other.usable(now)
        ]
        return may_back_off(link.health, pool)

    def on_incarnation(self, link: WorkerLink) -> None:
        """Handle that a worker restarted: its earlier start orders are void."""
        self.estimates.speeds.restart(link.name)
        self._order_sender.stop_late_starts(link, boot_time())

    def on_ends_missing(self, link: WorkerLink, first_listed: int) -> None:
        """Report ends that a worker deleted although this lead has not read them."""
        self._meters.count("worker_ends_missing")
        log(
            "worker.ends_missing",
            level="error",
            worker=link.name,
            processed=link.processed.number,
            first_listed=first_listed,
        )

    def on_unreachable(self, link: WorkerLink) -> None:
        """Let tasks that run only on suspected workers start a copy elsewhere."""
        for run in list(self.job_table.worker_runs.get(link.name, {}).values()):
            others = (self.links.get(other.worker) for other in run.task.runs)
            if all(other is None or other.suspected for other in others):
                self.job_table.allow_duplicate(run.task)
        self._wake.set()

    # The control loop.

    async def _prove_periodically(self) -> None:
        """Append a proof of leadership while the lead has nothing else to write.

        The appended record is also a heartbeat for instances that receive nothing
        else from the lead, as when all connections between instances hang.
        """
        while not self.lost:
            await asyncio.sleep(_PROOF_INTERVAL_S)
            if (
                self._lead.seconds_since_proof() < _PROOF_INTERVAL_S
                or self._writes_paused
            ):
                continue
            try:
                record = encode_keyed_record(self._heartbeat_record())
                # The announcement, which states the record's version, is sent
                # before the append.  An instance that has received it does not
                # count the record as a newer heartbeat, however late it reads it.
                self._lead.announce()
                await self._writer.confirm_epoch([record])
            except LogFencedError:
                self._mark_lost("fenced")

    def _heartbeat_record(self) -> KeyedRecord:
        """Return the record that names the lead and shows that it is alive."""
        name, incarnation = self._instance.settings.name, self._instance.incarnation
        lead_record = LeadRecord(name, incarnation, self.fence, self._version())
        return KeyedRecord(LEAD_KEY, encode_record(lead_record))

    async def _control_loop(self) -> None:
        while not self.lost:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(_ROUND_INTERVAL_S):
                    await self._wake.wait()
            await asyncio.sleep(_BATCH_DELAY_S)
            self._wake.clear()
            if self._writes_paused:
                continue
            for job_id, view in self.held_jobs.take_fitting():
                self._add_job(job_id, view, boot_time(), unix_time())
            self.job_table.tick(boot_time(), unix_time())
            self._expire_unlisted_workers()
            self._forget_gone_workers()
            if not self.may_act():
                self._placer.skip_round()
            elif self._order_sender.may_plan():
                self._placer.place(boot_time())
            self.waiting.update(boot_time())
            for run in self.job_table.take_to_stop():
                self._spawn(self._order_sender.stop(run))
            self._log_voided()
            await self._store_changes()

    def _log_voided(self) -> None:
        for run, reason in self.job_table.voided:
            self._meters.count("voided", reason)
            log(
                "run.void",
                task=run.task.name,
                run=run.number,
                worker=run.worker,
                reason=reason,
            )
        self.job_table.voided.clear()

    def _expire_unlisted_workers(self) -> None:
        """End the runs on workers that are no longer registered.

        A worker may be lost for good while the lead changes.  If its entry is gone
        before the new lead reads the list, no link polls the worker, and without
        this check its tasks would wait forever.  Its lease expires like any other.
        """
        now = boot_time()
        if now < self._old_leases_expire_at():
            return
        for name, runs in list(self.job_table.worker_runs.items()):
            if runs and name not in self.links:
                log("worker.lapsed", level="warning", worker=name, registered=False)
                lease_s = self._bounds.lease_s * _OLD_LEASE_FACTOR
                self.job_table.expire_lease(name, now, lease_s)

    def _forget_gone_workers(self) -> None:
        """Stop polling workers that left for good, and under whose name nothing runs.

        Workers come and go under new names as long as a term lasts.  One that is
        registered again gets a new link.
        """
        now = boot_time()
        gone = [
            link
            for link in self.links.values()
            if link.is_gone(now, _FORGET_AFTER_S)
            and not self.job_table.worker_runs.get(link.name)
        ]
        for link in gone:
            log("worker.forgotten", worker=link.name, life=link.incarnation)
            del self.links[link.name]
            self._link_tasks.pop(link.name).cancel()

    def _old_leases_expire_at(self) -> float:
        """Return when all leases granted by earlier leads have expired."""
        longest_s = self._bounds.lease_s * _OLD_LEASE_FACTOR
        return self._begun_at + PROOF_S + RENEW_UNPROVEN_S + longest_s

    async def _store_changes(self) -> None:
        planned = self.job_table.take_planned()
        jobs = self.job_table.take_dirty(boot_time())
        acks = [
            (link, link.storable_ends)
            for link in self.links.values()
            if link.storable_ends.number > link.ack.number
        ]
        submissions, self._rewritten_submissions = self._rewritten_submissions, []
        if submissions:
            await self._append(submissions)
        refused: set[str] = set()
        if jobs:
            began = boot_time()
            records = [
                KeyedRecord(
                    STATE_PREFIX + job.id, encode_record(job.to_state(self._version()))
                )
                for job in jobs
            ]
            refused = await self._append(records)
            self._meters.record_duration("store_state", "", boot_time() - began)
        for key in refused:
            self._set_aside(key.removeprefix(STATE_PREFIX), "its state was refused")
        # An end of a job that was set aside is not stored, and is asked for again.
        for link, stored in acks if not refused else ():
            link.set_ack(stored)
        planned = [
            r for r in planned if STATE_PREFIX + r.task.step.job.id not in refused
        ]
        for job in jobs:
            if STATE_PREFIX + job.id in refused:
                continue
            if job.status.ended and not job.reported:
                job.reported = True
                self._note_job_end(job.id, job.status, job.accepted_at, job.queue.name)
        self._order_sender.start_runs(planned)

    def _note_job_end(
        self, job_id: str, status: JobStatus, accepted_at: float, queue: str
    ) -> None:
        took_s = boot_time() - accepted_at
        self._meters.record_duration("job", f"{queue} {status.name.lower()}", took_s)
        log(
            "job.ended", job=job_id, status=status.name.lower(), took_s=round(took_s, 3)
        )

    @property
    def newest_version(self) -> int:
        """The version of the newest record written in this term."""
        return state_version(self.fence, self._version_count)

    def _version(self) -> int:
        """Return the next state version, above those of all earlier leads."""
        self._version_count += 1
        return self.newest_version

    async def _append(self, records: Iterable[KeyedRecord]) -> set[str]:
        """Append records under this term's epoch, retrying until the store answers.

        :return: the keys of the records that the store refuses for good.
        :raises LogFencedError: if another lead has begun.
        """
        limits = self._instance.settings.store_limits
        fitting, refused = [], set()
        for record in records:
            if len(encode_keyed_record(record)) <= limits.record_bytes:
                fitting.append(record)
            else:
                refused.add(record.key)
        for chunk in split_records(fitting, limits.append_bytes):
            refused |= await self._append_chunk(chunk)
        for key in refused:
            log("lead.record_refused", level="error", key=key)
        return refused

    async def _append_chunk(self, chunk: list[KeyedRecord]) -> set[str]:
        """Append records at once, or in parts if the store refuses one of them.

        :return: the keys of the records that it refuses.
        """
        if not chunk:
            return set()
        try:
            partition, offset = await self._writer.append(
                [encode_keyed_record(r) for r in chunk]
            )
        except LogRecordRefusedError:
            if len(chunk) == 1:
                return {chunk[0].key}
            middle = len(chunk) // 2
            first = await self._append_chunk(chunk[:middle])
            return first | await self._append_chunk(chunk[middle:])
        event = RecordsAppended(partition, offset, tuple(chunk))
        self._instance.bus.publish(event)
        return set()

    async def _delete_keys(self, partition: int, keys: list[str]) -> bool:
        """Delete keys on one partition; return whether the store accepted it.

        :raises LogFencedError: if another lead has begun.
        """
        max_bytes = self._instance.settings.store_limits.append_bytes
        for chunk in split_records([KeyedRecord(key, None) for key in keys], max_bytes):
            offset = await self._writer.append_to(
                partition, [encode_keyed_record(r) for r in chunk]
            )
            if offset is None:
                return False
            event = RecordsAppended(partition, offset, tuple(chunk))
            self._instance.bus.publish(event)
        return True
