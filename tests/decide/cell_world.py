"""Simulation of a zone's leads with a faulty log, workers and clocks.

The log, the workers and time are fakes; the states and decisions are real.
"""

import attrs

from firhook.decide.fair_share import TaskRequest, plan_placements
from firhook.decide.lease import HeldLease, ObservedLease
from firhook.decide.orders import LeadTerm, LeaseStatus, Timing
from firhook.decide.place import CapacityIndex, ResourceNeed, WorkerCapacity
from firhook.model import (
    Assigned,
    Assignment,
    Ended,
    Endpoint,
    Envelope,
    JobAccepted,
    JobCancelled,
    JobSpec,
    LeadClaimed,
    LeadRenewed,
    Order,
    Report,
    TaskReport,
    Verdict,
    ZoneFenced,
    running_digest,
)
from firhook.state import CellState, ZoneState

ZONE = "ikeja"
STREAM = f"zone.{ZONE}"
LEAD_LEASE_S = 6.0
TIMING = Timing(lease_s=9.0, hold_s=20.0, margin_s=1.0, sync_s=2.0)
CPUS = 4.0


@attrs.define
class FakeTask:
    """A run of an attempt on a worker."""

    state: str
    lease_until: float
    cpus: float
    reason: str = ""
    progress: float = 0.0


class FakeWorker:
    """A worker that follows the contract of :class:`WorkerClient`."""

    def __init__(self, name, rate):
        self.name = name
        self.rate = rate
        self.starts = []
        self.boots = 0
        self.restart(0.0)

    def restart(self, now):
        """Lose all tasks, the epoch and the clock."""
        self.boots += 1
        self.boot = f"{self.name}-{self.boots}"
        self.epoch = 0
        self.tasks = {}
        self.zero = now

    def clock(self, now):
        return (now - self.zero) * self.rate

    def tick(self, now):
        for task in self.tasks.values():
            if task.state == "running" and self.clock(now) >= task.lease_until:
                task.state, task.reason = "stopped", "lease lapsed"

    def running(self, now):
        self.tick(now)
        return [ref for ref, t in self.tasks.items() if t.state == "running"]

    def report(self, now):
        self.tick(now)
        return Report(
            self.name,
            self.clock(now),
            self.epoch,
            self.boot,
            tuple(
                TaskReport(*ref, t.state, t.reason, t.progress)
                for ref, t in self.tasks.items()
            ),
            brief=True,
        )

    def sync(self, order: Order, now):
        """Execute an order and return the report, or ``None`` if it is refused."""
        self.tick(now)
        clock = self.clock(now)
        if order.boot != self.boot or order.epoch < self.epoch:
            return None
        if clock > order.not_after:
            return None
        self.epoch = order.epoch
        for ref in order.forget:
            self.tasks.pop(tuple(ref), None)
        for stop in order.stop:
            task = self.tasks.get((stop.job_id, stop.index, stop.attempt))
            if task is not None and task.state == "running":
                task.state, task.reason = "stopped", stop.reason
        for ref in order.renew:
            task = self.tasks.get(tuple(ref))
            if task is not None and task.state == "running":
                task.lease_until = clock + order.lease_s
        for start in order.start:
            ref = (start.job_id, start.index, start.attempt)
            if ref not in self.tasks:
                self.starts.append(ref)
                until = clock + order.lease_s
                self.tasks[ref] = FakeTask("running", until, start.cpus)
        if order.renew_all and order.renew_all == self.digest():
            for task in self.tasks.values():
                task.lease_until = clock + order.lease_s
            return attrs.evolve(self.report(now), tasks=(), same=True)
        return self.report(now)

    def digest(self):
        if any(task.state != "running" for task in self.tasks.values()):
            return ""
        return running_digest(self.tasks)


