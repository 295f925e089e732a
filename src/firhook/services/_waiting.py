"""Follows, logs and reports the steps that wait during a lead's term."""

from collections import Counter
from collections.abc import Callable, Container, Mapping
from typing import Any

from firhook.cell import JobTable, Replica, Resources
from firhook.clock import boot_time
from firhook.decide.job_report import StepReport, report_steps
from firhook.decide.schedule import WaitReason
from firhook.decide.tickets import TicketTable
from firhook.decide.unknown_jobs import UnknownJob, UnknownJobs, UnknownReason
from firhook.decide.waiting import (
    ReasonTotal,
    RoundView,
    WaitingStep,
    WaitLimits,
    WaitMonitor,
)
from firhook.logs import log
from firhook.platform.instance import Bounds
from firhook.services._events import WaitingTotals

#: The interval at which the lead logs the steps that have waited longest.
_LOG_INTERVAL_S = 1.0
#: The shortest interval at which the steps are observed for queries.
_MIN_INTERVAL_S = 0.25
#: Shorter waits are not logged: advice may take a second, and work that is not
#: urgent waits some time for capacity.
_MIN_LOGGED_WAIT_S = 3.0
#: Limits of a log line, and of the overdue steps that are logged at a time.
_MAX_LOGGED_STEPS = 5
_MAX_LOGGED_JOBS = 10
_MAX_LOGGED_OVERDUE = 5
#: Limits of the description of one job.
_MAX_JOB_STEPS = 20
_MAX_STEP_RUNS = 10
#: The interval at which an unchanged number of unknown jobs is logged again.
_UNKNOWN_INTERVAL_S = 10.0
#: The interval at which some jobs of the replica are compared with the job table, and
#: their number.  Rounds may follow each other within milliseconds.
_SCAN_INTERVAL_S = 0.1
_JOBS_PER_SCAN = 500


class WaitingReporter:
    """Logs which steps wait, and answers queries about them.

    :param notified: the ids of all jobs that the term was notified of.
    :param round_view: returns what the last round saw.
    :ivar began_at: when the term began.
    """

    def __init__(
        self,
        job_table: JobTable,
        replica: Replica,
        notified: Container[str],
        tickets: TicketTable,
        bounds: Bounds,
        round_view: Callable[[], RoundView],
    ) -> None:
        self.began_at = boot_time()
        self._job_table = job_table
        limits = WaitLimits(bounds.lease_s, bounds.job_visibility_s)
        self._monitor = WaitMonitor(job_table, tickets, limits)
        self._unknown = UnknownJobs(
            replica, job_table.jobs, notified, bounds.job_visibility_s
        )
        self._round_view = round_view
        self._observed_at = float("-inf")
        self._described_at = (float("-inf"), 0)
        self._described: dict[str, Any] = {}
        self._scanned_at = float("-inf")
        self._logged_at = float("-inf")
        self._unknown_logged_at = float("-inf")
        self._unknown_logged: Counter[UnknownReason] = Counter()

    def update(self, now: float) -> None:
        """Compare some jobs with the replica, and log what waits, if either is due."""
        self._scan(now)
        if now - self._logged_at < _LOG_INTERVAL_S:
            return
        self._logged_at = now
        self._observe(now)
        self._log_waiting()
        self._log_overdue()
        self._log_unknown(now)

    def totals(self) -> WaitingTotals:
        """Return the number of waiting steps and of unknown jobs, by reason."""
        now = self._refresh()
        found, unknown = self._monitor.totals(), self._unknown.counts(now)
        return WaitingTotals(
            {reason.value: found.get(reason, ReasonTotal()) for reason in WaitReason},
            {reason.value: unknown[reason] for reason in UnknownReason},
        )

    def describe(self, limit: int) -> dict[str, Any]:
        """Return what waits, for queries.

        :param limit: largest number of steps to describe.
        """
        now = self._refresh()
        if self._described_at != (self._observed_at, limit):
            self._described_at = (self._observed_at, limit)
            self._described = self._describe(limit, now)
        return self._described

    def _describe(self, limit: int, now: float) -> dict[str, Any]:
        report, view = self._monitor.report(limit), self._monitor.view
        counts = self._unknown.counts(now)
        unknown = self._unknown.oldest(_MAX_LOGGED_JOBS, now)
        return {
            "jobs": len(self._job_table.jobs),
            "runs": sum(len(r) for r in self._job_table.worker_runs.values()),
            "workers_answering": len(view.answering),
            "workers_usable": len(view.workers),
            "reasons": describe_totals(report.totals),
            "steps": [describe_step(row) for row in report.rows],
            "unknown_jobs": {
                "count": counts.total(),
                "reasons": {reason.value: count for reason, count in counts.items()},
                "jobs": [describe_unknown(job, now) for job in unknown],
            },
        }

    def describe_job(self, job_id: str) -> dict[str, Any]:
        """Return what each step of a job does or waits for, for queries."""
        now = self._refresh()
        job = self._job_table.jobs.get(job_id)
        if job is None:
            unknown = self._unknown.find(job_id, now)
            if unknown is None:
                return {"known": False}
            return {"known": False, "unknown": describe_unknown(unknown, now)}
        steps = report_steps(
            job,
            self._monitor.steps,
            self._monitor.view.answering,
            _MAX_JOB_STEPS,
            _MAX_STEP_RUNS,
        )
        return {
            "known": True,
            "status": job.status.name.lower(),
            "team": job.team,
            "queue": job.queue.name,
            "age_s": round(now - job.accepted_at, 2),
            "step_count": len(job.steps),
            "steps": [self._describe_job_step(step, now) for step in steps],
        }

    def _describe_job_step(self, report: StepReport, now: float) -> dict[str, Any]:
        step = report.step
        row = self._monitor.row_of(step)
        return {
            "step": step.name,
            "phase": report.phase.value,
            "after": report.blocked_by,
            "tasks": step.spec.count,
            "left": step.remaining,
            "run_count": report.run_count,
            "runs": [
                {
                    "task": shown.run.task.index,
                    "run": shown.run.number,
                    "worker": shown.run.worker,
                    "phase": shown.phase.value,
                    "since_s": round(now - shown.run.started_at, 2),
                }
                for shown in report.runs
            ],
            "waiting": None if row is None else describe_step(row),
        }

    def _refresh(self) -> float:
        """Observe the steps, unless that was done a moment ago; return the time."""
        now = boot_time()
        if now - self._observed_at >= _MIN_INTERVAL_S:
            self._scan(now)
            self._observe(now)
        return now

    def _scan(self, now: float) -> None:
        if now - self._scanned_at >= _SCAN_INTERVAL_S:
            self._scanned_at = now
            self._unknown.scan(_JOBS_PER_SCAN, now)

    def _observe(self, now: float) -> None:
        self._observed_at = now
        self._monitor.observe(self._round_view(), now)

    def _log_waiting(self) -> None:
        report = self._monitor.report(_MAX_LOGGED_STEPS, _MIN_LOGGED_WAIT_S)
        if report.rows:
            log(
                "steps.waiting",
                steps=[describe_step(row) for row in report.rows],
                reasons=describe_totals(report.totals),
            )

    def _log_overdue(self) -> None:
        for row in self._monitor.take_overdue(_MAX_LOGGED_OVERDUE):
            log("step.overdue", level="warning", **describe_step(row))

    def _log_unknown(self, now: float) -> None:
        counts = self._unknown.counts(now)
        unchanged = counts == self._unknown_logged
        if unchanged and now - self._unknown_logged_at < _UNKNOWN_INTERVAL_S:
            return
        self._unknown_logged, self._unknown_logged_at = counts, now
        if counts:
            oldest = self._unknown.oldest(_MAX_LOGGED_JOBS, now)
            log(
                "jobs.unknown",
                level="warning",
                reasons={reason.value: count for reason, count in counts.items()},
                jobs=[describe_unknown(job, now) for job in oldest],
            )


