"""One term of a lead: from the moment it took the cell until it gives it up."""

import asyncio
import contextlib
from collections.abc import Coroutine, Iterable
from typing import Any, Protocol

import attrs

from firhook.cell import (
    CellConfig,
    JobStatus,
    JobTable,
    JobView,
    LeadRecord,
    PollReply,
    Run,
    RunEnd,
    WorkerEntry,
)
from firhook.cell.records import (
    JOB_PREFIX,
    LEAD_KEY,
    STATE_PREFIX,
    encode_record,
    state_version,
)
from firhook.clock import boot_time, unix_time
from firhook.decide.seats import SeatPlan
from firhook.decide.speeds import SpeedBook
from firhook.decide.stalls import standing_still
from firhook.decide.tickets import TicketBook
from firhook.errors import (
    FirhookError,
    LogFencedError,
    LogSequenceError,
    RecordMalformedError,
)
from firhook.instance import Instance
from firhook.logs import log
from firhook.platform.store import KeyedRecord, encode_keyed
from firhook.services._advising import Advising
from firhook.services._batches import split_records
from firhook.services._events import (
    LEAD_PARTITIONS,
    CatchUp,
    HoldWhole,
    RecordsAppended,
    TermEnded,
)
from firhook.services._fenced_writer import FencedWriter
from firhook.services._forgetting import forget_old_jobs
from firhook.services._orders import Orders
from firhook.services._placing import PlaceRound, Placing
from firhook.services._worker_link import WorkerLink
from firhook.services._worker_list import WorkerList
from firhook.tasks import log_failure

#: Changes are gathered for so long before a round, so that ends which come
#: together are stored together.
_GATHER_S = 0.004
#: A round is held at least this often, for tickets that end and times that come.
_IDLE_S = 0.1
#: Between tries when the store does not take an append.
_RETRY_S = 0.05
#: The lead gives orders for so long after it sent the last append that the store
#: took.
PROOF_S = 0.75
#: Leases are renewed so long after the last proof.  A store that is down
#: takes the lead's proof of holding the cell away, but the tasks need not die
#: with it; a successor adds this time to every lease that may still hold.
RENEW_BLIND_S = 3.0
#: A lease that a predecessor gave lapses within its length of the predecessor's
#: last renewal, and some slack for clocks that run 2% slow.
_OLD_LEASE_FACTOR = 1.03
#: How often the lead looks whether it can still prove that it leads.
_PROVE_EVERY_S = 0.2
#: For each order and question of a term.
_NOTE_FAILURE = log_failure("term.task_failed")
#: A submission that is to hold is written as so much earlier than its rival.
_EARLIER_S = 0.001


class TermOwner(Protocol):
    """What a term needs of the service that stands for the lead.

    :ivar place: decides which waiting tasks start, and where.
    :ivar seat_plan: makes what keeps seats at the adviser for fast questions.
    """

    instance: Instance
    place: PlaceRound
    seat_plan: type[SeatPlan]

    def may_act(self) -> bool:
        """Return whether this instance leads, as far as it can know now."""

    def note_proof(self, sent_at: float) -> None:
        """Take note that the store took an append under the term's epoch."""

    def unproven_for(self) -> float:
        """Return how long ago the last append was sent that the store took."""

    def speak(self) -> None:
        """Tell the others that this instance leads."""


