"""A simulated cell whose workers differ in speed and whose estimates are inaccurate.

The loads are those of deployment B of docs/design/crowded-cells.md, scaled to the
number of workers.
"""

import math
import random
from collections import Counter

import attrs

from firhook.cell import (
    CellConfig,
    JobTable,
    Pool,
    Queue,
    Resources,
    RunEnd,
    RunningRow,
)
from firhook.decide.estimates import Estimates
from firhook.decide.schedule import UrgentHeadroom, WorkerView, urgent_headroom_m
from tests.decide.cell_simulation import (
    CAPACITY,
    END_REPORT_S,
    RACK_SIZE,
    START_S,
    Kind,
    Simulation,
)

SHORT = Queue("short", "h", "/short/", "pool", 0, 4, 1.5, 0.25)
PLANS = Queue("plans", "h", "/plans/", "pool", 1, 4, 2.2, 1.0)
BULK = Queue("bulk", "h", "/bulk/", "pool", 2, 4, 4.0, 3.0)
#: The rates are for a worker of 32 cores; the needs are half of those of B, as are the
#: cores.
UNEVEN_KINDS = (
    Kind(SHORT, 0.25, 1.0, 3, 8, 0.68, 4950, 2000),
    Kind(PLANS, 0.0085, 1.0, 20, 40, 5.3, 9000, 5000, gang=True),
    Kind(BULK, 0.022, 1.0, 25, 60, 2.3, 3450, 2000),
)
ESTIMATE_ERRORS = {"short": 0.5, "plans": 0.9, "bulk": 0.9}
POLL_INTERVAL_S = 0.5


def quarter_slow(name):
    """Return the speed of a worker: 0.55 for a quarter of them, 1.2 for the others."""
    return 0.55 if int(name[1:]) % 4 == 1 else 1.2


@attrs.define(slots=False)
class UnevenCell(Simulation):
    """A cell that learns from the progress and the ends of its runs.

    :param speed_of: the true speed of a worker, by name.
    :param learns: whether the learned estimates are used.
    :param learns_durations: whether those of durations are.
    :param whole_tasks: whether the headroom for urgent work is given in whole tasks.
    :ivar ended: jobs by queue and outcome: in time, late or worthless.
    :ivar decisions: the placements in order.
    """

    workers: int = 44
    kinds: tuple = UNEVEN_KINDS
    team_limit_m: int = 0
    speed_of: object = quarter_slow
    learns: bool = True
    learns_durations: bool = True
    whole_tasks: bool = True
    headroom: UrgentHeadroom = attrs.field(factory=UrgentHeadroom)
    errors: dict = attrs.field(factory=lambda: ESTIMATE_ERRORS)
    ended: Counter = attrs.field(factory=Counter)
    decisions: list = attrs.field(factory=list)
    works: dict = attrs.field(factory=dict)
    true_durations: dict = attrs.field(factory=dict)

    def __attrs_post_init__(self):
        self.kinds = tuple(
            attrs.evolve(kind, rate=kind.rate * self.workers) for kind in self.kinds
        )
        super().__attrs_post_init__()
        queues = (SHORT, PLANS, BULK)
        self.config = CellConfig(1, queues, self.config.teams, (Pool("pool"),))
        self.table = JobTable(self.config)
        self.estimates = Estimates()
        for name in self.names:
            self.at(self.now + POLL_INTERVAL_S, self._poll, name)

    def _draw_step(self, kind, number):
        spec = super()._draw_step(kind, number)
        rng = self.rngs[kind.queue.name]
        error = self.errors[kind.queue.name]
        work_s = spec.estimate_s
        estimate_s = work_s * rng.uniform(1 - error, 1 + error)
        gang = spec.count > 1 and (kind.gang or rng.random() < 1 / 3)
        gang = gang and kind.queue is not BULK
        self._next_work_s = work_s
        return attrs.evolve(spec, estimate_s=max(estimate_s, 0.05), gang=gang)

    def submit(self, kind, steps, team=0):
        job = super().submit(kind, steps, team)
        self.works[job.id] = self._next_work_s
        return job

    def views(self):
        views = {}
        for i, name in enumerate(self.names):
            used = self.table.worker_usage.get(name, Resources())
            views[name] = WorkerView(
                name,
                1,
                "pool",
                f"r{i // RACK_SIZE}",
                frozenset(),
                CAPACITY.subtract(used),
                speed=self.estimates.speeds.speed(name) if self.learns else 1.0,
                urgent_cpu_m=urgent_headroom_m(CAPACITY.cpu_m, self.urgent_need_m),
            )
        if self.whole_tasks:
            capacity_m = dict.fromkeys(self.names, CAPACITY.cpu_m)
            self.headroom.apply(views.values(), capacity_m, self.urgent_need_m)
        return views

    def round(self):
        if self.learns and self.learns_durations:
            self.estimates.durations.refresh(self.table, self.now)
        super().round()

    def _start(self, placement):
        step = placement.step
        self.decisions.append(
            (step.name, tuple((task.index, name) for task, name, _ in placement.tasks))
        )
        runs = self.table.plan(step, placement.tasks, self.now)
        if step.job.queue.priority == 0:
            self.urgent_need_m += int((step.spec.need.cpu_m - self.urgent_need_m) * 0.1)
        rng = random.Random(f"{self.seed}/{step.name}")
        base_s = self.works[step.job.id]
        works = [base_s * rng.uniform(0.8, 1.2) for _ in step.tasks]
        if step.job.queue is BULK:
            works = [w * (7 if rng.random() < 0.03 else 1) for w in works]
        durations = [works[r.task.index] / self.speed_of(r.worker) for r in runs]
        if step.spec.gang:
            durations = [max(durations)] * len(runs)
        for run, took_s in zip(runs, durations, strict=True):
            run.stored = run.confirmed = True
            run.copies.send(self.now)
            run.started_at = self.now + START_S
            self.true_durations[run.key] = took_s
            self.at(run.started_at + took_s + END_REPORT_S, self._end, run)

    def _poll(self, now, name):
        self.at(now + POLL_INTERVAL_S, self._poll, name)
        runs = self.table.worker_runs.get(name, {}).values()
        for run in runs:
            done = (now - run.started_at) / self.true_durations[run.key]
            percent = int(min(max(100 * done, 0), 99))
            run.update_progress(RunningRow(*run.key, "", percent), now)
        self.estimates.record_poll(runs, (), now)

    def _end(self, now, run):
        if run not in run.task.runs:
            return
        job, step = run.task.step.job, run.task.step
        del self.true_durations[run.key]
        self.table.end(run, RunEnd.DONE, "", now, now)
        self.estimates.record_poll((), [(run, RunEnd.DONE)], now)
        if step.remaining == 0 and not any(step.runs()):
            queue = job.queue
            objective_s = queue.slack_factor * self.works.pop(job.id) + queue.target_s
            factor = (now - job.accepted_at) / objective_s
            outcome = "in time" if factor <= 1 else "late" if factor <= 3 else "lost"
            self.ended[queue.name, outcome] += 1

    def _record_idle_steps(self):
        pass

    def share_in_time(self, queue):
        """Return the part of a queue's jobs that ended in time."""
        total = sum(n for (name, _), n in self.ended.items() if name == queue)
        return self.ended[queue, "in time"] / max(total, 1)

    def mean_error(self, of=math.log):
        """Return the mean error of the learned speeds, as a logarithm."""
        speeds = self.estimates.speeds
        errors = [
            abs(of(speeds.speed(name)) - of(self.speed_of(name))) for name in self.names
        ]
        return sum(errors) / len(errors)
