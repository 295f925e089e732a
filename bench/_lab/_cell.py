"""The model cell in which the lab simulates a workload under a policy.

It extends the platform model with zones, job classes, accounts and faults.
"""

import asyncio
import hashlib
import itertools
import random
from collections.abc import Callable
from typing import Any

import attrs
import msgspec

from bench._lab._outcomes import Outcome
from bench._lab._workload import (
    ACCOUNTS,
    SUBMIT_TIMEOUT_S,
    ZONES,
    Job,
    JobClass,
    Step,
    Window,
    Workload,
    worker_names,
    zone_of,
)
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

#: Worker modes set by faults, the most severe first.
_FAULT_MODES = ("cut", "mute")
_SLOWDOWN_FACTOR = 6.0
_RETRY_S = 0.2
_POLL_S = 0.5
_WORKERS_PER_RACK = 8


def api_key(account: str) -> str:
    """Return the API key of an account."""
    return f"key-of-{account}"


class LabGangs(Gangs):
    """Gangs whose members all take as long as the slowest one."""

    def add(self, worker: ModelWorker, run: Any) -> None:
        """See :meth:`Gangs.add`."""
        key = (run.task.rpartition(".")[0], run.number)
        others = [*self.members.get(key, {}).values(), (worker, run)]
        if len(others) == run.plan.gang:
            duration_s = max(r.plan.work_s for _, r in others)
            duration_s *= max(w.slow for w, _ in others)
            for w, r in others:
                r.plan = attrs.evolve(r.plan, work_s=duration_s / w.slow)
        super().add(worker, run)


class LabChecks(Checks):
    """Checks that also record when each job started.

    :ivar job_started_at: start of the first run of each job, by job id.
    """

    def __init__(self) -> None:
        super().__init__()
        self.job_started_at: dict[str, float] = {}

    def started(
        self, at: float, task: str, worker: str, incarnation: int, run: int
    ) -> None:
        """See :meth:`Checks.started`."""
        super().started(at, task, worker, incarnation, run)
        self.job_started_at.setdefault(task.partition(".")[0], at)


class LabAdviser(ModelAdviser):
    """An adviser whose answer times and permitted workers depend on the job class.

    :param classes: the class of each job, by job id.
    :param incarnation_of: returns the incarnation of a worker.
    """

    def __init__(
        self, classes: dict[str, JobClass], incarnation_of: Callable[[str], int]
    ) -> None:
        valid_s = next(iter(classes.values())).advice_valid_s
        super().__init__(0.0, 0.0, valid_s, 1.0, incarnation_of)
        self._classes = classes

    def _job_class(self, step: str) -> JobClass:
        return self._classes[step.partition(".")[0]]

    def answer_duration_s(self, step: str, workers: int) -> float:
        """See :meth:`ModelAdviser.answer_duration_s`."""
        return self._job_class(step).advice_duration_s(workers)

    def may_run(self, step: str, worker: str) -> bool:
        """See :meth:`ModelAdviser.may_run`."""
        digest = hashlib.sha256(f"{step}/{worker}".encode()).digest()
        return digest[0] < 256 * self._job_class(step).eligible_fraction


