"""Stops runs after a round to make room for work that is in time only if it starts now.

The stops are ordered and repeated like all others, and the capacity is free once the
end of the run is listed.  If the lead changes meanwhile, the successor finds the run
ended or running and decides anew.
"""

from collections.abc import Mapping

import attrs

from firhook.cell import JobTable, Run, Step
from firhook.decide.eviction import (
    EVICTED,
    EvictionBudget,
    ShareView,
    Stop,
    choose_stops,
)
from firhook.decide.schedule import RoundResult, WorkerView
from firhook.decide.tickets import TicketTable
from firhook.decide.token_bucket import TokenBucket
from firhook.logs import log
from firhook.meters import Meters
from firhook.platform.instance import Bounds

#: The shortest interval between two decisions.  A decision takes 7 ms with 176 full
#: workers, and up to 100 rounds a second are run.
_INTERVAL_S = 0.08
#: The most runs that one log line names.
_MAX_LOGGED_RUNS = 10
#: Rate and burst size of log lines.
_LINES_PER_S, _LINE_BURST = 5.0, 10.0


@attrs.frozen(slots=True)
class _Decision:
    """Stops for one step, until it has started or ended.

    :param last_runs: the last run number of its tasks that waited, by index.
    :param cost_core_s: core-seconds that the stops are expected to cost.
    """

    step: Step
    last_runs: dict[int, int]
    cost_core_s: float


class Evictor:
    """Carries out the evictions of a lead's term, and counts their cost and gain."""

    def __init__(
        self, job_table: JobTable, tickets: TicketTable, meters: Meters, bounds: Bounds
    ) -> None:
        self._job_table = job_table
        self._tickets = tickets
        self._meters = meters
        self._bounds = bounds
        self._budget = EvictionBudget()
        self._next_at = 0.0
        self._open: dict[str, _Decision] = {}
        self._lines = TokenBucket(_LINES_PER_S, _LINE_BURST)
        self._suppressed_lines = 0

    def evict(
        self,
        views: Mapping[str, WorkerView],
        result: RoundResult,
        shares: ShareView | None,
        now: float,
    ) -> None:
        """Stop runs for steps that the round could not place.

        :param views: the workers as the round has left them, its placements planned.
        :param shares: ``None`` if no team is above its share.
        """
        if now < self._next_at:
            return
        self._next_at = now + _INTERVAL_S
        self._close_decisions(now)
        stops = choose_stops(
            self._job_table,
            views,
            self._tickets,
            result,
            shares,
            self._budget,
            self._bounds,
            now,
        )
        by_step: dict[str, list[Stop]] = {}
        for stop in stops:
            self._job_table.stop(stop.run, EVICTED)
            by_step.setdefault(stop.beneficiary.name, []).append(stop)
        for group in by_step.values():
            self._record(group, now)

    def _record(self, stops: list[Stop], now: float) -> None:
        """Log and count the stops for one step."""
        step = stops[0].beneficiary
        cost_core_s = sum(stop.cost_core_s for stop in stops)
        idle = {i: task.last_run for i, task in step.idle.items()}
        earlier = self._open.get(step.name)
        total = cost_core_s + (earlier.cost_core_s if earlier else 0.0)
        self._open[step.name] = _Decision(step, idle, total)
        for stop in stops:
            victim_queue = stop.run.task.step.job.queue.name
            self._meters.count("evicted_runs", victim_queue)
            self._meters.count(
                "evicted_core_ms", victim_queue, round(stop.cost_core_s * 1000)
            )
        if self._lines.available(now) < 1:
            self._suppressed_lines += 1
            return
        self._lines.spend(1)
        log(
            "run.evicted",
            runs=[_describe_run(stop.run) for stop in stops[:_MAX_LOGGED_RUNS]],
            stops=len(stops),
            over_share=sum(stop.over_share for stop in stops),
            beneficiary=step.name,
            queue=step.job.queue.name,
            waiting=len(step.idle),
            cost_core_s=round(cost_core_s, 2),
            gain_core_s=round(stops[0].gain_core_s, 2),
            slack_s=round(step.latest_start() - now, 3),
            budget=self._budget.tokens.available(now),
            suppressed=self._suppressed_lines,
        )
        self._suppressed_lines = 0

    def _close_decisions(self, now: float) -> None:
        """Count what became of the steps for which runs were stopped."""
        for name, decision in list(self._open.items()):
            step = decision.step
            waited = ((step.tasks[i], last) for i, last in decision.last_runs.items())
            started = all(task.done or task.last_run > last for task, last in waited)
            is_late = now > step.latest_start() + step.job.queue.target_s
            if started:
                outcome = "started"
                self._meters.record_duration(
                    "evicted_core", step.job.queue.name, decision.cost_core_s
                )
            elif step.job.status.ended:
                outcome = "ended"
            elif is_late:
                outcome = "late"
            else:
                continue
            self._meters.count("evictions", outcome)
            del self._open[name]


def _describe_run(run: Run) -> str:
    return f"{run.task.name}#{run.number}@{run.worker}"
