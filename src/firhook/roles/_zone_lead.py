"""The zone lead's loops: append decisions to the log, and poll the workers."""

import asyncio
import contextlib
import time
from collections import Counter
from collections.abc import Iterable, Sequence
from typing import Any

from mode import Service

from firhook.decide.limits import zone_parts
from firhook.decide.orders import LeadTerm, LeaseStatus, Timing
from firhook.decide.rounds import Scheduler
from firhook.errors import FirhookError, WorkerFencedError, WorkerUnreachableError
from firhook.events import (
    Append,
    InstancesListed,
    Lead,
    LeadChanged,
    LeadView,
    RecordApplied,
    StreamRebuilt,
)
from firhook.kernel import Kernel
from firhook.logs import log
from firhook.model import (
    Assigned,
    Assignment,
    Ended,
    Endpoint,
    JobAccepted,
    JobCancelled,
    JobNote,
    JobsAdopted,
    JobsClosed,
    JobsEnded,
    JobsNoted,
    LeadClaimed,
    LeadReleased,
    LeadRenewed,
    Verdict,
    ZoneFenced,
)
from firhook.roles._adopter import Adopter
from firhook.tasks import log_failure

#: Approximate number of tasks in one record.  A round is split into records of
#: this size, so that one lost answer leaves few tasks with an unknown outcome.
MAX_BATCH_TASKS = 200
#: Minimum time between two rounds.  Changes that arrive meanwhile share a record.
MIN_ROUND_INTERVAL_S = 0.05
#: How often to check which workers are due for a poll.
_POLL_CHECK_INTERVAL_S = 0.1


