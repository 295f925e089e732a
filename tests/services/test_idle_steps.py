"""No step stays idle after faults of all kinds have ended."""

import asyncio
import contextlib
import random

import pytest

from standins.model import ModelCell, pause, run_virtual
from standins.model._time import now
from tests.services.scenarios import step

LOAD_S = 25.0
#: The platform's rules count a job as lost if, this long after the traffic, ...
FINISH_S = 14.0
#: ... it has nothing running for this long although there is room for it.
MAX_IDLE_S = 3.0


class FaultyCell:
    """A cell under load whose workers and instances fail at random.

    :ivar idle_since: since when each ready step has had nothing running, by name.
    :ivar longest_idle_s: the longest such time of each step, by name.
    """

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.cell = ModelCell(
            instances=4,
            workers=24,
            seed=seed,
            advised=True,
            worker_zones=("z0", "z1", "z2"),
        )
        self.idle_since = {}
        self.longest_idle_s = {}

    async def submit_jobs(self):
        rng, end = self.rng, now() + LOAD_S
        while now() < end:
            kind = rng.choice(["gang", "tasks", "two"])
            steps = [step(rng.randint(1, 10), 2000)]
            if kind == "gang":
                gang = {"all_or_nothing": True, "enable_checkpoints": True}
                steps = [step(rng.randint(4, 12), rng.choice([3000, 6000]), **gang)]
            elif kind == "two":
                gang = {"all_or_nothing": True, "after": [0]}
                steps = [step(2, 1000), step(rng.randint(3, 8), 4000, **gang)]
            # No instance can be reached while all restart.
            with contextlib.suppress(IndexError):
                await self.cell.submit(steps, work_s=rng.uniform(0.3, 2.5))
            await pause(rng.expovariate(4.0))

    async def cause_faults(self):
        rng, end = self.rng, now() + LOAD_S
        while now() < end:
            await pause(rng.expovariate(1.0))
            worker = rng.choice(list(self.cell.workers.values()))
            name = rng.choice(["mode", "mode", "late", "lost", "crash", "one", "all"])
            if name == "mode":
                self.set_for_a_while(worker, "mode", rng.choice(["cut", "mute"]), "up")
            elif name in ("late", "lost"):
                self.set_for_a_while(worker, f"{name}_share", rng.choice([0.3, 0.9]), 0)
            elif name == "crash":
                worker.restart()
                self.cell.register(worker.name)
            else:
                names = list(self.cell.instances)
                await self.restart([rng.choice(names)] if name == "one" else names)

    def set_for_a_while(self, worker, attribute, value, usual):
        setattr(worker, attribute, value)
        loop, seconds = asyncio.get_running_loop(), self.rng.uniform(0.2, 6.0)
        loop.call_later(seconds, setattr, worker, attribute, usual)

    async def restart(self, names):
        for name in names:
            self.cell.kill(name)
        await pause(0.7)
        for name in names:
            await self.cell.restart(name)

    def end_faults(self):
        for worker in self.cell.workers.values():
            worker.mode, worker.late_share, worker.lost_share = "up", 0.0, 0.0

    async def watch(self, seconds):
        """Record the steps that have nothing running."""
        end = now() + seconds
        while now() < end:
            await pause(0.1)
            idle = {name: self.idle_since.get(name, now()) for name in self.idle()}
            for name, since in idle.items():
                longest_s = self.longest_idle_s.get(name, 0.0)
                self.longest_idle_s[name] = max(longest_s, now() - since)
            self.idle_since = idle

    def idle(self):
        lead = self.cell.lead()
        term = lead.instance.services["lead"].term if lead is not None else None
        if term is None:
            return []
        workers = self.cell.workers.values()
        active = {task.rpartition(".")[0] for w in workers for task, _ in w.runs}
        return [
            step.name
            for job in term.job_table.jobs.values()
            if not job.status.ended
            for step in job.steps.values()
            if step.ready_at is not None and step.remaining and step.name not in active
        ]


@pytest.mark.parametrize("seed", [1, 5, 18])
def test_no_step_stays_idle_after_faults_and_load_have_ended(seed):
    async def scenario():
        faulty = FaultyCell(seed)
        await faulty.cell.begin()
        await asyncio.gather(faulty.submit_jobs(), faulty.cause_faults())
        faulty.end_faults()
        await pause(FINISH_S)
        await faulty.watch(2 * MAX_IDLE_S)
        idle = {n: s for n, s in faulty.longest_idle_s.items() if s >= MAX_IDLE_S}
        assert idle == {}
        await faulty.cell.all_done(30.0)
        assert faulty.cell.checks.violations == []

    run_virtual(scenario())
