"""The cell: jobs as callers see them, and the zone's lead beside it."""

import time
from typing import Any

import msgspec
from aiohttp import web

from firhook._principal import principal
from firhook._web import json_response, read_json
from firhook.decide.place import ResourceNeed, WorkerCapacity
from firhook.errors import (
    FirhookError,
    JobConflictError,
    JobImpossibleError,
    JobUnknownError,
    NotPermittedError,
)
from firhook.events import Append, AskPeer, InstancesListed, RegisterPeerHandler
from firhook.kernel import Role, register_role
from firhook.model import (
    Endpoint,
    JobAccepted,
    JobCancelled,
    JobInquiry,
    JobInquiryAnswer,
    JobSpec,
    Plan,
    Verdict,
    check_job,
    to_builtins,
)
from firhook.queries import CheckFresh
from firhook.roles._fold import Folder
from firhook.roles._zone_lead import ZoneLead


@register_role("cell")
class Cell(Role):
    """Accepts jobs anywhere; its zone's lead places them."""

    def register_handlers(self) -> None:
        """Offer the jobs' routes."""
        self._workers: tuple[Endpoint, ...] = ()
        self._lead = ZoneLead(self.kernel)
        self._cancels = Folder(self._append_cancels)
        self.kernel.routes["api"] += [
            web.post("/v1/jobs", self._post_job),
            web.get("/v1/jobs", self._list_jobs),
            web.get("/v1/jobs/{job_id}", self._get_job),
            web.delete("/v1/jobs/{job_id}", self._delete_job),
        ]
        self.bus.subscribe(InstancesListed, self._on_instances)

    def on_init_dependencies(self) -> list[Any]:
        """Return the loops of the zone's lead."""
        return [self._lead]

    async def on_start(self) -> None:
        """Answer peers that ask for jobs of this zone."""
        self.bus.publish(RegisterPeerHandler(JobInquiry, self._on_inquiry))

    def _on_instances(self, event: InstancesListed) -> None:
        self._workers = tuple(e for e in event.instances if e.kind == "worker")

    # -- submitting ------------------------------------------------------------

    async def _post_job(self, req: web.Request) -> web.Response:
        who = await principal(self.bus, req)
        if who.is_operator:
            raise NotPermittedError("submit a job with its team's key")
        await self.bus.ask(CheckFresh(idempotent=False))
        spec = check_job(await read_json(req), who.team)
        plan = self.states.config.plan_of(who.team)
        if plan is None:
            raise NotPermittedError(f"team {who.team!r} is not in the list")
        check_possible(spec, plan)
        zone = choose_zone(spec, self._workers, self.cfg.zone)
        body = JobAccepted(spec, zone, round(time.time(), 3))
        applied = await self.bus.ask(Append("cell", body))
        if applied.verdict is Verdict.CONFLICT:
            raise JobConflictError(f"job {spec.job_id!r} has another body")
        entry = self.states.cell.jobs.get(spec.key)
        answer = {"job": spec.key, "zone": entry.zone if entry else ""}
        return json_response(answer, status=202)

    # -- looking ----------------------------------------------------------------

    async def _visible(self, req: web.Request) -> str:
        who = await principal(self.bus, req)
        team = req.query.get("team", who.team)
        if not who.is_operator and team != who.team:
            raise NotPermittedError(f"the key is not of team {team!r}")
        return team

    async def _list_jobs(self, req: web.Request) -> web.Response:
        team = await self._visible(req)
        jobs = [
            {
                **to_builtins(e.job),
                "zone": e.zone,
                "cancelled": e.cancelled,
                "ended": e.ended,
            }
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
        zone = self.states.cell.jobs[key].zone
        if zone != self.cfg.zone:
            return json_response(await self._far_view(key, zone))
        return json_response(self._view(key))

    def _view(self, key: str) -> dict[str, Any]:
        entry = self.states.cell.jobs[key]
        tasks = self.states.zone.tasks.get(key, {})
        return {
            **to_builtins(entry.job),
            "zone": entry.zone,
            "cancelled": entry.cancelled,
            "ended": entry.ended,
            "placed": {str(i): to_builtins(t) for i, t in sorted(tasks.items())},
            "steps": self.states.zone.notes.get(key, []),
        }

    async def _far_view(self, key: str, zone: str) -> dict[str, Any]:
        """Return the view of the zone that places the job.

        If nobody there answers, what is known here is told, and so is that
        the rest is not.
        """
        peer = self.states.cell.leads[zone].instance.partition("#")[0]
        try:
            answer = await self.bus.ask(AskPeer(peer, JobInquiry(key)))
            view = msgspec.json.decode(answer.view)
        except (FirhookError, msgspec.MsgspecError, AttributeError):
            view = self._view(key)
            view["steps"] = [f"zone {zone} does not answer: ask again later"]
        return view

    async def _on_inquiry(self, ask: JobInquiry) -> JobInquiryAnswer:
        if ask.job_id not in self.states.cell.jobs:
            raise JobUnknownError(f"job {ask.job_id!r}")
        view = msgspec.json.encode(self._view(ask.job_id)).decode()
        return JobInquiryAnswer(ask.job_id, view)

    # -- cancelling ----------------------------------------------------------------

    async def _delete_job(self, req: web.Request) -> web.Response:
        team = await self._visible(req)
        key = self._key(team, req.match_info["job_id"])
        await self._cancels.add(key)
        return json_response({"job": key, "cancelled": True}, status=202)

    async def _append_cancels(self, keys: tuple[str, ...]) -> None:
        await self.bus.ask(Append("cell", JobCancelled(keys)))


def check_possible(spec: JobSpec, plan: Plan) -> None:
    """Refuse at once what the team's plan can never allow.

    :raises NotPermittedError: if the plan has no urgent work.
    :raises JobImpossibleError: if a gang is above the team's limit.
    """
    if spec.priority == "urgent" and not plan.urgent:
        raise NotPermittedError(f"plan {plan.name!r} has no urgent work")
    if spec.gang and spec.tasks > plan.limit:
        raise JobImpossibleError(
            f"a gang of {spec.tasks} is above the team's limit of {plan.limit}"
        )


def choose_zone(spec: JobSpec, workers: tuple[Endpoint, ...], own: str) -> str:
    """Return the zone to place a job: the own one, unless it can never fit there.

    :param workers: all listed; the list lags, and while it is empty nothing
        is known, so that a job is taken and held rather than refused.
    :raises JobImpossibleError: if no zone's workers could ever run it.
    """
    need = ResourceNeed.of(spec)
    slots: dict[str, int] = {}
    for e in workers:
        capacity = WorkerCapacity(e.name, e.rack, e.cpus, e.memory_mb, e.accelerators)
        slots[e.zone] = slots.get(e.zone, 0) + capacity.count_fitting(need)
    wanted = spec.tasks if spec.gang else 1
    if not workers or slots.get(own, 0) >= wanted:
        return own
    best = max(sorted(slots), key=lambda zone: slots[zone])
    if slots[best] >= wanted:
        return best
    if slots[best] == 0:
        raise JobImpossibleError("each task is larger than any worker of the cell")
    raise JobImpossibleError(
        f"a gang of {wanted} fits in no zone; the roomiest takes {slots[best]}"
    )
