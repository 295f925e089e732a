"""The cell: jobs of tasks onto the workers of this zone."""

import asyncio
import contextlib
from typing import Any

import attrs
from aiohttp import web
from mode import Service

from firhook._web import json_response, principal, read_json
from firhook.decide.lease import DRIFT, not_after
from firhook.decide.limits import zone_parts
from firhook.decide.place import Need, Room, place, place_gang
from firhook.errors import (
    FirhookError,
    JobConflictError,
    JobImpossibleError,
    JobUnknownError,
    NotPermittedError,
    WorkerFencedError,
    WorkerUnreachableError,
)
from firhook.events import (
    Append,
    InstancesListed,
    LeadChanged,
    LeadView,
    RecordApplied,
    ServePeer,
)
from firhook.kernel import Role, register_role
from firhook.logs import log
from firhook.model import (
    Assigned,
    Assignment,
    Ended,
    Ending,
    Endpoint,
    JobAccepted,
    JobCancelled,
    JobInquiry,
    JobInquiryAnswer,
    Verdict,
    check_job,
    to_builtins,
)
from firhook.platform import Order, Report, StartOrder, StopOrder
from firhook.queries import CheckFresh

#: An order that is still on its way after so long is refused by its worker.
ORDER_TTL_S = 5.0
#: Assignments that go into one record.
MAX_BATCH = 200

_OUTCOMES = {"done": "done", "failed": "failed", "refused": "refused"}


@attrs.define(slots=True)
class WorkerView:
    """What the zone's lead knows of a worker.

    :ivar report: its last report, if one was read under this lead.
    :ivar read_at: when that was read, on this instance's clock.
    :ivar ordered_at: when the last order was sent, answered or not.
    """

    endpoint: Endpoint
    report: Report | None = None
    read_at: float = float("-inf")
    ordered_at: float = float("-inf")


