"""Simulation of one zone with a healthy lead, to test the outcome of its decisions.

Nothing fails except what a test makes fail.  The test advances ``now``; each call
of ``round`` is one round of the lead with all its orders executed.
"""

import attrs

from firhook.decide.orders import LeadTerm, LeaseStatus, Timing
from firhook.decide.rounds import Scheduler
from firhook.model import (
    Assigned,
    Ended,
    Endpoint,
    Envelope,
    JobAccepted,
    JobCancelled,
    JobsEnded,
    JobsNoted,
    JobSpec,
    LeadClaimed,
    Report,
    Row,
    RowsChanged,
    TaskReport,
    Verdict,
    ZoneFenced,
    encode_envelope,
)
from firhook.state import CellState, ConfigState, ZoneState

ZONE = "ikeja"
TIMING = Timing(lease_s=15.0, hold_s=45.0, margin_s=1.0, sync_s=2.0)
HEALTHY = LeaseStatus(held=True, lease_left_s=6.0, hold_left_s=45.0)


def fleet(count, cpus=32.0, memory_mb=65536, per_rack=6, accelerators=0, zone=ZONE):
    """Return workers of equal size in racks."""
    return [
        Endpoint(
            f"w{i:03}",
            "worker",
            zone,
            "-",
            rack=f"r{i // per_rack:03}",
            cpus=cpus,
            memory_mb=memory_mb,
            accelerators=accelerators,
        )
        for i in range(count)
    ]


@attrs.define
class Run:
    """A run of a task on a worker."""

    ref: tuple
    started: float
    ends: float
    progress: float
    state: str = "running"
    reason: str = ""


