"""State machine of leads, workers and log under combined faults."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from tests.decide.cell_world import STREAM, World

FAULTS = st.sampled_from(["ok", "ok", "ok", "late", "twice", "cut", "unanswered"])
WHO = st.integers(0, 1)
WORKER = st.sampled_from(["w0", "w1"])
SECONDS = st.sampled_from([0.1, 0.5, 2.0])
LANDS = st.sampled_from(["yes", "yes", "yes", "late", "twice", "unread"])


class CellMachine(RuleBasedStateMachine):
    """Two instances compete for the lead of a zone with two workers.

    Instances are killed, or paused past their lease with orders and appends that
    arrive much later; workers restart without their state; answers are lost after
    their effect; the log accepts nothing for a while.  No task may run on two workers
    at once, no worker may be overcommitted, and no task may run after its end was
    recorded.
    """

    def __init__(self):
        super().__init__()
        self.world = World()

    @initialize(cpus=st.sampled_from([1.0, 2.0, 3.0]))
    def first_lead(self, cpus):
        self.world.submit(2, cpus)
        self.lead_works(0, "ok", "ok", 0.5)
        self.lead_works(0, "ok", "ok", 0.5)

    @rule(seconds=st.sampled_from([0.1, 1.0, 3.0, 9.0, 20.0]))
    def time_passes(self, seconds):
        self.world.now += seconds

    @rule(tasks=st.integers(1, 3), cpus=st.sampled_from([1.0, 2.0, 3.0]))
    def submit(self, tasks, cpus):
        self.world.submit(tasks, cpus)

    @rule(data=st.data())
    def cancel(self, data):
        jobs = self.world.jobs
        if jobs:
            self.world.cancel(f"t/j{data.draw(st.integers(1, jobs))}")

    @rule(who=WHO, lands=LANDS)
    def campaign(self, who, lands):
        lead = self.world.leads[who]
        lead.read("cell")
        lead.campaign()
        self._land_last("cell", lands)
        if lands != "unread":
            lead.read("cell")

    @rule(who=WHO, lands=LANDS)
    def decide(self, who, lands):
        lead = self.world.leads[who]
        lead.read("cell")
        lead.read(STREAM)
        before = len(self.world.appends)
        lead.decide()
        if len(self.world.appends) > before:
            self._land_last(STREAM, lands)
        if lands != "unread":
            lead.read(STREAM)

    @rule(who=WHO, lands=LANDS)
    def decide_blindly(self, who, lands):
        """A paused lead resumes with its old state."""
        before = len(self.world.appends)
        self.world.leads[who].decide()
        if len(self.world.appends) > before:
            self._land_last(STREAM, lands)

    def _land_last(self, stream, lands):
        appends = self.world.appends
        if not appends or appends[-1][0] != stream or lands == "late":
            return
        if lands == "twice":
            appends.append(appends[-1])
        self.world.land(len(appends) - 1)

    @rule(who=WHO)
    def give_up_append(self, who):
        self.world.leads[who].give_up_append()

    @rule(data=st.data())
    def append_lands_late(self, data):
        if self.world.appends:
            last = len(self.world.appends) - 1
            self.world.land(data.draw(st.integers(0, last)))

    @rule(who=WHO, worker=WORKER, fault=FAULTS)
    def talk(self, who, worker, fault):
        self.world.exchange(self.world.leads[who], worker, fault)

    @rule(who=WHO, first=FAULTS, second=FAULTS, seconds=SECONDS)
    def lead_works(self, who, first, second, seconds):
        """A full round of a healthy lead, with faults only at its workers."""
        lead = self.world.leads[who]
        self.campaign(who, "yes")
        for _ in range(4):
            self.decide(who, "yes")
        for name, fault in zip(self.world.workers, (first, second), strict=True):
            self.world.exchange(lead, name, fault)
        self.world.now += seconds

    @rule(who=WHO, first=FAULTS, second=FAULTS, seconds=SECONDS)
    def lead_works_on(self, who, first, second, seconds):
        self.lead_works(who, first, second, seconds)
        self.lead_works(who, first, second, seconds)

    @rule(who=WHO, fault=FAULTS)
    def other_takes_over(self, who, fault):
        """The lead is inactive past its lease; the other instance claims."""
        self.world.now += 8.0
        self.lead_works(who, "ok", "ok", 0.2)
        self.lead_works(who, fault, fault, 0.2)

    @rule(who=WHO, fault=FAULTS)
    def paused_lead_wakes(self, who, fault):
        """It sends orders and appends from its old state before it reads."""
        lead = self.world.leads[who]
        for name in self.world.workers:
            self.world.exchange(lead, name, fault)
        self.decide_blindly(who, "yes")

    @rule(worker=WORKER)
    def worker_answers_after_restart(self, worker):
        """It restarts between two rounds, with orders in transit."""
        self.worker_restarts(worker)
        for lead in self.world.leads:
            self.world.exchange(lead, worker, "cut")
            self.world.exchange(lead, worker, "ok")

    @rule(data=st.data(), keep=st.booleans())
    def order_arrives_late(self, data, keep):
        delayed_orders = self.world.delayed_orders
        if delayed_orders:
            # The latest are drawn most often, since old ones are refused anyway.
            at = (
                len(delayed_orders)
                - 1
                - data.draw(st.integers(0, min(len(delayed_orders) - 1, 3)))
            )
            name, order = delayed_orders[at] if keep else delayed_orders.pop(at)
            self.world.workers[name].sync(order, self.world.now)

    @rule(worker=WORKER)
    def worker_restarts(self, worker):
        self.world.workers[worker].restart(self.world.now)

    @rule(data=st.data(), worker=WORKER)
    def task_ends(self, data, worker):
        worker = self.world.workers[worker]
        running = worker.running(self.world.now)
        if running:
            ref = data.draw(st.sampled_from(running))
            worker.tasks[ref].state = data.draw(st.sampled_from(["done", "failed"]))

    @rule(who=WHO)
    def instance_dies(self, who):
        rate = self.world.leads[who].rate
        self.world.leads[who] = self.world.new_lead(rate)

    @invariant()
    def what_must_hold(self):
        self.world.check()


TestCell = CellMachine.TestCase
TestCell.settings = settings(max_examples=60, stateful_step_count=60)
