"""Random scenarios with jobs of many tasks, little memory and early cancellations."""

from typing import Any

from firhook.decide.job_budget import job_limits
from standins.model._cell import ModelRequest
from standins.model._search import SearchScenario
from standins.model._time import now, pause

#: The largest job of which all tasks end within a scenario.
_MAX_ENDING_TASKS = 1000
#: Memory of the largest job that is submitted.
_LARGEST_JOB_BYTES = 20_000
_CHECK_INTERVAL_S = 0.25


class LargeSearch(SearchScenario):
    """Jobs fill the memory of the leads, and are cancelled while they are submitted.

    The lead's table and the replicas stay within what the smallest instance holds, the
    store refuses no record for good, and no task starts after its job's cancellation
    was answered.
    """

    kinds = (
        "cancel",
        "freeze",
        "kill",
        "kill",
        "store_forgets",
        "store_late",
        "store_late",
        "store_loses",
        "store_slow",
        "worker_cut",
        "worker_reborn",
    )
    submit_share = 0.8

    def _prepare(self) -> None:
        self.cell.memory_mb = self.rng.choice((0.6, 1.2, 8.0))
        self._limits = job_limits(
            self.cell.memory_mb, 1.0, self.cell.store.record_bytes
        )

    def _step(self, number: int) -> dict[str, Any]:
        step = super()._step(number)
        # Work that would end late is refused as well.
        step["estimated_ms"] = 1
        if self.rng.random() < 0.6:
            step["count"] = self.rng.choice((150, 400, 2_000, 2_000))
            step["millicpus"] = 100
            # As many tasks as these fit on no set of workers together.
            step.pop("all_or_nothing", None)
        return step

    def _can_end(self, job: str, steps: list[dict[str, Any]]) -> bool:
        return sum(step["count"] for step in steps) <= _MAX_ENDING_TASKS

    async def _handle_answer(self, job: str, prefix: str, status: int) -> None:
        if status == 504 and self.rng.random() < 0.8:
            await self._cancel(job, prefix)

    async def _cancel(self, job: str, prefix: str) -> None:
        """Cancel a job with the retries of a caller."""
        for _ in range(3):
            if not self._any_instance_alive():
                return
            req = ModelRequest("DELETE", prefix + job)
            status, _ = await self.cell.any_instance().call(req)
            if status in (200, 410):
                self.record(f"{job} cancelled: {status}")
                self.cell.checks.cancelled[job] = now()
                return
            await pause(0.3)

    async def fault_cancel(self) -> None:
        """Cancel some jobs, and check that they do not start later."""
        if not self._any_instance_alive():
            return
        jobs = [j for j in self.cell.accepted if not self.cell.ended(j)]
        for job in self.rng.sample(jobs, min(len(jobs), 3)):
            # Without an answer the outcome of the cancellation is unknown.
            self._cancelled.add(job)
            await self._cancel(job, self.cell.accepted[job])

    async def _check_lead(self) -> None:
        while True:
            self.cell.check_lead()
            self._check_memory()
            await pause(_CHECK_INTERVAL_S)

    def _check_memory(self) -> None:
        limits = self._limits
        for name, found in self.cell.instances.items():
            # Each instance may accept one job above its share of what is left.
            most = limits.jobs.memory_bytes
            most += len(self.cell.instances) * _LARGEST_JOB_BYTES
            taken = found.instance.replica.jobs_size.memory_bytes
            if found.alive and taken > most:
                self.cell.checks.record_violation(now(), "memory", f"{name}: {taken}")
        lead = self.cell.lead()
        table = lead.lead.term.job_table if lead is not None else None
        if table is None:
            return
        pairs = (
            (table.jobs_size.memory_bytes, limits.jobs.memory_bytes),
            (table.active_bytes, limits.active_bytes),
            (table.repeat_bytes, limits.repeat_bytes),
        )
        # One job is held however large it is.
        if len(table.jobs) > 1 and any(taken > most for taken, most in pairs):
            self.cell.checks.record_violation(now(), "memory", f"lead: {pairs}")

    async def _settle(self) -> None:
        """End the jobs that would not end in time, so that there is room for others."""
        for job in sorted(self._unending_jobs & self.cell.accepted.keys()):
            self._cancelled.add(job)
            await self._cancel(job, self.cell.accepted[job])
        await super()._settle()

    def _outcome(self) -> Any:
        if self.cell.store.refusals:
            self.cell.checks.record_violation(
                now(), "refused_records", str(self.cell.store.refusals)
            )
        return super()._outcome()