class Lead:
    """One incarnation of an instance that claims and uses the zone's lead."""

    def __init__(self, world, lane, rate):
        self.world = world
        self.lane = lane
        self.rate = rate
        self.seq = 0
        self.states = {"cell": CellState((ZONE,)), STREAM: ZoneState(ZONE)}
        self.held, self.hold, self.seen = HeldLease(), HeldLease(), ObservedLease()
        self.sent = {}
        self.waiting = {}
        self.term = None

    @property
    def cell(self):
        return self.states["cell"]

    @property
    def zone(self):
        return self.states[STREAM]

    def now(self):
        return 1000.0 + self.world.now * self.rate

    def append(self, stream, body):
        """Send a record to the log under the next sequence number of the lane."""
        self.seq += 1
        self.waiting[stream] = self.seq
        if stream == "cell":
            self.sent[self.seq] = self.now()
        self.world.appends.append((stream, Envelope(self.lane, self.seq, body)))

    def read(self, stream):
        """Read the stream to its end."""
        state = self.states[stream]
        records = self.world.logs[stream]
        while state.next_offset < len(records):
            envelope = records[state.next_offset]
            verdict = state.apply(state.next_offset, envelope)
            self._note(stream, envelope, verdict)

    def _note(self, stream, envelope, verdict):
        body, applied = envelope.body, verdict is Verdict.APPLIED
        own = envelope.lane == self.lane and envelope.seq == self.waiting.get(stream)
        if isinstance(body, (LeadClaimed, LeadRenewed)) and applied:
            self.seen.read_at = self.now()
            if own:
                sent_at = self.sent[envelope.seq]
                self.held.renew(sent_at, LEAD_LEASE_S)
                self.hold.renew(sent_at, TIMING.hold_s)
                self._open_term(body.epoch)
        if own:
            del self.waiting[stream]
            if isinstance(body, ZoneFenced) and applied and self.term:
                self.term.settled = True

    def _open_term(self, epoch):
        if self.term is None or self.term.epoch != epoch:
            before = float("-inf") if epoch == 1 else self.now()
            self.term = LeadTerm(epoch, self.zone, self.cell, TIMING, before)

    def lease_status(self):
        now = self.now()
        held = self.held.is_held(now)
        return LeaseStatus(held, self.held.expires_at - now, self.hold.expires_at - now)

    def campaign(self):
        """Claim or renew, as the members role does."""
        lead = self.cell.leads[ZONE]
        self.waiting.pop("cell", None)
        if lead.instance == self.lane:
            self.append(
                "cell", LeadRenewed(ZONE, lead.epoch, self.lane, (self.lane,), 1)
            )
        elif lead.epoch == 0 or self.seen.has_expired(
            self.now(), LEAD_LEASE_S, TIMING.margin_s
        ):
            self.append(
                "cell", LeadClaimed(ZONE, lead.epoch + 1, self.lane, lead.offset)
            )

    def give_up_append(self):
        """Stop waiting for the zone's append, whose outcome is unknown."""
        if self.waiting.pop(STREAM, None) is not None and self.term:
            self.term.settled = False

    def decide(self):
        """Append the next records: the fence, ends or assignments."""
        if self.term is None or not self.held.is_held(self.now()):
            return
        if STREAM in self.waiting:
            return
        term = self.term
        term.update_workers(self.world.endpoints())
        if not term.settled:
            self.append(STREAM, ZoneFenced(term.epoch, self.lane))
            return
        endings = term.endings(self.now())
        if endings:
            self.append(STREAM, Ended(term.epoch, endings))
            return
        items = tuple(self._place())
        if items:
            self.append(STREAM, Assigned(term.epoch, items))

    def _place(self):
        capacities = []
        for view in self.term.workers.values():
            if view.report is None:
                continue
            capacity = WorkerCapacity(view.name, "r", CPUS, 4096, 0)
            for ref in self.zone.live.get(view.name, {}):
                capacity.reserve(ResourceNeed.of(self.cell.jobs[ref[0]].job))
            capacities.append(capacity)
        requests = []
        for entry in self.cell.open_jobs(ZONE):
            tasks = self.zone.tasks.get(entry.job.key, {})
            over = {"done", "cancelled"}
            pending = tuple(
                i
                for i in range(entry.job.tasks)
                if i not in tasks or (tasks[i].outcome and tasks[i].outcome not in over)
            )
            if pending and not entry.cancelled:
                requests.append(TaskRequest(entry.job, pending))
        left = {"t": 100}
        plan = plan_placements(
            requests,
            CapacityIndex(capacities),
            {},
            {},
            left,
            ResourceNeed(CPUS, 4096, 0),
        )
        for p in plan.placements:
            last = self.zone.tasks.get(p.job_id, {}).get(p.index)
            attempt = last.attempt + 1 if last else 1
            yield Assignment(p.job_id, p.index, attempt, p.worker)


