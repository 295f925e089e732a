"""The cell role: the callers' interface to jobs, and the zone's lead."""

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
from firhook.roles._batcher import Batcher
from firhook.roles._zone_lead import ZoneLead


@register_role("cell")
class Cell(Role):
    """Accepts jobs at any instance; the lead of the job's zone places them."""

    def register_handlers(self) -> None:
        """Register the routes for jobs."""
        self._workers: tuple[Endpoint, ...] = ()
        self._zone_lead = ZoneLead(self.kernel)
        self._cancel_batcher = Batcher(self._append_cancels)
        self.kernel.routes["api"] += [
            web.post("/v1/jobs", self._post_job),
            web.get("/v1/jobs", self._list_jobs),
            web.get("/v1/jobs/{job_id}", self._get_job),
            web.delete("/v1/jobs/{job_id}", self._delete_job),
        ]
        self.bus.subscribe(InstancesListed, self._on_instances)

    def on_init_dependencies(self) -> list[Any]:
        """Return the zone lead as a child service."""
        return [self._zone_lead]

    async def on_start(self) -> None:
        """Register the handler for peers that inquire about jobs of this zone."""
        self.bus.publish(RegisterPeerHandler(JobInquiry, self._on_inquiry))

    def _on_instances(self, event: InstancesListed) -> None:
        self._workers = tuple(
            endpoint for endpoint in event.instances if endpoint.kind == "worker"
        )

    # -- submitting ------------------------------------------------------------

    async def _post_job(self, req: web.Request) -> web.Response:
        caller = await principal(self.bus, req)
        if caller.is_operator:
            raise NotPermittedError("submit a job with its team's key")
        await self.bus.ask(CheckFresh(idempotent=False))
        spec = check_job(await read_json(req), caller.team)
        plan = self.states.config.plan_of(caller.team)
        if plan is None:
            raise NotPermittedError(f"team {caller.team!r} is not in the list")
        check_plan_allows(spec, plan)
        zone = choose_zone(spec, self._workers, self.cfg.zone)
        body = JobAccepted(spec, zone, round(time.time(), 3))
        applied = await self.bus.ask(Append("cell", body))
        if applied.verdict is Verdict.CONFLICT:
            raise JobConflictError(f"job {spec.job_id!r} exists with a different body")
        entry = self.states.cell.jobs.get(spec.key)
        answer = {"job": spec.key, "zone": entry.zone if entry else ""}
        return json_response(answer, status=202)

    # -- reading ----------------------------------------------------------------

    async def _visible_team(self, req: web.Request) -> str:
        caller = await principal(self.bus, req)
        team = req.query.get("team", caller.team)
        if not caller.is_operator and team != caller.team:
            raise NotPermittedError(f"the key is not of team {team!r}")
        return team

    async def _list_jobs(self, req: web.Request) -> web.Response:
        team = await self._visible_team(req)
        jobs = [
            {
                **to_builtins(entry.job),
                "zone": entry.zone,
                "cancelled": entry.cancelled,
                "ended": entry.ended,
            }
            for entry in self.states.cell.jobs.values()
            if not team or entry.job.team == team
        ]
        return json_response({"jobs": jobs})

    def _require_job_key(self, team: str, job_id: str) -> str:
        key = f"{team}/{job_id}"
        if key not in self.states.cell.jobs:
            raise JobUnknownError(f"job {job_id!r} of team {team!r}")
        return key

    async def _get_job(self, req: web.Request) -> web.Response:
        team = await self._visible_team(req)
        key = self._require_job_key(team, req.match_info["job_id"])
        zone = self.states.cell.jobs[key].zone
        if zone != self.cfg.zone:
            return json_response(await self._remote_view(key, zone))
        return json_response(self._local_view(key))

    def _local_view(self, key: str) -> dict[str, Any]:
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

    async def _remote_view(self, key: str, zone: str) -> dict[str, Any]:
        """Return the view of a job from the lead of its zone.

        If that lead does not answer, return this instance's view, and name the
        unreachable zone in its steps.
        """
        peer = self.states.cell.leads[zone].instance.partition("#")[0]
        try:
            answer = await self.bus.ask(AskPeer(peer, JobInquiry(key)))
            view = msgspec.json.decode(answer.view)
        except (FirhookError, msgspec.MsgspecError, AttributeError):
            view = self._local_view(key)
            view["steps"] = [f"zone {zone} does not answer: ask again later"]
        return view

    async def _on_inquiry(self, ask: JobInquiry) -> JobInquiryAnswer:
        if ask.job_id not in self.states.cell.jobs:
            raise JobUnknownError(f"job {ask.job_id!r}")
        view = msgspec.json.encode(self._local_view(ask.job_id)).decode()
        return JobInquiryAnswer(ask.job_id, view)

    # -- cancelling ----------------------------------------------------------------

    async def _delete_job(self, req: web.Request) -> web.Response:
        team = await self._visible_team(req)
        key = self._require_job_key(team, req.match_info["job_id"])
        await self._cancel_batcher.add(key)
        return json_response({"job": key, "cancelled": True}, status=202)

    async def _append_cancels(self, keys: tuple[str, ...]) -> None:
        await self.bus.ask(Append("cell", JobCancelled(keys)))


def check_plan_allows(spec: JobSpec, plan: Plan) -> None:
    """Refuse a job that the team's plan can never allow.

    :raises NotPermittedError: if the job is urgent and the plan excludes that.
    :raises JobImpossibleError: if a gang is above the team's limit.
    """
    if spec.priority == "urgent" and not plan.urgent:
        raise NotPermittedError(f"plan {plan.name!r} has no urgent work")
    if spec.gang and spec.tasks > plan.limit:
        raise JobImpossibleError(
            f"a gang of {spec.tasks} is above the team's limit of {plan.limit}"
        )


def choose_zone(spec: JobSpec, workers: tuple[Endpoint, ...], own_zone: str) -> str:
    """Return the zone that places a job: ``own_zone`` unless it can never fit there.

    :param workers: all listed workers.  The list lags.  While it is empty, a
        job is accepted and waits, since nothing is known of the workers.
    :param own_zone: this instance's zone.
    :raises JobImpossibleError: if no zone's workers could ever run it.
    """
    need = ResourceNeed.of(spec)
    slots: dict[str, int] = {}
    for endpoint in workers:
        capacity = WorkerCapacity(
            endpoint.name,
            endpoint.rack,
            endpoint.cpus,
            endpoint.memory_mb,
            endpoint.accelerators,
        )
        slots[endpoint.zone] = slots.get(endpoint.zone, 0) + capacity.count_fitting(
            need
        )
    required = spec.tasks if spec.gang else 1
    if not workers or slots.get(own_zone, 0) >= required:
        return own_zone
    best_zone = max(sorted(slots), key=lambda zone: slots[zone])
    if slots[best_zone] >= required:
        return best_zone
    if slots[best_zone] == 0:
        raise JobImpossibleError("each task is larger than any worker of the cell")
    raise JobImpossibleError(
        f"a gang of {required} fits in no zone; the roomiest takes {slots[best_zone]}"
    )
