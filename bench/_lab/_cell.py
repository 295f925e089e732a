"""A cell of the model for the lab: zones, classes and accounts, and a policy."""

import asyncio
import hashlib
import itertools
import random
from typing import Any

import attrs
import msgspec

from bench._lab._load import (
    ACCOUNTS,
    PATIENCE_S,
    ZONES,
    Day,
    Job,
    JobClass,
    Step,
    Window,
    worker_names,
    zone_of,
)
from bench._lab._tally import Outcome
from firhook.cell import JobStatus, Resources
from firhook.instance import InstanceService
from firhook.platform.instance import Bounds
from firhook.services._events import JobChanged
from standins.model import (
    Checks,
    ModelAdviser,
    ModelCell,
    ModelInstance,
    ModelRequest,
    ModelWorker,
    TaskPlan,
    now,
    pause,
    run_virtual,
)
from standins.model._cell import HOST
from standins.model._workers import Gangs

#: Modes of workers that are faults, the worst first.
_MODES = ("cut", "mute")
_SLOW_FACTOR = 6.0
_AGAIN_S = 0.2
_LOOK_S = 0.5
_PER_RACK = 8


def key_of(account: str) -> str:
    """Return an account's key."""
    return f"key-of-{account}"


class LabGangs(Gangs):
    """Gangs that are as slow as their slowest member."""

    def add(self, worker: ModelWorker, run: Any) -> None:
        """See :meth:`Gangs.add`."""
        key = (run.task.rpartition(".")[0], run.number)
        others = [*self.members.get(key, {}).values(), (worker, run)]
        if len(others) == run.plan.gang:
            lasts_s = max(r.plan.work_s for _, r in others)
            lasts_s *= max(w.slow for w, _ in others)
            for w, r in others:
                r.plan = attrs.evolve(r.plan, work_s=lasts_s / w.slow)
        super().add(worker, run)


class LabChecks(Checks):
    """Checks that note when each job began."""

    def __init__(self) -> None:
        super().__init__()
        self.began: dict[str, float] = {}

    def started(
        self, at: float, task: str, worker: str, incarnation: int, run: int
    ) -> None:
        """See :meth:`Checks.started`."""
        super().started(at, task, worker, incarnation, run)
        self.began.setdefault(task.partition(".")[0], at)


class LabAdviser(ModelAdviser):
    """An adviser whose answers take as long as the class of the job says."""

    def __init__(self, classes: dict[str, JobClass]) -> None:
        super().__init__(0.0, 0.0, next(iter(classes.values())).valid_s, 1.0)
        self._classes = classes

    def _class_of(self, step: str) -> JobClass:
        return self._classes[step.partition(".")[0]]

    def answer_duration_s(self, step: str, workers: int) -> float:
        """See :meth:`ModelAdviser.answer_duration_s`."""
        return self._class_of(step).advice_takes_s(workers)

    def may_run(self, step: str, worker: str) -> bool:
        """See :meth:`ModelAdviser.may_run`."""
        digest = hashlib.sha256(f"{step}/{worker}".encode()).digest()
        return digest[0] < 256 * self._class_of(step).good