class ZoneLead(Service):
    """Places jobs while this instance holds its zone's lead."""

    def __init__(self, kernel: Kernel) -> None:
        super().__init__()
        self.kernel = kernel
        self.cfg = kernel.cfg
        self._states = kernel.states
        self._listed_workers: tuple[Endpoint, ...] = ()
        self._timing = Timing(
            kernel.cfg.task_lease_s,
            kernel.cfg.hold_s,
            kernel.cfg.margin_s,
            kernel.cfg.sync_s,
        )
        self._adopter = Adopter(kernel)
        self._term: LeadTerm | None = None
        self._scheduler = self._new_scheduler()
        self._round_due = asyncio.Event()
        self._poll_due = asyncio.Event()
        self._urgent_polls: set[str] = set()
        self._unread_starts: dict[str, int] = {}
        self._polled_at: dict[str, float] = {}
        self._open_polls: dict[str, asyncio.Task[None]] = {}
        self._lead_read_at: float | None = None
        self._previous_lead_read_at = float("inf")
        bus = kernel.bus
        bus.subscribe(InstancesListed, self._on_instances)
        bus.subscribe(RecordApplied, self._on_record)
        bus.subscribe(StreamRebuilt, self._on_rebuilt)
        bus.subscribe(LeadChanged, lambda _: self._wake_loops())

    def _new_scheduler(self) -> Scheduler:
        states = self._states
        return Scheduler(states.zone, states.cell, states.config)

    def _wake_loops(self) -> None:
        self._round_due.set()
        self._poll_due.set()

    @property
    def _stream(self) -> str:
        return f"zone.{self.cfg.zone}"

    # -- events ----------------------------------------------------------------

    def _on_instances(self, event: InstancesListed) -> None:
        workers = tuple(
            e for e in event.instances if e.kind == "worker" and e.zone == self.cfg.zone
        )
        if workers != self._listed_workers:
            self._listed_workers = workers
            self._wake_loops()

    def _on_rebuilt(self, event: StreamRebuilt) -> None:
        self._scheduler.invalidate()
        if event.stream == "cell":
            # The snapshot may include a lead record from a moment ago.
            self._lead_read_at = self.kernel.clock()

    def _on_record(self, event: RecordApplied) -> None:
        body = event.envelope.body
        if event.stream == "cell":
            self._on_lead_record(event)
            if isinstance(body, (JobAccepted, JobCancelled, JobsAdopted)):
                self._wake_loops()
        elif event.stream == self._stream and isinstance(body, (Assigned, Ended)):
            self._urgent_polls |= self._states.zone.changed_workers
            self._update_task_counts()
            self._wake_loops()

    def _on_lead_record(self, event: RecordApplied) -> None:
        """Record when the zone lead's latest record was read from the log.

        The hold is the time in which a lead keeps renewing tasks.  The lead
        counts it from before it sent the record, so the hold has certainly ended
        once that time has passed since the record was read.
        """
        body = event.envelope.body
        if not isinstance(body, (LeadClaimed, LeadRenewed, LeadReleased)):
            return
        if body.zone != self.cfg.zone or event.verdict is not Verdict.APPLIED:
            return
        now = self.kernel.clock()
        if isinstance(body, LeadClaimed):
            last = self._lead_read_at if self._lead_read_at is not None else now
            self._previous_lead_read_at = float("-inf") if body.epoch == 1 else last
        self._lead_read_at = now

    # -- loops -------------------------------------------------------------------

    async def _current_term(self) -> tuple[Lead, LeadTerm | None]:
        """Return the current lead, and its term if this instance is the lead."""
        lead = await self.kernel.bus.ask(LeadView())
        if lead.instance != self.kernel.lane:
            self._term = None
        elif self._term is None or self._term.epoch != lead.epoch:
            states = self._states
            self._term = LeadTerm(
                lead.epoch,
                states.zone,
                states.cell,
                self._timing,
                self._previous_lead_read_at,
            )
            self._scheduler = self._new_scheduler()
        if self._term is not None:
            self._term.update_workers(self._listed_workers)
        return lead, self._term

    @Service.task
    async def _round_loop(self) -> None:
        while not self.should_stop:
            try:
                lead, term = await self._current_term()
                if term is not None and lead.held and not self.kernel.stopping:
                    await self._round(term)
            except FirhookError as exc:
                log("cell.round_failed", level="warning", code=exc.code)
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._round_due.wait(), self.cfg.sync_s / 2)
            self._round_due.clear()
            await self.sleep(MIN_ROUND_INTERVAL_S)

    @Service.task
    async def _poll_loop(self) -> None:
        while not self.should_stop:
            lead, term = await self._current_term()
            if term is not None:
                self._poll_due_workers(lead, term)
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._poll_due.wait(), _POLL_CHECK_INTERVAL_S)
            self._poll_due.clear()

    async def on_stop(self) -> None:
        """Wait for open polls, so that no worker's reply is lost."""
        if self._open_polls:
            await asyncio.wait(self._open_polls.values(), timeout=self.cfg.margin_s)

    # -- rounds: decisions for the log ---------------------------------------------

    async def _round(self, term: LeadTerm) -> None:
        if not term.settled:
            await self._append_fence(term)
        self._unread_starts.clear()
        self._update_task_counts()
        await self._append_endings(term)
        self._scheduler.mark_stops(term, self._zone_limits(), self.kernel.clock())
        items, notes = self._scheduler.plan(
            term, self._task_headroom(), self.kernel.clock(), time.time()
        )
        self.kernel.grants.keep_set_aside(
            Counter(i.job_id.partition("/")[0] for i in items)
        )
        if term.stopping:
            self._urgent_polls |= {
                w for w, r, _ in self._live_attempts() if r in term.stopping
            }
            self._poll_due.set()
        await self._append_assignments(term, items)
        await self._append_remaining(term, notes)
        await self._adopter.step(term.epoch, self._timing)

    def _update_task_counts(self) -> None:
        """Update the grant table with tasks that run or whose start is unread.

        The grant table lends capacity to requests also between a round's
        decision and the reading of its record.  Lending the capacity of those
        tasks again would take the team above its limit.
        """
        counts = dict(self._states.zone.running)
        for team, count in self._unread_starts.items():
            counts[team] = counts.get(team, 0) + count
        self.kernel.grants.tasks = counts

    def _live_attempts(self) -> Iterable[Any]:
        return self._states.zone.live_attempts()

    async def _append_fence(self, term: LeadTerm) -> None:
        """Append the term's first record, or a fence after an unknown outcome."""
        body = ZoneFenced(term.epoch, self.kernel.lane)
        applied = await self.kernel.bus.ask(Append(self._stream, body, urgent=True))
        term.settled = applied.verdict is Verdict.APPLIED
        log("cell.settled", epoch=term.epoch, verdict=applied.verdict.value)

    async def _append(self, term: LeadTerm, body: Any) -> None:
        """Append to the zone's stream.

        An append with an unknown outcome may still land after the next round
        has assigned the same capacity.  Therefore nothing is placed until a
        later record of this instance was read back: the doubtful record can
        only precede it.
        """
        try:
            await self.kernel.bus.ask(Append(self._stream, body))
        except FirhookError:
            term.settled = False
            raise

    async def _append_endings(self, term: LeadTerm) -> None:
        now = self.kernel.clock()
        endings = term.endings(now)
        for i in range(0, len(endings), MAX_BATCH_TASKS):
            batch = endings[i : i + MAX_BATCH_TASKS]
            await self._append(term, Ended(term.epoch, batch))
            self._scheduler.endings.record(batch, now)
            for mark in self._scheduler.endings.worker_marks(batch, now):
                log("worker.marked", worker=mark.worker, mark=mark.mark)
                await self._append(term, mark)

    async def _append_assignments(
        self, term: LeadTerm, items: Sequence[Assignment]
    ) -> None:
        for item in items:
            team = item.job_id.partition("/")[0]
            self._unread_starts[team] = self._unread_starts.get(team, 0) + 1
        self._update_task_counts()
        for batch in split_into_batches(items):
            await self._append(term, Assigned(term.epoch, tuple(batch)))
        self._unread_starts.clear()
        self._update_task_counts()

    async def _append_remaining(
        self, term: LeadTerm, notes: tuple[JobNote, ...]
    ) -> None:
        """Append concurrently the records on which no start depends."""
        appends = []
        ended = self._scheduler.endings.ended_jobs()
        if ended:
            body = JobsEnded(self.cfg.zone, term.epoch, ended)
            appends.append(self.kernel.bus.ask(Append("cell", body)))
        if notes:
            appends.append(self._append(term, JobsNoted(notes)))
        closed = self._scheduler.endings.closable_jobs(self.kernel.clock())
        if closed:
            appends.append(self._append(term, JobsClosed(term.epoch, closed)))
        for result in await asyncio.gather(*appends, return_exceptions=True):
            if isinstance(result, BaseException):
                raise result

    def _zone_limits(self) -> dict[str, int]:
        return {team: self._zone_limit(team) for team in self._states.zone.running}

    def _zone_limit(self, team: str) -> int:
        plan = self._states.config.plan_of(team)
        if plan is None:
            return 0
        moved = self._states.cell.moved.get(team, {})
        return zone_parts(plan.limit, self.cfg.zones, moved)[self.cfg.zone]

    def _task_headroom(self) -> dict[str, int]:
        now = self.kernel.clock()
        teams = {e.job.team for e in self._states.cell.open_jobs(self.cfg.zone)}
        headroom = self.kernel.grants.set_aside_for_tasks
        return {team: headroom(team, self._zone_limit(team), now) for team in teams}

    # -- polls and orders ------------------------------------------------------------

    def _poll_due_workers(self, lead: Lead, term: LeadTerm) -> None:
        now = self.kernel.clock()
        for name in list(term.workers):
            if name in self._open_polls:
                continue
            due = now >= self._polled_at.get(name, float("-inf")) + self.cfg.sync_s
            if due or name in self._urgent_polls:
                self._urgent_polls.discard(name)
                self._polled_at[name] = now
                task = asyncio.create_task(self._poll_worker(term, name))
                self._open_polls[name] = task
                task.add_done_callback(lambda _, name=name: self._open_polls.pop(name))
                task.add_done_callback(log_failure("worker.talk_failed", worker=name))

    async def _poll_worker(self, term: LeadTerm, name: str) -> None:
        view = term.workers.get(name)
        if view is None or view.endpoint is None:
            return
        workers = self.kernel.platform.workers
        try:
            if view.report is None:
                report = await workers.poll(view.endpoint)
                self._urgent_polls.add(name)
            else:
                lead = await self.kernel.bus.ask(LeadView())
                order = self._order(term, name, lead)
                if order is None:
                    return
                report = await workers.send_order(view.endpoint, order)
        except (WorkerUnreachableError, WorkerFencedError) as exc:
            log("worker.silent", level="warning", worker=name, code=exc.code)
            term.note_unreachable(name)
            return
        term.note_report(name, report, self.kernel.clock())
        if (
            any(task.state != "running" for task in report.tasks)
            or name in self._urgent_polls
        ):
            self._wake_loops()

    def _order(self, term: LeadTerm, name: str, lead: Lead) -> Any:
        if lead.epoch != term.epoch or lead.instance != self.kernel.lane:
            return None
        lease_status = LeaseStatus(lead.held, lead.lease_left_s, lead.hold_left_s)
        return term.next_order(name, lease_status, self.kernel.clock())


def split_into_batches(items: Sequence[Assignment]) -> list[list[Assignment]]:
    """Split assignments into batches without splitting any job.

    If a gang were split over two records and the lead died between them, the
    gang would be left partly placed.
    """
    batches: list[list[Assignment]] = [[]]
    by_job: dict[str, list[Assignment]] = {}
    for item in items:
        by_job.setdefault(item.job_id, []).append(item)
    for group in by_job.values():
        if batches[-1] and len(batches[-1]) + len(group) > MAX_BATCH_TASKS:
            batches.append([])
        batches[-1] += group
    return [batch for batch in batches if batch]