class World:
    """The log, the workers, the instances and the true time."""

    def __init__(self, worker_rates=(1.0, 1.005), lead_rates=(1.0, 0.995)):
        self.now = 0.0
        self.logs = {"cell": [], STREAM: []}
        self.appends = []
        self.delayed_orders = []
        self.truth = {"cell": CellState((ZONE,)), STREAM: ZoneState(ZONE)}
        self.workers = {
            f"w{i}": FakeWorker(f"w{i}", rate) for i, rate in enumerate(worker_rates)
        }
        self.runs = 0
        self.leads = [self.new_lead(rate) for rate in lead_rates]
        self.jobs = 0

    def new_lead(self, rate):
        self.runs += 1
        return Lead(self, f"i{self.runs}#1", rate)

    def endpoints(self):
        return [
            Endpoint(w, "worker", ZONE, w, cpus=CPUS, memory_mb=4096)
            for w in self.workers
        ]

    def land(self, index):
        """Let an append reach the log."""
        stream, envelope = self.appends.pop(index)
        self.logs[stream].append(envelope)
        state = self.truth[stream]
        state.apply(state.next_offset, envelope)

    def submit(self, tasks=1, cpus=2.0, exclusive=True):
        self.jobs += 1
        job = JobSpec(f"j{self.jobs}", "t", tasks, cpus, 256, exclusive=exclusive)
        self.appends.append(
            ("cell", Envelope("caller", self.jobs, JobAccepted(job, ZONE)))
        )
        self.land(-1)
        return job.key

    def cancel(self, key):
        body = JobCancelled((key,))
        self.appends.append(("cell", Envelope(f"canceller-{key}", 1, body)))
        self.land(-1)

    def deliver(self, lead, name, order, answered=True):
        """Deliver an order to a worker and its answer to the lead, unless lost."""
        report = self.workers[name].sync(order, self.now)
        if report is None or not answered:
            lead.term.note_unreachable(name)
        else:
            lead.term.note_report(name, report, lead.now())

    def exchange(self, lead, name, fault):
        """Have a lead poll a worker or send it an order."""
        term = lead.term
        if term is None or name not in term.workers:
            return
        view = term.workers[name]
        if view.report is None:
            if fault == "ok":
                report = self.workers[name].report(self.now)
                term.note_report(name, report, lead.now())
            return
        order = term.next_order(name, lead.lease_status(), lead.now())
        if order is None:
            return
        if fault in ("late", "twice"):
            self.delayed_orders.append((name, order))
        if fault in ("late", "cut"):
            term.note_unreachable(name)
        else:
            self.deliver(lead, name, order, answered=fault != "unanswered")

    def check(self):
        """Check the invariants against the true runs and the true log."""
        zone = self.truth[STREAM]
        running = {}
        for worker in self.workers.values():
            refs = worker.running(self.now)
            used = sum(worker.tasks[ref].cpus for ref in refs)
            assert used <= CPUS, f"{worker.name} runs {used} of {CPUS} processors"
            for ref in refs:
                running.setdefault(ref[:2], []).append(worker.name)
                assert zone.is_live(ref), f"{ref} runs, but the log has its end"
        for task, workers in running.items():
            assert len(workers) == 1, f"{task} runs at {workers}"
        for worker in self.workers.values():
            assert len(set(worker.starts)) == len(worker.starts), "started twice"
            if worker.starts:
                job, index, attempt = worker.starts[-1]
                assert zone.tasks[job][index].attempt >= attempt