class ZoneSimulation:
    """The states, the decisions and the workers of one zone."""

    def __init__(self, workers, teams):
        self.now = 0.0
        self.zone = ZoneState(ZONE)
        self.cell = CellState((ZONE,))
        self.config = ConfigState()
        self.appends, self.bytes, self.starts = 0, 0, 0
        self._seq = 0
        self._set_lists(teams)
        self.apply(self.cell, LeadClaimed(ZONE, 1, "lead", -1))
        self.term = LeadTerm(1, self.zone, self.cell, TIMING, float("-inf"))
        self.scheduler = Scheduler(self.zone, self.cell, self.config)
        self.apply(self.zone, ZoneFenced(1, "lead"))
        self.term.settled = True
        self.workers = {e.name: e for e in workers}
        self.runs = {e.name: {} for e in workers}
        self.fails = lambda worker, ref: False
        self.real_run_s = lambda job, index: job.run_s
        self.started_at, self.ended = {}, []
        self.wasted_s = 0.0
        self._changed_workers = set(self.runs)
        self._report_all()

    def _set_lists(self, teams):
        rows = []
        for team, values in teams.items():
            options = {"share": "1", "limit": "100000", "urgent": "yes", **values}
            rows.append(Row("plans", team, options))
            rows.append(Row("teams", team, {"plan": team}))
        self.apply(self.config, RowsChanged(self.config.version, tuple(rows)))

    def change_limit(self, team, limit):
        row = Row("plans", team, {"share": "1", "limit": str(limit)})
        self.apply(self.config, RowsChanged(self.config.version, (row,)))

    def apply(self, state, body):
        self._seq += 1
        envelope = Envelope("lead", self._seq, body)
        self.appends += 1
        self.bytes += len(encode_envelope(envelope))
        return state.apply(state.next_offset, envelope)

    def submit(self, job_id, team="a", **fields):
        job = JobSpec(job_id, team, **fields)
        verdict = self.apply(self.cell, JobAccepted(job, ZONE, self.now))
        assert verdict is Verdict.APPLIED
        return job.key

    def cancel(self, *keys):
        self.apply(self.cell, JobCancelled(keys))

    def drain_worker(self, worker):
        self.workers[worker] = attrs.evolve(self.workers[worker], leaving=True)

    # -- workers -----------------------------------------------------------

    def _finish_runs(self, worker):
        for run in self.runs[worker].values():
            if run.state == "running" and self.now >= run.ends:
                run.state, run.progress = "done", 1.0
                self._changed_workers.add(worker)

    def _report(self, worker):
        tasks = tuple(
            TaskReport(*r.ref, r.state, r.reason, r.progress)
            for r in self.runs[worker].values()
        )
        report = Report(worker, self.now, 1, "boot", tasks)
        self.term.note_report(worker, report, self.now)

    def _report_all(self):
        self.term.update_workers(self.workers.values())
        for worker in self.runs:
            self._finish_runs(worker)
        for worker in self._changed_workers:
            self._report(worker)
        self._changed_workers.clear()

    def _execute_order(self, worker):
        order = self.term.next_order(worker, HEALTHY, self.now)
        runs = self.runs[worker]
        for ref in order.forget:
            del runs[tuple(ref)]
        for stop in order.stop:
            run = runs[(stop.job_id, stop.index, stop.attempt)]
            if run.state == "running":
                run.state, run.reason = "stopped", stop.reason
                job = self.cell.jobs[stop.job_id].job
                ran = self.now - run.started
                if job.run_s:
                    run.progress = min(run.progress + ran / job.run_s, 0.999)
        for start in order.start:
            self._start(worker, start)
        if order.forget or order.stop or order.start:
            self._changed_workers.add(worker)

    def _start(self, worker, start):
        ref = (start.job_id, start.index, start.attempt)
        job = self.cell.jobs[start.job_id].job
        total_s = self.real_run_s(job, start.index) or float("inf")
        ends = self.now + total_s * (1 - start.progress)
        run = Run(ref, self.now, ends, start.progress)
        if self.fails(worker, ref):
            run.state, run.reason = "failed", "exit status 1"
        self.runs[worker][ref] = run
        self.starts += 1
        self.started_at.setdefault(ref[:2], self.now)

    # -- the lead's round ------------------------------------------------------

    def headroom_by_team(self):
        teams = {e.job.team for e in self.cell.open_jobs(ZONE)}
        return {
            t: max(self.config.plan_of(t).limit - self.zone.running.get(t, 0), 0)
            for t in teams
        }

    def round(self):
        """Run one round and execute every order that changes something."""
        self._report_all()
        endings = self.term.endings(self.now)
        if endings:
            self.apply(self.zone, Ended(1, endings))
            self.ended += endings
            self.scheduler.endings.record(endings, self.now)
            for mark in self.scheduler.endings.worker_marks(endings, self.now):
                self.apply(self.zone, mark)
        ended = self.scheduler.endings.ended_jobs()
        if ended:
            self.apply(self.cell, JobsEnded(ZONE, 1, ended))
        limits = {t: self.config.plan_of(t).limit for t in self.zone.running}
        self.scheduler.mark_stops(self.term, limits, self.now)
        items, notes = self.scheduler.plan(
            self.term, self.headroom_by_team(), self.now, self.now
        )
        if items:
            self.apply(self.zone, Assigned(1, items))
        if notes:
            self.apply(self.zone, JobsNoted(notes))
        affected = {i.worker for i in items}
        affected |= {
            w for w, ref, _ in self.zone.live_attempts() if ref in self.term.stopping
        }
        affected |= {w for w, runs in self.runs.items() if self._idle(runs)}
        for entry in self.cell.open_jobs(ZONE):
            if entry.cancelled:
                affected |= {w for w, ref, _ in self.zone.live_attempts()}
        for worker in sorted(affected):
            self._execute_order(worker)
        return items

    def _idle(self, runs):
        return any(r.state != "running" for r in runs.values())

    def run(self, seconds, step=1.0):
        """Run rounds for a number of simulated seconds."""
        end = self.now + seconds
        while self.now < end - 1e-9:
            self.round()
            self.check()
            self.now += step
        self.round()
        self.check()

    def check(self):
        """Check that no worker is overcommitted; return the running tasks by team."""
        by_team = {}
        for worker, runs in self.runs.items():
            jobs = [
                self.cell.jobs[r.ref[0]].job
                for r in runs.values()
                if r.state == "running"
            ]
            e = self.workers[worker]
            assert sum(j.cpus for j in jobs) <= e.cpus + 1e-6, worker
            assert sum(j.memory_mb for j in jobs) <= e.memory_mb, worker
            assert sum(j.accelerators for j in jobs) <= e.accelerators, worker
            for job in jobs:
                by_team[job.team] = by_team.get(job.team, 0) + 1
        return by_team

    def cpus_by_team(self):
        """Return the processors used by each team's running tasks."""
        used = {}
        for _, ref, _ in self.zone.live_attempts():
            job = self.cell.jobs[ref[0]].job
            used[job.team] = used.get(job.team, 0.0) + job.cpus
        return used

    def running(self, key):
        """Return the worker of each running task of a job."""
        return {
            run.ref[1]: worker
            for worker, runs in self.runs.items()
            for run in runs.values()
            if run.ref[0] == key and run.state == "running"
        }

    def outcome(self, key):
        return self.cell.jobs[key].ended
