"""Random scenarios whose generators know which jobs cannot end.

Every other accepted job that does not end, and every task that lasts and is not at work
in the end, is a finding.
"""

from typing import Any, ClassVar

from firhook.cell import Resources
from firhook.clock import unix_time
from standins.model._faults import FaultScenario
from standins.model._time import now, pause
from standins.model._workers import ModelWorker

#: How long a cell may take until all that can end has ended.
_SETTLE_TIMEOUT_S = 400.0
#: The part of the workers' cores that tasks which last may need together.
_LASTING_SHARE = 0.25


class SearchScenario(FaultScenario):
    """A scenario with jobs and faults of one kind.

    :cvar kinds: the faults that are injected; all if empty.
    :cvar submit_share: the part of the usual number of jobs that is submitted.
    """

    kinds: ClassVar[tuple[str, ...]] = ()
    submit_share: ClassVar[float] = 1.0

    def __init__(self, seed: int) -> None:
        super().__init__(seed, self.kinds)
        self._lasting: dict[str, list[str]] = {}
        self._statuses: dict[str, str] = {}

    async def run(self) -> Any:
        """See :meth:`FaultScenario.run`."""
        self._prepare()
        return await super().run()

    def _prepare(self) -> None:
        """Change the cell before it starts."""

    async def _submit(self) -> None:
        if not self._any_instance_alive() or self.rng.random() > self.submit_share:
            return
        rng, job = self.rng, self.cell.new_job_id()
        steps = [self._step(i) for i in range(rng.choice((1, 1, 2, 3)))]
        more = self._job_fields(steps)
        can_end = self._can_end(job, steps)
        lasts = any(step.get("run_forever") for step in steps)
        failing = can_end and not lasts and rng.random() < 0.05
        prefix = rng.choice(("/plan/", "/quote/"))
        work_s = rng.choice((0.3, 1.0, 4.0))
        _, status = await self.cell.submit(
            steps, work_s, prefix, job, fails=failing, **more
        )
        if status in (429, 503):
            self.cell.checks.refused.add(job)
        await self._handle_answer(job, prefix, status)
        if status != 200:
            return
        if failing:
            self._failing_jobs.add(job)
        if lasts or not can_end:
            self._unending_jobs.add(job)
        if lasts and can_end:
            self._lasting[job] = [
                f"{job}.0.{number}.{task}"
                for number, step in enumerate(steps)
                for task in range(step["count"])
                if step.get("run_forever")
            ]

    async def _handle_answer(self, job: str, prefix: str, status: int) -> None:
        """Do what the caller does once a submission was answered."""

    def _job_fields(self, steps: list[dict[str, Any]]) -> dict[str, Any]:
        """Return what a job has beside its steps."""
        return {}

    def _can_end(self, job: str, steps: list[dict[str, Any]]) -> bool:
        """Return whether workers and limits permit each step of a job."""
        return True

    async def _settle(self) -> None:
        end = now() + _SETTLE_TIMEOUT_S
        while now() < end and not self._is_settled():
            await pause(0.5)

    def _is_settled(self) -> bool:
        statuses = [
            self._final_status(job)
            for job in self.cell.accepted
            if job not in self._unending_jobs
        ]
        return None not in statuses and not self._idle_lasting_tasks()

    def _final_status(self, job: str) -> str | None:
        # A cell forgets ended jobs after some minutes.
        if job not in self._statuses:
            status = super()._final_status(job)
            if status is None:
                return None
            self._statuses[job] = status
        return self._statuses[job]

    def _idle_lasting_tasks(self) -> list[str]:
        """Return the tasks that last and are not at work."""
        at_work = {
            task
            for worker in self.cell.workers.values()
            for (task, _), run in worker.runs.items()
            if worker.up and run.working
        }
        return [
            task
            for job, tasks in self._lasting.items()
            if job not in self._cancelled
            for task in tasks
            if task not in at_work
        ]

    def _outcome(self) -> Any:
        for task in self._idle_lasting_tasks():
            self.cell.checks.record_violation(now(), "lasting_idle", task)
        return super()._outcome()

    async def _clear_faults(self) -> None:
        await super()._clear_faults()
        for worker in self.cell.workers.values():
            worker.refuses = False