class LabCell(ModelCell):
    """A model cell that runs one workload.

    :param lead: class of the lead service.
    :param bounds: time limits of the cell; the defaults if ``None``.
    :ivar outcomes: the outcome of each job, by job id.
    """

    def __init__(
        self,
        workload: Workload,
        lead: type[InstanceService],
        bounds: Bounds | None = None,
    ) -> None:
        scenario = workload.scenario
        super().__init__(
            scenario.instances, scenario.workers, workload.seed, bounds=bounds
        )
        self.workload = workload
        self.advised = True
        classes = {job.id: job.kind for job in workload.jobs}
        self.adviser = LabAdviser(classes, self.incarnation_of)
        self.checks = LabChecks()
        self.outcomes = {job.id: Outcome(job) for job in workload.jobs}
        self._lead_type = lead
        self.gangs = LabGangs()
        self._start_time = 0.0
        self._active_faults: list[Window] = []
        self._submissions: set[asyncio.Task[None]] = set()

    # Setup.

    def services(self) -> dict[str, type[InstanceService]]:
        """See :meth:`ModelCell.services`."""
        return {**super().services(), "lead": self._lead_type}

    def configure(self, version: int, **changes: Any) -> None:
        """See :meth:`ModelCell.configure`."""
        super().configure(
            version,
            routes=[_route_config(kind) for kind in self.workload.scenario.classes],
            tenants=[
                {"name": a, "api_keys": [api_key(a)], "weight": 1, "upper_limit": {}}
                for a in ACCOUNTS
            ],
            **changes,
        )

    def add_worker(
        self, name: str, rack: str, cpu_m: int = 0, zone: str = ""
    ) -> ModelWorker:
        """See :meth:`ModelCell.add_worker`."""
        number = worker_names(self.workload.scenario).index(name)
        zone = zone_of(number)
        rack = f"r-{zone}-{number // (_WORKERS_PER_RACK * len(ZONES))}"
        worker = super().add_worker(name, rack, self.workload.scenario.cpu_m, zone)
        worker.slow = 1.0 / self.workload.speeds[name]
        return worker

    async def add_instance(self, name: str, zone: str = "") -> ModelInstance:
        """See :meth:`ModelCell.add_instance`."""
        model_instance = await super().add_instance(
            name, zone or zone_of(int(name[1:]))
        )
        model_instance.instance.bus.subscribe(
            JobChanged, lambda event: self._on_job_changed(model_instance, event.job_id)
        )
        return model_instance

    def plan_of(self, task: str) -> TaskPlan:
        """See :meth:`ModelCell.plan_of`."""
        job_id, _, step, index = task.split(".")
        step_plan = self.outcomes[job_id].job.steps[int(step)]
        return TaskPlan(
            step_plan.tasks[int(index)].work_s,
            Resources(step_plan.cpu_m, step_plan.memory_mb),
            gang=len(step_plan.tasks) if step_plan.gang else 0,
            checkpoints=step_plan.checkpoints,
        )

    def _on_job_changed(self, at: ModelInstance, job_id: str) -> None:
        outcome = self.outcomes.get(job_id)
        if outcome is None or outcome.done_at is not None:
            return
        view = at.instance.replica.jobs.get(job_id)
        if view is not None and view.status is JobStatus.COMPLETED:
            outcome.done_at = self.elapsed_s()

    # Simulation.

    def elapsed_s(self) -> float:
        """Return the seconds since the workload started."""
        return now() - self._start_time

    async def run(self) -> list[Outcome]:
        """Run the workload and return the outcome of every job."""
        await self.begin()
        self._start_time = now()
        loop = asyncio.get_running_loop()
        for fault in self.workload.faults:
            loop.call_at(self._start_time + fault.at, self._start_fault, fault)
            loop.call_at(self._start_time + fault.end, self._end_fault, fault)
        for job in self.workload.jobs:
            await pause(max(job.at - self.elapsed_s(), 0.0))
            call = asyncio.create_task(self._submit_job(job))
            self._submissions.add(call)
            call.add_done_callback(self._submissions.discard)
        while self.elapsed_s() < self.workload.end and not self._is_settled():
            await pause(_POLL_S)
        for job_id, at in self.checks.job_started_at.items():
            self.outcomes[job_id].started_at = at - self._start_time
        return list(self.outcomes.values())

    def _is_settled(self) -> bool:
        """Return whether no caller is waiting any more.

        A caller stops waiting when its job is done, was not accepted, or took so
        long that it gave up.
        """
        at = self.elapsed_s()
        return not self._submissions and all(
            o.done_at is not None or not o.accepted or at > o.job.abandoned_at
            for o in self.outcomes.values()
        )

    async def _submit_job(self, job: Job) -> None:
        """Send a job to random instances of the caller's zone until one accepts it.

        The caller stops trying after ``SUBMIT_TIMEOUT_S``.
        """
        rng = random.Random(job.id)
        submit_by = job.at + SUBMIT_TIMEOUT_S
        body = msgspec.json.encode(_job_body(job))
        while (remaining_s := submit_by - self.elapsed_s()) > 0:
            names = [n for n in self.instances if self._zone_of_instance(n) == job.zone]
            req = ModelRequest(
                "POST",
                f"/{job.kind.name}/{job.id}",
                body,
                key=api_key(job.account),
                deadline_ms=int(remaining_s * 1000),
            )
            status, _ = await self.instances[rng.choice(names)].call(req)
            if status == 200:
                self.outcomes[job.id].accepted = True
                return
            await pause(_RETRY_S)

    # Faults.

    def _zone_of_instance(self, instance: str) -> str:
        return self.instances[instance].instance.settings.zone

    def _start_fault(self, fault: Window) -> None:
        self._active_faults.append(fault)
        self._apply_faults()

    def _end_fault(self, fault: Window) -> None:
        self._active_faults.remove(fault)
        self._apply_faults()

    def _apply_faults(self) -> None:
        """Set worker modes, worker speeds and links according to the active faults."""
        for name, worker in self.workers.items():
            active_labels = {
                fault.label for fault in self._active_faults if name in fault.names
            }
            worker.mode = next(
                (mode for mode in _FAULT_MODES if mode in active_labels), "up"
            )
            factor = _SLOWDOWN_FACTOR if "slow" in active_labels else 1.0
            worker.slow = factor / self.workload.speeds[name]
        self._isolate_zones(
            {f.names[0] for f in self._active_faults if f.label == "zone"}
        )

    def _isolate_zones(self, zones: set[str]) -> None:
        """Isolate zones from each other, from all other zones and from the store."""

        def separated(one: str, other: str) -> bool:
            return one != other and (one in zones or other in zones)

        zones_of = {name: self._zone_of_instance(name) for name in self.instances}
        self.cut_links[:] = [
            {one, other}
            for one, other in itertools.combinations(zones_of, 2)
            if separated(zones_of[one], zones_of[other])
        ]
        self.store.mode = {n: "silent" for n, zone in zones_of.items() if zone in zones}
        for worker in self.workers.values():
            worker.unreachable_from = {
                n for n in zones_of if separated(worker.zone, zones_of[n])
            }


def _route_config(kind: JobClass) -> dict[str, Any]:
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
            "decision_ms": kind.advice_base_s * 1000,
            "per_item_ms": kind.advice_per_worker_s * 1000,
            "validity_ms": kind.advice_valid_s * 1000,
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
        "enable_checkpoints": step.checkpoints,
        "after": [number - 1] if number else [],
    }


def simulate(
    workload: Workload, lead: type[InstanceService], bounds: Bounds | None = None
) -> list[Outcome]:
    """Run a workload in virtual time.

    :param lead: class of the lead service.
    :param bounds: time limits of the cell; the defaults if ``None``.
    :return: the outcome of every job.
    :raises AssertionError: if a task ran twice or a worker was overcommitted.
    """
    cell = LabCell(workload, lead, bounds)
    outcomes = run_virtual(cell.run())
    assert not cell.checks.violations, cell.checks.violations[:3]
    return outcomes