class Term:
    """Leads the cell.

    :param epoch: higher than that of any lead before; the epoch at the store
        and the fencing token at the workers.
    :ivar lost: whether another lead has been seen.
    :ivar lost_by: why it was lost, or empty.
    :ivar begun: whether the cell is taken over.
    :ivar doing: what the takeover waits for.
    """

    def __init__(self, lead: TermOwner, epoch: int) -> None:
        self.fence = epoch
        self.lost = False
        self.lost_by = ""
        self.begun = False
        self.doing = "epoch"
        self._lead = lead
        instance = lead.instance
        self._instance = instance
        self._store = instance.store
        self._replica = instance.replica
        self._meters = instance.meters
        self._bounds = instance.settings.bounds
        self.workers = instance.platform.workers(self.may_act)
        self.links: dict[str, WorkerLink] = {}
        self.tickets = TicketBook()
        self.speeds = SpeedBook()
        config = instance.config.config
        assert config is not None
        self.book = JobTable(config)
        self._known: set[str] = set()
        self._writer = FencedWriter(self._store, epoch, lead.note_proof)
        self._versions = 0
        self._settled: dict[str, frozenset[tuple[str, str]]] = {}
        self._submissions: list[KeyedRecord] = []
        self._wake = asyncio.Event()
        self._tasks: set[asyncio.Task[Any]] = set()
        advising = Advising(
            instance, self.tickets, lead.seat_plan(), self._spawn, self._wake.set
        )
        self._placing = Placing(
            self.book,
            self.links,
            self.speeds,
            self.tickets,
            advising,
            self._meters,
            lead.place,
        )
        self._link_tasks: dict[str, asyncio.Task[None]] = {}
        self._renew_until = 0.0
        self._paused_until = float("-inf")
        self._begun_at = boot_time()
        self._ready = False
        self._orders = Orders(
            self, self._bounds, self._meters, self._spawn, self._wake.set
        )

    # Life of a term.

    def begin(self) -> None:
        """Take the cell over."""
        self._spawn(self._run())

    async def end(self) -> None:
        """Stop at once; what was stored is the successor's."""
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
        task.add_done_callback(_NOTE_FAILURE)

    def may_act(self) -> bool:
        """Return whether orders may be given at this moment."""
        return not self.lost and self._lead.may_act()

    def may_renew(self) -> bool:
        """Return whether leases may be renewed."""
        now = boot_time()
        if self.may_act():
            self._renew_until = now + RENEW_BLIND_S
        return not self.lost and now < self._renew_until

    def give_up(self, reason: str, **fields: object) -> None:
        """Give no more orders: another instance leads, or is to."""
        self._lose(reason, level="info", **fields)

    def pause(self, for_s: float) -> None:
        """Write nothing for a while, so that a successor's claim holds."""
        self._paused_until = boot_time() + for_s

    @property
    def _paused(self) -> bool:
        return boot_time() < self._paused_until

    def on_fenced(self, worker: str) -> None:
        """Give up: a worker has seen the fencing token of another lead."""
        self._lose("fenced", worker=worker)

    async def _run(self) -> None:
        try:
            await self._take_over()
            await self._control()
        except (LogFencedError, LogSequenceError) as exc:
            self._lose("fenced", error=exc.code)
        except Exception as exc:
            self._lose("crashed", level="error", error=repr(exc))

    def _lose(self, reason: str, level: str = "warning", **fields: object) -> None:
        """Give no more orders in this term, and look at no worker any more.

        A worker that has seen a higher fencing token refuses all that follows
        with this one, and so would every further call be refused.
        """
        if self.lost:
            return
        self.lost, self.lost_by = True, reason
        log("lead.lost", level=level, epoch=self.fence, reason=reason, **fields)
        for task in self._link_tasks.values():
            task.cancel()

    async def _take_over(self) -> None:
        # From here on the store refuses what a lead before this one appends,
        # so that what is read next is all there is.
        await self._writer.set_epoch()
        self.doing = "log"
        while True:
            try:
                self.doing = "reading"
                await self._instance.bus.ask(HoldWhole())
                self.doing = "log"
                await self._instance.bus.ask(CatchUp(LEAD_PARTITIONS))
                break
            except FirhookError as exc:
                log("lead.catch_up_retry", level="debug", error=repr(exc))
                await asyncio.sleep(_RETRY_S)
        self.doing = "jobs"
        now, unix = boot_time(), unix_time()
        for job_id, job in list(self._replica.unfinished_jobs()):
            self._known.add(job_id)
            self._add_job(job_id, job, now, unix)
            self._settle_owner(job_id, job)
        # From here on changes are taken in as they are read.  Without a pause in
        # between: a job that is accepted in such a pause would be in neither.
        self._ready = True
        self.begun = True
        log(
            "lead.began",
            epoch=self.fence,
            jobs=len(self.book.jobs),
            runs=sum(len(r) for r in self.book.worker_runs.values()),
            took_ms=round((boot_time() - self._begun_at) * 1000, 1),
        )
        self._meters.time("takeover", "", boot_time() - self._begun_at)
        self._spawn(
            forget_old_jobs(
                self._replica, self._bounds.status_s, self._drop, self._known.discard
            )
        )
        self._spawn(self._keep_proving())
        self._spawn(WorkerList(self._store, self._on_worker).run())

    # What comes in.

    def on_job(self, job_id: str) -> None:
        """Take in a change of a job's records."""
        if not self._ready:
            return
        view = self._replica.jobs.get(job_id)
        if view is None or view.accepted is None:
            return
        contested = self._settle_owner(job_id, view)
        if job_id not in self._known:
            # A job that ended in this term is known as well.  Its last record
            # may not have been read back yet when a late repeat of its
            # submission is; it must not begin anew.
            self._known.add(job_id)
            if not view.status.ended or view.cancelled:
                self._add_job(job_id, view, boot_time(), unix_time())
        elif view.cancelled:
            self.book.cancel(job_id, unix_time())
        elif not contested:
            # The lead's own record of a state, read back: nothing to decide.
            return
        self._wake.set()

    def _add_job(self, job_id: str, view: JobView, now: float, unix: float) -> None:
        assert view.accepted is not None
        try:
            if view.accepted.is_digest:
                raise RecordMalformedError("accepted, but not what it runs")
            state = view.state.decode() if view.state else None
        except RecordMalformedError as exc:
            # Without its state it would be run from the start, beside what may
            # be running; left alone it harms nobody, and an operator is told.
            log("record.malformed", level="error", job=job_id, detail=exc.detail)
            return
        self.book.add(view.accepted, state, now, unix)
        if view.cancelled:
            self.book.cancel(job_id, unix)

    def _settle_owner(self, job_id: str, view: JobView) -> bool:
        """Have the submission that the lead took in hold; return if it was contested.

        Load: two client accounts submit one id at two instances, neither of which
        knows of the other's yet; both are appended.  Harm: the store keeps the
        newest record of a key only.  The first one's job, which may be running,
        would become the second one's, and the first be told that there is no such
        job.  Written again elsewhere as the earliest, it holds for all.
        """
        if not view.owners or view.owners == self._settled.get(job_id):
            return False
        self._settled[job_id] = view.owners
        job, shown = self.book.jobs.get(job_id), view.accepted
        assert shown is not None
        holder = job.accepted if job is not None else shown
        if holder.owner != shown.owner:
            earlier = min(holder.accepted_at, shown.accepted_at - _EARLIER_S)
            holder = attrs.evolve(holder, accepted_at=earlier)
        log("job.contested", level="warning", job=job_id, owners=len(view.owners))
        record = KeyedRecord(JOB_PREFIX + job_id, encode_record(holder))
        self._submissions.append(record)
        return True

    def on_config(self, config: CellConfig) -> None:
        """Go by another version of the configuration."""
        self.book.set_config(config)
        self._wake.set()

    def _on_worker(self, name: str, entry: WorkerEntry | None) -> None:
        link = self.links.get(name)
        now = boot_time()
        if entry is None:
            if link is not None and link.unlisted_at is None:
                link.unlisted_at = now
            return
        if link is None:
            lapse_at = self._old_leases_lapse_at()
            link = WorkerLink(self, entry, self._bounds.lease_s, lapse_at)
            self.links[name] = link
            self._link_tasks[name] = asyncio.create_task(link.run())
        if entry.draining and not link.entry.draining:
            self._on_draining(link, entry)
        link.entry, link.unlisted_at = entry, None

    def _on_draining(self, link: WorkerLink, entry: WorkerEntry) -> None:
        """Move what would not end before the worker leaves."""
        now = boot_time()
        runs = list(self.book.worker_runs.get(link.name, {}).values())
        log("worker.draining", worker=link.name, runs=len(runs), left=entry.leaves_in_s)
        for run in runs:
            if run.stored and run.remaining_s(now) > entry.leaves_in_s:
                self.book.stop(run, "worker_leaves")
        self._wake.set()

    def on_look(self, link: WorkerLink, look: PollReply, sent_at: float) -> None:
        """Take in what a worker lists."""
        now, unix = boot_time(), unix_time()
        strays = self.book.apply_poll_reply(link.name, look, sent_at, now, unix)
        for run, end in self.book.ended_runs:
            self._note_end(link, run, end, now)
        self.book.ended_runs.clear()
        link.has_strays = bool(strays)
        for task, number in strays:
            log("run.stray", worker=link.name, task=task, run=number)
            self._spawn(self.workers.stop(link.entry, task, number, self.fence))
        self._move_stalled(link, now)
        self._wake.set()

    def _move_stalled(self, link: WorkerLink, now: float) -> None:
        """Have what stands still on a worker run elsewhere."""
        runs = self.book.worker_runs.get(link.name, {})
        for run in standing_still(runs.values(), now):
            log(
                "run.stalled",
                level="warning",
                task=run.task.name,
                run=run.number,
                worker=link.name,
                percent=run.percent,
                still_s=round(now - run.percent_at, 2),
            )
            self.book.stop(run, "stalled")
            link.health.note_stall(now)

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
        if end is RunEnd.DONE:
            self.speeds.note(step.name, link.name, now - run.started_at)
        if step.remaining == 0:
            self.speeds.close(step.name)
        if link.health.note(step.job.id, end, now):
            log("worker.rests", level="warning", worker=link.name)

    def on_life(self, link: WorkerLink) -> None:
        """Forget what was known of a worker's last life."""
        self.speeds.forget(link.name)
        self._orders.stop_late_starts(link, boot_time())

    def on_dark(self, link: WorkerLink) -> None:
        """Take note that a worker stopped answering."""
        for run in list(self.book.worker_runs.get(link.name, {}).values()):
            others = (self.links.get(other.worker) for other in run.task.runs)
            if all(other is None or other.doubted for other in others):
                self.book.allow_duplicate(run.task)
        self._wake.set()

    # The control loop.

    async def _keep_proving(self) -> None:
        """Prove that this is the lead while it has nothing else to write.

        The record that is appended tells instances which hear nothing else of the
        lead, as when all connections between instances hang, that it is alive.
        """
        while not self.lost:
            await asyncio.sleep(_PROVE_EVERY_S)
            if self._lead.unproven_for() < _PROVE_EVERY_S or self._paused:
                continue
            try:
                record = encode_keyed(self._sign_of_life())
                # Told of first, the record does not pass for a sign of life of
                # the moment when it happens to be read.
                self._lead.speak()
                await self._writer.prove([record])
            except LogFencedError:
                self._lose("fenced")

    def _sign_of_life(self) -> KeyedRecord:
        """Return the record that tells who leads, and that it lives."""
        name, incarnation = self._instance.settings.name, self._instance.incarnation
        mine = LeadRecord(name, incarnation, self.fence, self._version())
        return KeyedRecord(LEAD_KEY, encode_record(mine))

    async def _control(self) -> None:
        while not self.lost:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(_IDLE_S):
                    await self._wake.wait()
            await asyncio.sleep(_GATHER_S)
            self._wake.clear()
            if self._paused:
                continue
            self.book.tick(boot_time(), unix_time())
            self._lapse_orphans()
            if self.may_act():
                self._placing.place(boot_time())
            else:
                self._placing.rest()
            self._placing.tell_waiting(boot_time())
            for run in self.book.take_to_stop():
                self._spawn(self._orders.stop(run))
            self._log_voided()
            await self._store_changes()

    def _log_voided(self) -> None:
        for run, reason in self.book.voided:
            self._meters.count("voided", reason)
            log(
                "run.void",
                task=run.task.name,
                run=run.number,
                worker=run.worker,
                reason=reason,
            )
        self.book.voided.clear()

    def _lapse_orphans(self) -> None:
        """Free what ran on workers that are not registered any more.

        A worker may be lost for good while the lead changes: its entry is gone
        before the new lead reads the list, so that no link watches it, and its
        tasks would wait for it for ever.  Their lease lapses like any other.
        """
        now = boot_time()
        if now < self._old_leases_lapse_at():
            return
        for name, runs in list(self.book.worker_runs.items()):
            if runs and name not in self.links:
                log("worker.lapsed", level="warning", worker=name, registered=False)
                self.book.expire_lease(name, now)

    def _old_leases_lapse_at(self) -> float:
        """Return when every lease has lapsed that a lead before this one gave."""
        longest_s = self._bounds.lease_s * _OLD_LEASE_FACTOR
        return self._begun_at + PROOF_S + RENEW_BLIND_S + longest_s

    async def _store_changes(self) -> None:
        planned = self.book.take_planned()
        jobs = self.book.take_dirty(boot_time())
        acks = [
            (link, link.processed)
            for link in self.links.values()
            if link.processed > link.ack
        ]
        submissions, self._submissions = self._submissions, []
        if submissions:
            await self._append(submissions)
        if jobs:
            began = boot_time()
            records = [
                KeyedRecord(
                    STATE_PREFIX + job.id, encode_record(job.to_state(self._version()))
                )
                for job in jobs
            ]
            await self._append(records)
            self._meters.time("store_state", "", boot_time() - began)
        for link, number in acks:
            link.set_ack(number)
        for job in jobs:
            if job.status.ended and not job.reported:
                job.reported = True
                self._note_job_end(job.id, job.status, job.accepted_at, job.queue.name)
        self._orders.begin(planned)

    def _note_job_end(
        self, job_id: str, status: JobStatus, accepted_at: float, queue: str
    ) -> None:
        took_s = boot_time() - accepted_at
        self._meters.time("job", f"{queue} {status.name.lower()}", took_s)
        log(
            "job.ended", job=job_id, status=status.name.lower(), took_s=round(took_s, 3)
        )

    @property
    def newest_version(self) -> int:
        """The version of the newest record that was written in this term."""
        return state_version(self.fence, self._versions)

    def _version(self) -> int:
        """Return the next version of a state, above that of every lead before."""
        self._versions += 1
        return self.newest_version

    async def _append(self, records: Iterable[KeyedRecord]) -> None:
        """Append records under this term's epoch, until an answer comes.

        :raises LogFencedError: if another lead has begun.
        """
        most = self._instance.settings.store_limits.append_bytes
        for chunk in split_records(list(records), most):
            partition, offset = await self._writer.append(
                [encode_keyed(r) for r in chunk]
            )
            event = RecordsAppended(partition, offset, tuple(chunk))
            self._instance.bus.publish(event)

    async def _drop(self, partition: int, keys: list[str]) -> bool:
        """Drop keys on one partition; return whether the store took it.

        :raises LogFencedError: if another lead has begun.
        """
        most = self._instance.settings.store_limits.append_bytes
        for chunk in split_records([KeyedRecord(key, None) for key in keys], most):
            offset = await self._writer.append_to(
                partition, [encode_keyed(r) for r in chunk]
            )
            if offset is None:
                return False
            event = RecordsAppended(partition, offset, tuple(chunk))
            self._instance.bus.publish(event)
        return True