class LastingSearch(SearchScenario):
    """Tasks that last and end now and then, and workers that refuse work."""

    def __init__(self, seed: int) -> None:
        super().__init__(seed)
        self._lasting_left_m: float | None = None

    def _step(self, number: int) -> dict[str, Any]:
        step = super()._step(number)
        if self._lasting_left_m is None:
            cores_m = sum(w.capacity.cpu_m for w in self.cell.workers.values())
            self._lasting_left_m = _LASTING_SHARE * cores_m
        need_m = step["count"] * step["millicpus"]
        if self.rng.random() < 0.3 and need_m <= self._lasting_left_m:
            self._lasting_left_m -= need_m
            for key in ("all_or_nothing", "allow_duplicates", "after"):
                step.pop(key, None)
            step["run_forever"] = True
        return step

    def _job_fields(self, steps: list[dict[str, Any]]) -> dict[str, Any]:
        if any(step.get("run_forever") for step in steps):
            # Nothing may wait for what does not end.
            for step in steps:
                step.pop("after", None)
        return {}

    async def fault_worker_refuses(self) -> None:
        """Make a worker refuse starts for some seconds."""
        worker = self._pick_worker()
        worker.refuses = True
        self.schedule(1 + 6 * self.rng.random(), setattr, worker, "refuses", False)

    async def fault_lasting_fails(self) -> None:
        """End a task that lasts."""
        worker: ModelWorker = self._pick_worker()
        worker.fail_lasting()


class LimitSearch(SearchScenario):
    """A team with a low limit, and labels of which the adviser rules workers out."""

    submit_share = 0.3

    def _prepare(self) -> None:
        self.limit_m = self.rng.choice((2000, 4000, 7000))
        self.cell.team_limit = {"millicpus": self.limit_m}

    def _step(self, number: int) -> dict[str, Any]:
        step = super()._step(number)
        if self.rng.random() < 0.5:
            step["requirements"] = self.rng.choice(("a", "b", "c"))
        return step

    def _can_end(self, job: str, steps: list[dict[str, Any]]) -> bool:
        return all(
            self._can_run(f"{job}.0.{number}", step)
            for number, step in enumerate(steps)
        )

    def _can_run(self, name: str, step: dict[str, Any]) -> bool:
        adviser, label = self.cell.adviser, step.get("requirements", "")
        need = Resources(step["millicpus"], step["task_memory_mb"])
        wanted = step["count"] if step.get("all_or_nothing") else 1
        slots = sum(
            worker.capacity.count_fitting(need, wanted)
            for worker in self.cell.workers.values()
            if label in ("", worker.kind)
            and (adviser is None or adviser.may_run(name, worker.name))
        )
        return slots >= wanted and wanted * need.cpu_m <= self.limit_m

    async def _act(self) -> None:
        self._set_kinds()
        await super()._act()

    def _set_kinds(self) -> None:
        """Give each second worker another label, once they are registered."""
        for name, worker in self.cell.workers.items():
            kind = "ab"[int(name[1:]) % 2]
            if worker.kind != kind:
                worker.kind = kind
                self.cell.register(name)


class TimedSearch(SearchScenario):
    """Timed jobs whose occurrences overlap, while instances are killed."""

    kinds = ("kill", "kill", "freeze", "worker_cut", "worker_reborn", "store_forgets")
    submit_share = 0.25

    def _job_fields(self, steps: list[dict[str, Any]]) -> dict[str, Any]:
        rng = self.rng
        if rng.random() < 0.3:
            return {}
        return {
            "start_time_ms": int((unix_time() + 3 * rng.random()) * 1000),
            "interval_ms": rng.choice((500, 1000, 4000)),
            "repetitions": rng.choice((1, 3, 6)),
        }