def describe_step(row: WaitingStep) -> dict[str, Any]:
    """Return the fields of a waiting step for logs and queries."""
    spec = row.step.spec
    fields: dict[str, Any] = {
        "step": row.step.name,
        "why": row.reason.value,
        "why_s": round(row.reason_s, 2),
        "ready_s": round(row.ready_s, 2),
        "waits_s": round(row.waits_s, 2),
        "left": row.step.remaining,
        "waiting": row.tasks,
        "gang": spec.gang,
        "overdue": row.overdue,
        "workers": row.workers,
        "asked": row.asked,
        "permitted": row.permitted,
        "with_ticket": row.with_ticket,
        "reserved": row.reserved,
        "team": row.step.job.team,
        "need": _describe_resources(spec.need),
    }
    if row.team_limit != Resources():
        fields["team_used"] = _describe_resources(row.team_used)
        fields["team_limit"] = _describe_resources(row.team_limit)
    if row.room is not None:
        fields["fit"] = row.room.permitted
        fields["fit_unreserved"] = row.room.unreserved
        fields["fit_pool"] = row.room.pool
    return fields


def describe_totals(totals: Mapping[WaitReason, ReasonTotal]) -> dict[str, Any]:
    """Return the fields of the totals by reason for logs and queries."""
    return {
        reason.value: {
            "steps": total.steps,
            "longest_s": round(total.longest_s, 2),
            "overdue": total.overdue,
        }
        for reason, total in sorted(totals.items())
    }


def describe_unknown(job: UnknownJob, now: float) -> dict[str, Any]:
    """Return the fields of an unknown job for logs and queries."""
    since_s = round(now - job.since, 2)
    return {"job": job.id, "why": job.reason.value, "since_s": since_s}


def _describe_resources(amount: Resources) -> list[int]:
    """Return millicores, megabytes of memory and accelerators."""
    return [amount.cpu_m, amount.memory_mb, amount.accelerators]