@register_role("cell")
class Cell(Role):
    """Accepts jobs anywhere; places them where it holds the zone's lead."""

    def wire(self) -> None:
        """Offer the jobs' routes."""
        self._workers: dict[str, WorkerView] = {}
        self._listed: tuple[Endpoint, ...] = ()
        self._lead_since = float("inf")
        self._wake = asyncio.Event()
        self.kernel.routes["api"] += [
            web.post("/v1/jobs", self._post_job),
            web.get("/v1/jobs", self._list_jobs),
            web.get("/v1/jobs/{job_id}", self._get_job),
            web.delete("/v1/jobs/{job_id}", self._delete_job),
        ]
        self.bus.subscribe(InstancesListed, self._on_instances)
        self.bus.subscribe(RecordApplied, self._on_record)
        self.bus.subscribe(LeadChanged, self._on_lead)

    async def on_start(self) -> None:
        """Answer peers that ask for jobs of this zone."""
        self.bus.publish(ServePeer(JobInquiry, self._on_inquiry))

    # -- callers ---------------------------------------------------------

    async def _post_job(self, req: web.Request) -> web.Response:
        who = await principal(self.bus, req)
        if who.operator:
            raise NotPermittedError("submit a job with its team's key")
        await self.bus.ask(CheckFresh(idempotent=False))
        spec = check_job(await read_json(req), who.team)
        plan = self.states.config.plan_of(who.team)
        if plan is None:
            raise NotPermittedError(f"team {who.team!r} is not in the list")
        if spec.priority == "urgent" and not plan.urgent:
            raise NotPermittedError(f"plan {plan.name!r} has no urgent work")
        if spec.gang and spec.tasks > plan.limit:
            raise JobImpossibleError(
                f"a gang of {spec.tasks} is above the team's limit of {plan.limit}"
            )
        applied = await self.bus.ask(Append("cell", JobAccepted(spec, self.cfg.zone)))
        if applied.verdict is Verdict.CONFLICT:
            raise JobConflictError(f"job {spec.job_id!r} has another body")
        entry = self.states.cell.jobs[spec.key]
        return json_response({"job": spec.key, "zone": entry.zone}, status=202)

    async def _visible(self, req: web.Request) -> str:
        who = await principal(self.bus, req)
        team = req.query.get("team", who.team)
        if not who.operator and team != who.team:
            raise NotPermittedError(f"the key is not of team {team!r}")
        return team

    async def _list_jobs(self, req: web.Request) -> web.Response:
        team = await self._visible(req)
        jobs = [
            {**to_builtins(e.job), "zone": e.zone, "cancelled": e.cancelled}
            for e in self.states.cell.jobs.values()
            if not team or e.job.team == team
        ]
        return json_response({"jobs": jobs})

    def _key(self, team: str, job_id: str) -> str:
        key = f"{team}/{job_id}"
        if key not in self.states.cell.jobs:
            raise JobUnknownError(f"job {job_id!r} of team {team!r}")
        return key

    async def _get_job(self, req: web.Request) -> web.Response:
        team = await self._visible(req)
        key = self._key(team, req.match_info["job_id"])
        return json_response(self._view(key))

    def _view(self, key: str) -> dict[str, Any]:
        entry = self.states.cell.jobs[key]
        tasks = self.states.zone.tasks.get(key, {})
        return {
            **to_builtins(entry.job),
            "zone": entry.zone,
            "cancelled": entry.cancelled,
            "placed": {str(i): to_builtins(t) for i, t in sorted(tasks.items())},
            "steps": self.states.zone.notes.get(key, []),
        }

    async def _delete_job(self, req: web.Request) -> web.Response:
        team = await self._visible(req)
        key = self._key(team, req.match_info["job_id"])
        await self.bus.ask(Append("cell", JobCancelled((key,))))
        return json_response({"job": key, "cancelled": True}, status=202)

    async def _on_inquiry(self, ask: JobInquiry) -> JobInquiryAnswer:
        return JobInquiryAnswer(ask.job_id, "")

    # -- the zone's lead -------------------------------------------------

    def _on_instances(self, event: InstancesListed) -> None:
        self._listed = tuple(
            e for e in event.instances if e.kind == "worker" and e.zone == self.cfg.zone
        )

    def _on_record(self, event: RecordApplied) -> None:
        if event.stream == "cell" and isinstance(
            event.envelope.body, (JobAccepted, JobCancelled)
        ):
            self._wake.set()

    def _on_lead(self, event: LeadChanged) -> None:
        self._workers.clear()
        self._lead_since = self.kernel.clock() if event.held else float("inf")
        self._wake.set()

    @Service.task
    async def _lead_loop(self) -> None:
        while not self.should_stop:
            try:
                lead = await self.bus.ask(LeadView())
                if lead.held and not self.kernel.stopping:
                    await self._lead_step(lead.epoch)
            except FirhookError as exc:
                log("cell.step_failed", level="warning", code=exc.code)
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._wake.wait(), self.cfg.sync_s)
            self._wake.clear()

    async def _lead_step(self, epoch: int) -> None:
        for endpoint in self._listed:
            view = self._workers.setdefault(endpoint.name, WorkerView(endpoint))
            view.endpoint = endpoint
        self._count_tasks()
        await self._collect_ends(epoch)
        await self._place(epoch)
        await asyncio.gather(*(self._sync(v, epoch) for v in self._workers.values()))
        await self._collect_ends(epoch)
        self._count_tasks()

    def _count_tasks(self) -> None:
        counts: dict[str, int] = {}
        for key, tasks in self.states.zone.tasks.items():
            team = key.partition("/")[0]
            live = sum(t.live for t in tasks.values())
            counts[team] = counts.get(team, 0) + live
        self.kernel.grants.tasks = counts

    def _live_on(self, worker: str) -> list[tuple[str, int, Any]]:
        return [
            (key, index, task)
            for key, tasks in self.states.zone.tasks.items()
            for index, task in tasks.items()
            if task.live and task.worker == worker
        ]

    async def _sync(self, view: WorkerView, epoch: int) -> None:
        try:
            if view.report is None:
                report = await self.platform.workers.look(view.endpoint)
            else:
                order = await self._order(view, epoch)
                if order is None:
                    return
                view.ordered_at = self.kernel.clock()
                report = await self.platform.workers.sync(view.endpoint, order)
        except WorkerUnreachableError as exc:
            log("worker.unreachable", level="warning", code=exc.code)
            view.report = None
            return
        except WorkerFencedError as exc:
            log("worker.fenced", level="warning", code=exc.code, detail=exc.detail)
            return
        first = view.report is None
        view.report, view.read_at = report, self.kernel.clock()
        if first:
            self._wake.set()

    async def _order(self, view: WorkerView, epoch: int) -> Order | None:
        lead = await self.bus.ask(LeadView())
        if not lead.held or lead.epoch != epoch or view.report is None:
            return None
        now = self.kernel.clock()
        until = now + min(ORDER_TTL_S, lead.hold_left_s)
        known = {(t.job_id, t.index, t.attempt): t.state for t in view.report.tasks}
        start, stop, renew = [], [], []
        live = set()
        for key, index, task in self._live_on(view.endpoint.name):
            job = self.states.cell.jobs[key]
            ref = (key, index, task.attempt)
            live.add(ref)
            if job.cancelled:
                stop.append(StopOrder(key, index, task.attempt, "cancelled"))
            elif known.get(ref) == "running":
                renew.append(ref)
            elif ref not in known:
                start.append(_start_order(job.job, index, task))
        return Order(
            epoch=epoch,
            not_after=not_after(view.report.stamp, view.read_at, until),
            lease_s=self.cfg.task_lease_s,
            start=tuple(start),
            stop=tuple(stop),
            renew=tuple(renew),
            forget=tuple(ref for ref in known if ref not in live),
        )

    async def _collect_ends(self, epoch: int) -> None:
        endings = []
        now = self.kernel.clock()
        lapse_s = self.cfg.task_lease_s * (1 + DRIFT) + self.cfg.margin_s
        for view in self._workers.values():
            reported = {
                (t.job_id, t.index, t.attempt): t
                for t in (view.report.tasks if view.report else ())
            }
            # An order of the lead before may have renewed a task as late as
            # its hold went; one of this lead as late as its last order.
            last = max(
                view.ordered_at + ORDER_TTL_S, self._lead_since + self.cfg.hold_s
            )
            lapsed = view.report is None and now > last + lapse_s
            for key, index, task in self._live_on(view.endpoint.name):
                report = reported.get((key, index, task.attempt))
                if report is not None and report.state != "running":
                    endings.append(self._ending(key, index, task, report))
                elif lapsed:
                    endings.append(
                        Ending(key, index, task.attempt, "lost", "its lease lapsed")
                    )
        for i in range(0, len(endings), MAX_BATCH):
            batch = tuple(endings[i : i + MAX_BATCH])
            await self.bus.ask(Append(self._stream, Ended(epoch, batch)))

    def _ending(self, key: str, index: int, task: Any, report: Any) -> Ending:
        outcome = _OUTCOMES.get(report.state, "lost")
        if report.state == "stopped":
            job = self.states.cell.jobs[key]
            outcome = "cancelled" if job.cancelled else "lost"
        return Ending(key, index, task.attempt, outcome, report.reason, report.progress)

    @property
    def _stream(self) -> str:
        return f"zone.{self.cfg.zone}"

    def _rooms(self) -> list[Room]:
        rooms = []
        for view in self._workers.values():
            e = view.endpoint
            if view.report is None or e.leaving:
                continue
            room = Room(e.name, e.rack, e.cpus, e.memory_mb, e.accelerators)
            for key, _, _ in self._live_on(e.name):
                room.take(_need(self.states.cell.jobs[key].job))
            rooms.append(room)
        return rooms

    async def _place(self, epoch: int) -> None:
        rooms = self._rooms()
        items: list[Assignment] = []
        now = self.kernel.clock()
        used: dict[str, int] = {}
        for entry in self.states.cell.jobs_of(self.cfg.zone):
            if entry.cancelled:
                continue
            job = entry.job
            indexes = self._pending(job)
            if not indexes:
                continue
            part = self._part(job.team)
            free = self.kernel.grants.room_for_tasks(job.team, part, now)
            free -= used.get(job.team, 0)
            chosen = self._choose(job, indexes, rooms, free)
            used[job.team] = used.get(job.team, 0) + len(chosen)
            items += chosen
        for i in range(0, len(items), MAX_BATCH):
            batch = tuple(items[i : i + MAX_BATCH])
            await self.bus.ask(Append(self._stream, Assigned(epoch, batch)))

    def _part(self, team: str) -> int:
        plan = self.states.config.plan_of(team)
        if plan is None:
            return 0
        moved = self.states.cell.moved.get(team, {})
        return zone_parts(plan.limit, self.cfg.zones, moved)[self.cfg.zone]

    def _pending(self, job: Any) -> list[int]:
        tasks = self.states.zone.tasks.get(job.key, {})
        ended = {"done", "cancelled"} if job.priority != "service" else {"cancelled"}
        return [
            i
            for i in range(job.tasks)
            if i not in tasks or (tasks[i].outcome and tasks[i].outcome not in ended)
        ]

    def _choose(
        self, job: Any, indexes: list[int], rooms: list[Room], free: int
    ) -> list[Assignment]:
        need = _need(job)
        if job.gang:
            if free < len(indexes):
                return []
            chosen = place_gang(need, len(indexes), rooms) or []
        else:
            chosen = []
            for _ in indexes[: max(free, 0)]:
                room = place(need, rooms)
                if room is None:
                    break
                room.take(need)
                chosen.append(room)
        if job.gang:
            for room in chosen:
                room.take(need)
        return [
            self._assignment(job, index, room.worker)
            for index, room in zip(indexes, chosen, strict=False)
        ]

    def _assignment(self, job: Any, index: int, worker: str) -> Assignment:
        last = self.states.zone.tasks.get(job.key, {}).get(index)
        attempt = last.attempt + 1 if last else 1
        self.states.zone.note(job.key, f"task {index}: attempt {attempt} to {worker}")
        return Assignment(job.key, index, attempt, worker)


def _need(job: Any) -> Need:
    return Need(job.cpus, job.memory_mb, job.accelerators)


def _start_order(job: Any, index: int, task: Any) -> StartOrder:
    return StartOrder(
        job.key,
        index,
        task.attempt,
        job.cpus,
        job.memory_mb,
        job.accelerators,
        job.run_s,
        job.exclusive,
        task.progress,
        job.command,
    )
