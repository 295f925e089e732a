"""State machine of the job table: no ready task is forgotten."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from firhook.cell import (
    NO_RESOURCES,
    AcceptedJob,
    CellConfig,
    EndedRow,
    JobSpec,
    JobState,
    JobTable,
    PollReply,
    Pool,
    Queue,
    Resources,
    RunEnd,
    RunningRow,
    StepSpec,
)
from firhook.cell.records import decode_record, encode_record

QUEUE = Queue("plan", "h", "/plan/", "pool", max_attempts=3)
CONFIG = CellConfig(1, (QUEUE,), (), (Pool("pool"),))
WORKERS = ("w0", "w1", "w2")


def a_step(count, **more):
    return StepSpec(count, Resources(1000, 100), **more)


JOBS = {
    "tasks": (a_step(2), a_step(1, after=(0,))),
    "gang": (a_step(3, gang=True, checkpoints=True), a_step(2, after=(0,), gang=True)),
    "copies": (a_step(2, duplicates=True),),
    "mixed": (a_step(1), a_step(1), a_step(2, after=(0, 1), gang=True)),
}
PICK = st.integers(0, 30)
ENDS = st.sampled_from(list(RunEnd))
GANG_ENDS = st.sampled_from([RunEnd.DONE, RunEnd.FAILED, RunEnd.GANG_TIMED_OUT])


class TableMachine(RuleBasedStateMachine):
    """A lead assigns tasks, hears of ends, loses workers and is replaced.

    Each task of a ready step is done, idle and offered to the rounds, or has a run
    that ends some day.
    """

    def __init__(self):
        super().__init__()
        self.table = JobTable(CONFIG)
        self.incarnations = dict.fromkeys(WORKERS, 1)
        self.ends = dict.fromkeys(WORKERS, 0)
        self.count = 0
        self.now = 100.0

    # What happens.

    def pick_run(self, pick, stored=True):
        runs = [
            run
            for worker in WORKERS
            for run in self.table.worker_runs.get(worker, {}).values()
            if run.stored or not stored
        ]
        return runs[pick % len(runs)] if runs else None

    def reply(self, worker, running=(), ended=()):
        rows = tuple(RunningRow(*run.key, "c", 50) for run in running)
        ends = []
        for run, end in ended:
            self.ends[worker] += 1
            ends.append(EndedRow(self.ends[worker], *run.key, end, "c"))
        reply = PollReply(self.incarnations[worker], 1.0, rows, tuple(ends))
        self.table.apply_poll_reply(worker, reply, self.now, self.now, self.now)
        self.table.ended_runs.clear()

    @rule(kind=st.sampled_from(sorted(JOBS)))
    def submit(self, kind):
        self.count += 1
        spec = JobSpec("x", JOBS[kind])
        accepted = AcceptedJob(f"{self.count:016x}", "a", QUEUE, self.now, spec)
        self.table.add(accepted, None, self.now, self.now)

    @rule(pick=PICK, spread=PICK)
    def assign(self, pick, spread):
        steps = list(self.table.open_steps.values())
        if not steps:
            return
        step = steps[pick % len(steps)]
        rows = []
        for i, task in enumerate(step.idle.values()):
            taken = {run.worker for run in task.runs}
            free = [w for w in WORKERS if w not in taken]
            if free:
                worker = free[(spread + i) % len(free)]
                rows.append((task, worker, self.incarnations[worker]))
        if rows and (not step.spec.gang or len(rows) == step.spec.count):
            self.table.plan(step, rows, self.now)

    @rule()
    def store(self):
        for run in self.table.take_planned():
            run.stored = True
            if run.stop_reason or run not in run.task.runs:
                self.table.void(run, "not_sent", self.now)

    @rule(pick=PICK, end=ENDS)
    def run_ends(self, pick, end):
        run = self.pick_run(pick)
        if run is None:
            return
        others = [
            r
            for r in self.table.worker_runs[run.worker].values()
            if r is not run and r.stored
        ]
        self.reply(run.worker, others, [(run, end)])

    @rule(pick=PICK, end=GANG_ENDS)
    def gang_ends(self, pick, end):
        run = self.pick_run(pick)
        if run is None or not run.task.step.spec.gang:
            return
        members = [r for r in run.task.step.runs() if r.number == run.number]
        if all(member.stored for member in members):
            for worker in WORKERS:
                here = [m for m in members if m.worker == worker]
                self.reply(worker, (), [(m, end) for m in here])

    @rule(pick=PICK)
    def start_is_refused(self, pick):
        run = self.pick_run(pick)
        if run is not None:
            self.table.void(run, "room", self.now)

    @rule(pick=PICK)
    def start_stays_unanswered(self, pick):
        run = self.pick_run(pick)
        if run is not None:
            run.copies.send(self.now)
            self.table.stop(run, "start_unanswered")
            if run.task.step.spec.gang:
                self.table.stop_gang(run.task.step, run.number)

    @rule()
    def stops_are_confirmed(self):
        self.table.take_to_stop()
        for worker in WORKERS:
            runs = list(self.table.worker_runs.get(worker, {}).values())
            for run in runs:
                if run.stored and run.stop_reason:
                    run.copies.take()
                    run.absence_conclusive_after = self.now - 1
            self.reply(worker, [r for r in runs if r.stored and not r.stop_reason])

    @rule(worker=st.sampled_from(WORKERS))
    def worker_restarts(self, worker):
        self.incarnations[worker] += 1
        self.ends[worker] = 0
        self.reply(worker)

    @rule(worker=st.sampled_from(WORKERS))
    def worker_is_lost(self, worker):
        self.now += 20.0
        self.table.expire_lease(worker, self.now, 6.0)

    @rule(pick=PICK)
    def run_may_be_copied(self, pick):
        run = self.pick_run(pick)
        if run is not None:
            self.table.allow_duplicate(run.task)

    @rule(pick=PICK)
    def cancel(self, pick):
        if self.table.jobs:
            self.table.cancel(list(self.table.jobs)[pick % len(self.table.jobs)], 1.0)

    @rule()
    def another_lead_takes_over(self):
        self.store()
        table = JobTable(CONFIG)
        for job in self.table.jobs.values():
            state = decode_record(JobState, encode_record(job.to_state(1)))
            table.add(job.accepted, state, self.now, self.now)
        self.table = table

    # What must hold.

    @invariant()
    def no_ready_task_is_forgotten(self):
        for job in self.table.jobs.values():
            if job.status.ended:
                assert any(job.runs())
                continue
            for step in job.steps.values():
                self.check_step(step)

    def check_step(self, step):
        ready = all(
            step.job.steps[0, number].remaining == 0 for number in step.spec.after
        )
        waiting = [t for t in step.tasks if not t.done and not t.runs]
        assert step.remaining == sum(not task.done for task in step.tasks)
        assert (step.ready_at is not None) == ready
        assert (step.name in self.table.open_steps) == (ready and bool(step.idle))
        if not step.spec.gang:
            assert all(task.index in step.idle for task in waiting)
        elif len(waiting) == step.spec.count:
            assert len(step.idle) == step.spec.count
        else:
            assert not step.idle
            if waiting:
                assert all(run.stop_reason for run in step.runs())

    @invariant()
    def use_is_that_of_the_runs(self):
        runs = [run for job in self.table.jobs.values() for run in job.runs()]
        for worker in WORKERS:
            here = [run for run in runs if run.worker == worker]
            assert set(self.table.worker_runs.get(worker, {}).values()) == set(here)
            used = self.table.worker_usage.get(worker, NO_RESOURCES)
            assert used == Resources(1000 * len(here), 100 * len(here))
        used = self.table.team_usage.get("a", NO_RESOURCES)
        assert used == Resources(1000 * len(runs), 100 * len(runs))

    @precondition(lambda self: self.table.jobs)
    @rule()
    def everything_ends_if_all_goes_well(self):
        """Without further failures all jobs end within a bounded number of rounds."""
        for _ in range(40):
            self.store()
            self.stops_are_confirmed()
            for step in list(self.table.open_steps.values()):
                rows = [
                    (task, WORKERS[i % len(WORKERS)], self.incarnations[WORKERS[i % 3]])
                    for i, task in enumerate(step.idle.values())
                    if not task.runs
                ]
                if rows:
                    self.table.plan(step, rows, self.now)
            self.store()
            for worker in WORKERS:
                runs = [
                    r
                    for r in self.table.worker_runs.get(worker, {}).values()
                    if not r.stop_reason
                ]
                self.reply(worker, (), [(run, RunEnd.DONE) for run in runs])
        assert self.table.jobs == {}


def test_rest_of_a_gang_that_lost_a_member_is_stopped_by_the_next_lead():
    """The stored state does not say that its runs were being stopped."""
    machine = TableMachine()
    machine.submit("gang")
    machine.assign(0, 0)
    machine.store()
    machine.start_is_refused(0)
    machine.another_lead_takes_over()
    machine.no_ready_task_is_forgotten()


TestTable = TableMachine.TestCase
TestTable.settings = settings(max_examples=200, stateful_step_count=30, deadline=None)