class LabCell(ModelCell):
    """The cell of one day.

    :param lead: the class of the service that leads.
    :param bounds: the times that the cell is held to.
    """

    def __init__(
        self, day: Day, lead: type[InstanceService], bounds: Bounds | None = None
    ) -> None:
        scenario = day.scenario
        super().__init__(scenario.instances, scenario.workers, day.seed, bounds=bounds)
        self.day = day
        self.advised = True
        self.adviser = LabAdviser({job.id: job.kind for job in day.jobs})
        self.checks = LabChecks()
        self.outcomes = {job.id: Outcome(job) for job in day.jobs}
        self._lead_type = lead
        self._gangs = LabGangs()
        self._began_at = 0.0
        self._active: list[Window] = []
        self._calls: set[asyncio.Task[None]] = set()

    # How it is made.

    def services(self) -> dict[str, type[InstanceService]]:
        """See :meth:`ModelCell.services`."""
        return {**super().services(), "lead": self._lead_type}

    def configure(self, version: int, **changes: Any) -> None:
        """See :meth:`ModelCell.configure`."""
        super().configure(
            version,
            routes=[_route(kind) for kind in self.day.scenario.classes],
            tenants=[
                {"name": a, "api_keys": [key_of(a)], "weight": 1, "upper_limit": {}}
                for a in ACCOUNTS
            ],
            **changes,
        )

    def add_worker(
        self, name: str, rack: str, cpu_m: int = 0, zone: str = ""
    ) -> ModelWorker:
        """See :meth:`ModelCell.add_worker`."""
        number = worker_names(self.day.scenario).index(name)
        zone = zone_of(number)
        rack = f"r-{zone}-{number // (_PER_RACK * len(ZONES))}"
        worker = super().add_worker(name, rack, self.day.scenario.cpu_m, zone)
        worker.slow = 1.0 / self.day.speeds[name]
        return worker

    async def add_instance(self, name: str, zone: str = "") -> ModelInstance:
        """See :meth:`ModelCell.add_instance`."""
        made = await super().add_instance(name, zone or zone_of(int(name[1:])))
        made.instance.bus.subscribe(
            JobChanged, lambda event: self._on_job(made, event.job_id)
        )
        return made

    def plan_of(self, task: str) -> TaskPlan:
        """See :meth:`ModelCell.plan_of`."""
        job_id, _, step, index = task.split(".")
        plan = self.outcomes[job_id].job.steps[int(step)]
        return TaskPlan(
            plan.tasks[int(index)].work_s,
            Resources(plan.cpu_m, plan.memory_mb),
            gang=len(plan.tasks) if plan.gang else 0,
            checkpoints=plan.saves,
        )

    def _on_job(self, at: ModelInstance, job_id: str) -> None:
        outcome = self.outcomes.get(job_id)
        if outcome is None or outcome.done_at is not None:
            return
        view = at.instance.replica.jobs.get(job_id)
        if view is not None and view.status is JobStatus.COMPLETED:
            outcome.done_at = self.clock()

    # How a day goes.

    def clock(self) -> float:
        """Return the time of the day."""
        return now() - self._began_at

    async def play(self) -> list[Outcome]:
        """Play the day."""
        await self.begin()
        self._began_at = now()
        loop = asyncio.get_running_loop()
        for fault in self.day.faults:
            loop.call_at(self._began_at + fault.at, self._strike, fault)
            loop.call_at(self._began_at + fault.end, self._heal, fault)
        for job in self.day.jobs:
            await pause(max(job.at - self.clock(), 0.0))
            call = asyncio.create_task(self._hand_in(job))
            self._calls.add(call)
            call.add_done_callback(self._calls.discard)
        while self.clock() < self.day.end and not self._settled():
            await pause(_LOOK_S)
        for job_id, at in self.checks.began.items():
            self.outcomes[job_id].started_at = at - self._began_at
        return list(self.outcomes.values())

    def _settled(self) -> bool:
        """Return whether every caller has an answer, or has given up."""
        at = self.clock()
        return not self._calls and all(
            o.done_at is not None or not o.accepted or at > o.job.given_up_at
            for o in self.outcomes.values()
        )

    async def _hand_in(self, job: Job) -> None:
        """Send a job as its caller does, to instances of the caller's zone."""
        rng = random.Random(job.id)
        until = job.at + PATIENCE_S
        body = msgspec.json.encode(_job_body(job))
        while (left_s := until - self.clock()) > 0:
            names = [n for n in self.instances if self._zone(n) == job.zone]
            req = ModelRequest(
                "POST",
                f"/{job.kind.name}/{job.id}",
                body,
                key=key_of(job.account),
                deadline_ms=int(left_s * 1000),
            )
            status, _ = await self.instances[rng.choice(names)].call(req)
            if status == 200:
                self.outcomes[job.id].accepted = True
                return
            await pause(_AGAIN_S)

    # What goes wrong.

    def _zone(self, instance: str) -> str:
        return self.instances[instance].instance.settings.zone

    def _strike(self, fault: Window) -> None:
        self._active.append(fault)
        self._bring_about()

    def _heal(self, fault: Window) -> None:
        self._active.remove(fault)
        self._bring_about()

    def _bring_about(self) -> None:
        """Have all be as the faults say that there are now."""
        for name, worker in self.workers.items():
            hit = {fault.what for fault in self._active if name in fault.names}
            worker.mode = next((mode for mode in _MODES if mode in hit), "up")
            factor = _SLOW_FACTOR if "slow" in hit else 1.0
            worker.slow = factor / self.day.speeds[name]
        self._cut_zones({f.names[0] for f in self._active if f.what == "zone"})

    def _cut_zones(self, zones: set[str]) -> None:
        """Let nothing through between these zones and all else, the store included."""

        def apart(one: str, other: str) -> bool:
            return one != other and (one in zones or other in zones)

        zones_of = {name: self._zone(name) for name in self.instances}
        self.cut_links[:] = [
            {one, other}
            for one, other in itertools.combinations(zones_of, 2)
            if apart(zones_of[one], zones_of[other])
        ]
        self.store.mode = {n: "silent" for n, zone in zones_of.items() if zone in zones}
        for worker in self.workers.values():
            worker.unreachable_from = {
                n for n in zones_of if apart(worker.zone, zones_of[n])
            }


def _route(kind: JobClass) -> dict[str, Any]:
    return {
        "name": kind.name,
        "host": HOST,
        "path_prefix": f"/{kind.name}/",
        "service": "pool",
        "priority": kind.priority,
        "max_attempts": 3,
        "slack_factor": kind.slack_factor,
        "target_duration_ms": kind.target_s * 1000,
        "allow_anonymous": False,
        "recommendation": {
            "decision_ms": kind.advice_s * 1000,
            "per_item_ms": kind.advice_worker_s * 1000,
            "validity_ms": kind.valid_s * 1000,
        },
    }


def _job_body(job: Job) -> dict[str, Any]:
    steps = [_step_body(step, number) for number, step in enumerate(job.steps)]
    return {"specification": job.id, "steps": steps}


def _step_body(step: Step, number: int) -> dict[str, Any]:
    return {
        "count": len(step.tasks),
        "millicpus": step.cpu_m,
        "task_memory_mb": step.memory_mb,
        "estimated_ms": step.estimate_s * 1000,
        "all_or_nothing": step.gang,
        "enable_checkpoints": step.saves,
        "after": [number - 1] if number else [],
    }


def play_day(
    day: Day, lead: type[InstanceService], bounds: Bounds | None = None
) -> list[Outcome]:
    """Play a day in virtual time.

    :raises AssertionError: if a task ran twice, or a worker was overfull.
    """
    cell = LabCell(day, lead, bounds)
    outcomes = run_virtual(cell.play())
    assert not cell.checks.violations, cell.checks.violations[:3]
    return outcomes
