"""The loops of a zone's lead: it logs what was decided, and talks to workers."""

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

#: Records of a round are split into batches of about so many tasks, so that
#: one lost answer leaves little in doubt.
MAX_BATCH = 200
#: Rounds come at most so often; what arrives meanwhile shares one record.
ROUND_S = 0.05
#: How often the workers are gone through for orders that are due.
_TALK_S = 0.1


class ZoneLead(Service):
    """Places jobs while this instance holds its zone's lead."""

    def __init__(self, kernel: Kernel) -> None:
        super().__init__()
        self.kernel = kernel
        self.cfg = kernel.cfg
        self._states = kernel.states
        self._listed: tuple[Endpoint, ...] = ()
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
        self._talk_due = asyncio.Event()
        self._eager: set[str] = set()
        self._planned: dict[str, int] = {}
        self._spoke_at: dict[str, float] = {}
        self._talking: dict[str, asyncio.Task[None]] = {}
        self._lead_read_at: float | None = None
        self._before = float("inf")
        bus = kernel.bus
        bus.subscribe(InstancesListed, self._on_instances)
        bus.subscribe(RecordApplied, self._on_record)
        bus.subscribe(StreamRebuilt, self._on_rebuilt)
        bus.subscribe(LeadChanged, lambda _: self._wake())

    def _new_scheduler(self) -> Scheduler:
        states = self._states
        return Scheduler(states.zone, states.cell, states.config)

    def _wake(self) -> None:
        self._round_due.set()
        self._talk_due.set()

    @property
    def _stream(self) -> str:
        return f"zone.{self.cfg.zone}"

    # -- what is heard ---------------------------------------------------------

    def _on_instances(self, event: InstancesListed) -> None:
        listed = tuple(
            e for e in event.instances if e.kind == "worker" and e.zone == self.cfg.zone
        )
        if listed != self._listed:
            self._listed = listed
            self._wake()

    def _on_rebuilt(self, event: StreamRebuilt) -> None:
        self._scheduler.invalidate()
        if event.stream == "cell":
            # What the snapshot holds may have been recorded a moment ago.
            self._lead_read_at = self.kernel.clock()

    def _on_record(self, event: RecordApplied) -> None:
        body = event.envelope.body
        if event.stream == "cell":
            self._note_lead(event)
            if isinstance(body, (JobAccepted, JobCancelled, JobsAdopted)):
                self._wake()
        elif event.stream == self._stream and isinstance(body, (Assigned, Ended)):
            self._eager |= self._states.zone.changed_workers
            self._count_tasks()
            self._wake()

    def _note_lead(self, event: RecordApplied) -> None:
        """Note when the zone's last lead was last heard of on the log.

        Its hold counts from before it sent that record, and so is over a
        known time after the record was read here.
        """
        body = event.envelope.body
        if not isinstance(body, (LeadClaimed, LeadRenewed, LeadReleased)):
            return
        if body.zone != self.cfg.zone or event.verdict is not Verdict.APPLIED:
            return
        now = self.kernel.clock()
        if isinstance(body, LeadClaimed):
            last = self._lead_read_at if self._lead_read_at is not None else now
            self._before = float("-inf") if body.epoch == 1 else last
        self._lead_read_at = now

    # -- the two loops -----------------------------------------------------------

    async def _current(self) -> tuple[Lead, LeadTerm | None]:
        """Return the lead as this instance sees it, and its term if it is ours."""
        lead = await self.kernel.bus.ask(LeadView())
        if lead.instance != self.kernel.lane:
            self._term = None
        elif self._term is None or self._term.epoch != lead.epoch:
            states = self._states
            self._term = LeadTerm(
                lead.epoch, states.zone, states.cell, self._timing, self._before
            )
            self._scheduler = self._new_scheduler()
        if self._term is not None:
            self._term.update_workers(self._listed)
        return lead, self._term

    @Service.task
    async def _round_loop(self) -> None:
        while not self.should_stop:
            try:
                lead, term = await self._current()
                if term is not None and lead.held and not self.kernel.stopping:
                    await self._round(term)
            except FirhookError as exc:
                log("cell.round_failed", level="warning", code=exc.code)
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._round_due.wait(), self.cfg.sync_s / 2)
            self._round_due.clear()
            await self.sleep(ROUND_S)

    @Service.task
    async def _talk_loop(self) -> None:
        while not self.should_stop:
            lead, term = await self._current()
            if term is not None:
                self._talk_to_due(lead, term)
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._talk_due.wait(), _TALK_S)
            self._talk_due.clear()

    async def on_stop(self) -> None:
        """Wait for orders on their way, so that no answer is cut."""
        if self._talking:
            await asyncio.wait(self._talking.values(), timeout=self.cfg.margin_s)

    # -- rounds: what is logged ----------------------------------------------------

    async def _round(self, term: LeadTerm) -> None:
        if not term.settled:
            await self._settle(term)
        self._planned.clear()
        self._count_tasks()
        await self._log_endings(term)
        self._scheduler.mark_stops(term, self._parts(), self.kernel.clock())
        items, notes = self._scheduler.plan(
            term, self._left(), self.kernel.clock(), time.time()
        )
        self.kernel.grants.keep_set_aside(
            Counter(i.job_id.partition("/")[0] for i in items)
        )
        if term.stopping:
            self._eager |= {w for w, r, _ in self._attempts() if r in term.stopping}
            self._talk_due.set()
        await self._log_assigned(term, items)
        await self._log_rest(term, notes)
        await self._adopter.step(term.epoch, self._timing)

    def _count_tasks(self) -> None:
        """Tell the book of grants what runs, or may once its record lands.

        Between a round's decision and the reading of its record the book goes
        on lending to requests.  Room that it lent again meanwhile would take
        the team above its limit.
        """
        counts = dict(self._states.zone.running)
        for team, count in self._planned.items():
            counts[team] = counts.get(team, 0) + count
        self.kernel.grants.tasks = counts

    def _attempts(self) -> Iterable[Any]:
        return self._states.zone.live_attempts()

    async def _settle(self, term: LeadTerm) -> None:
        """Append the term's first record, or one that settles a lost outcome."""
        body = ZoneFenced(term.epoch, self.kernel.lane)
        applied = await self.kernel.bus.ask(Append(self._stream, body, urgent=True))
        term.settled = applied.verdict is Verdict.APPLIED
        log("cell.settled", epoch=term.epoch, verdict=applied.verdict.value)

    async def _append(self, term: LeadTerm, body: Any) -> None:
        """Append to the zone's stream.

        If its outcome stays unknown, what it assigned may land after the next
        round has given the same room away.  Nothing is placed again until a
        later record of ours was read back, which it can then only precede.
        """
        try:
            await self.kernel.bus.ask(Append(self._stream, body))
        except FirhookError:
            term.settled = False
            raise

    async def _log_endings(self, term: LeadTerm) -> None:
        now = self.kernel.clock()
        endings = term.endings(now)
        for i in range(0, len(endings), MAX_BATCH):
            batch = endings[i : i + MAX_BATCH]
            await self._append(term, Ended(term.epoch, batch))
            self._scheduler.endings.record(batch, now)
            for mark in self._scheduler.endings.worker_marks(batch, now):
                log("worker.marked", worker=mark.worker, mark=mark.mark)
                await self._append(term, mark)

    async def _log_assigned(self, term: LeadTerm, items: Sequence[Assignment]) -> None:
        for item in items:
            team = item.job_id.partition("/")[0]
            self._planned[team] = self._planned.get(team, 0) + 1
        self._count_tasks()
        for batch in batches(items):
            await self._append(term, Assigned(term.epoch, tuple(batch)))
        self._planned.clear()
        self._count_tasks()

    async def _log_rest(self, term: LeadTerm, notes: tuple[JobNote, ...]) -> None:
        """Append what no start waits for, together."""
        waits = []
        ended = self._scheduler.endings.ended_jobs()
        if ended:
            body = JobsEnded(self.cfg.zone, term.epoch, ended)
            waits.append(self.kernel.bus.ask(Append("cell", body)))
        if notes:
            waits.append(self._append(term, JobsNoted(notes)))
        closed = self._scheduler.endings.closable_jobs(self.kernel.clock())
        if closed:
            waits.append(self._append(term, JobsClosed(term.epoch, closed)))
        for result in await asyncio.gather(*waits, return_exceptions=True):
            if isinstance(result, BaseException):
                raise result

    def _parts(self) -> dict[str, int]:
        return {team: self._part(team) for team in self._states.zone.running}

    def _part(self, team: str) -> int:
        plan = self._states.config.plan_of(team)
        if plan is None:
            return 0
        moved = self._states.cell.moved.get(team, {})
        return zone_parts(plan.limit, self.cfg.zones, moved)[self.cfg.zone]

    def _left(self) -> dict[str, int]:
        now = self.kernel.clock()
        teams = {e.job.team for e in self._states.cell.open_jobs(self.cfg.zone)}
        room = self.kernel.grants.set_aside_for_tasks
        return {team: room(team, self._part(team), now) for team in teams}

    # -- orders: what is said to workers ---------------------------------------------

    def _talk_to_due(self, lead: Lead, term: LeadTerm) -> None:
        now = self.kernel.clock()
        for name in list(term.workers):
            if name in self._talking:
                continue
            due = now >= self._spoke_at.get(name, float("-inf")) + self.cfg.sync_s
            if due or name in self._eager:
                self._eager.discard(name)
                self._spoke_at[name] = now
                task = asyncio.create_task(self._talk(term, name))
                self._talking[name] = task
                task.add_done_callback(lambda _, name=name: self._talking.pop(name))
                task.add_done_callback(log_failure("worker.talk_failed", worker=name))

    async def _talk(self, term: LeadTerm, name: str) -> None:
        view = term.workers.get(name)
        if view is None or view.endpoint is None:
            return
        workers = self.kernel.platform.workers
        try:
            if view.report is None:
                report = await workers.poll(view.endpoint)
                self._eager.add(name)
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
        if any(task.state != "running" for task in report.tasks) or name in self._eager:
            self._wake()

    def _order(self, term: LeadTerm, name: str, lead: Lead) -> Any:
        if lead.epoch != term.epoch or lead.instance != self.kernel.lane:
            return None
        standing = LeaseStatus(lead.held, lead.lease_left_s, lead.hold_left_s)
        return term.next_order(name, standing, self.kernel.clock())


def batches(items: Sequence[Assignment]) -> list[list[Assignment]]:
    """Split assignments into batches, each job's whole in one.

    A gang in two records would be left half placed by a death between them.
    """
    found: list[list[Assignment]] = [[]]
    by_job: dict[str, list[Assignment]] = {}
    for item in items:
        by_job.setdefault(item.job_id, []).append(item)
    for group in by_job.values():
        if found[-1] and len(found[-1]) + len(group) > MAX_BATCH:
            found.append([])
        found[-1] += group
    return [batch for batch in found if batch]
