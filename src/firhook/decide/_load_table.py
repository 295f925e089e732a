"""Summarizes the waiting work of a crowded cell by team and queue.

Made for loads of up to 1.36 times the capacity, in which one team sends five to seven
times its usual work.  The table lets each instance predict when a submission would
end, without asking the lead about each.
"""

import math
from collections.abc import Mapping
from typing import Protocol

import attrs

from firhook.cell import JobTable
from firhook.cell.load import MAX_LOAD_ROWS, LoadRow, LoadTable
from firhook.decide.schedule import LATE_FACTOR

#: The longest duration of a task that counts.  Estimates are off by up to 90%, and a
#: single absurd one would otherwise make the team's waits look endless.
MAX_TASK_S = 60.0
#: Work that need not start within this time does not count: submissions whose latest
#: start is sooner go before it.
AMPLE_SLACK_S = 60.0
#: Measured rates count with the weight ``exp(-age / _RATE_DECAY_S)``: a burst lasts 4
#: to 8 s, of which a rate over a longer time would show only the end.
_RATE_DECAY_S = 1.5
#: A measured drain counts only if the team had waiting work for this long.  Before
#: that it shows what the team asked for, not what it can get.
_MIN_BACKLOG_S = 1.5
#: Limits of a measured drain, as factors of the team's entitlement.  A pause of the
#: lead or of the store makes every drain look like zero for a moment.
_MIN_DRAIN_FACTOR = 0.5
_MAX_DRAIN_FACTOR = 1.5


class Shares(Protocol):
    """What the table needs of the shares that a round computed."""

    is_crowded: bool

    def entitlement_m(self, team: str) -> float:
        """Return the millicores that a team may count on now."""

    def is_over(self, team: str) -> bool:
        """Return whether a team is above its share."""


class WorkRates:
    """Decaying rates of work, in core-seconds per second, by key."""

    def __init__(self) -> None:
        self._sums: dict[tuple[str, ...], tuple[float, float]] = {}

    def record(self, key: tuple[str, ...], core_s: float, now: float) -> None:
        """Record work."""
        self._sums[key] = (self._decayed(key, now) + core_s, now)

    def rate(self, key: tuple[str, ...], now: float) -> float:
        """Return the recent rate of a key; 0 if there is none."""
        return self._decayed(key, now) / _RATE_DECAY_S

    def _decayed(self, key: tuple[str, ...], now: float) -> float:
        core_s, at = self._sums.get(key, (0.0, now))
        return core_s * math.exp(-max(now - at, 0.0) / _RATE_DECAY_S)


@attrs.define(slots=True)
class LoadRates:
    """Measured rates of the cell, kept by the lead for its term.

    :ivar drain: work that started, by team.
    :ivar inflow: work that was accepted, by team and queue address.
    """

    drain: WorkRates = attrs.field(factory=WorkRates)
    inflow: WorkRates = attrs.field(factory=WorkRates)


@attrs.define(slots=True)
class _Sum:
    """The waiting work of one team in one queue."""

    work_core_s: float = 0.0
    late_core_s: float = 0.0
    steps: int = 0
    longest_wait_s: float = 0.0


def task_core_s(cpu_m: int, task_s: float) -> float:
    """Return the core-seconds of a task, with a limit on its duration."""
    return cpu_m / 1000 * min(max(0.0, task_s), MAX_TASK_S)


def build_load_table(
    job_table: JobTable,
    shares: Shares | None,
    advice_backlog: Mapping[tuple[str, str], float],
    drain: LoadRates,
    now: float,
) -> LoadTable:
    """Return the load table; it has no rows if the cell is not crowded.

    Only work that goes before a new submission counts.  Work that is later than
    :data:`LATE_FACTOR` times its objective or has ample slack goes behind it, and a
    step whose task needs more than the team may use cannot start.  Counting such steps
    would make their team's waits look endless, and all that it submits would be
    refused.

    :param shares: those of the last round; ``None`` if there was none.
    :param advice_backlog: seconds of adviser answers that are due and not requested
        yet, by team and queue address.
    :param drain: the measured rates.
    """
    if shares is None or not shares.is_crowded:
        return LoadTable(0, 0, made_at=now)
    sums: dict[tuple[str, str], _Sum] = {}
    priorities: dict[str, int] = {}
    entitled: dict[str, float] = {}
    for step in job_table.open_steps.values():
        job, spec = step.job, step.spec
        team, queue = job.team, job.queue
        if team not in entitled:
            entitled[team] = shares.entitlement_m(team)
        if spec.long_running or spec.need.cpu_m > entitled[team]:
            continue
        # Not by the step's methods, which look up the release of the job each time:
        # 2,000 steps took 8 ms instead of 5, four times a second.
        released_at = job.released_at(step.occurrence)
        allowed_s = queue.slack_factor * job.critical_path_s + queue.target_s
        latest_start = released_at + allowed_s - step.critical_path_s
        if latest_start > now + AMPLE_SLACK_S:
            continue
        if now > released_at + LATE_FACTOR * allowed_s:
            continue
        priorities[queue.address] = queue.priority
        total = sums.get((team, queue.address))
        if total is None:
            total = sums[team, queue.address] = _Sum()
        work = len(step.idle) * task_core_s(spec.need.cpu_m, step.duration_s)
        total.work_core_s += work
        if latest_start < now - queue.target_s:
            total.late_core_s += work
        total.steps += 1
        if step.ready_at is not None:
            total.longest_wait_s = max(total.longest_wait_s, now - step.ready_at)
    waits: dict[str, float] = {}
    for (team, _), total in sums.items():
        waits[team] = max(waits.get(team, 0.0), total.longest_wait_s)
    drains = {
        team: _drain_cores(job_table, shares, drain, team, waited_s, now)
        for team, waited_s in waits.items()
    }
    rows = [
        LoadRow(
            team,
            queue,
            priorities[queue],
            round(total.work_core_s, 2),
            round(total.late_core_s, 2),
            total.steps,
            round(advice_backlog.get((team, queue), 0.0), 3),
            round(drains[team], 2),
            round(drain.inflow.rate((team, queue), now), 2),
            shares.is_over(team),
            round(total.longest_wait_s, 2),
        )
        for (team, queue), total in sums.items()
    ]
    rows.sort(key=lambda r: (-r.work_core_s, -r.advice_s, r.team, r.queue))
    kept, others = rows[:MAX_LOAD_ROWS], rows[MAX_LOAD_ROWS:]
    return LoadTable(
        0, 0, made_at=now, rows=tuple(kept), rest=_sum_rows(others) if others else None
    )


def waiting_by_team(job_table: JobTable) -> dict[str, tuple[float, int]]:
    """Return the core-seconds and the steps that wait, by team."""
    found: dict[str, tuple[float, int]] = {}
    for step in job_table.open_steps.values():
        core_s, steps = found.get(step.job.team, (0.0, 0))
        task = task_core_s(step.spec.need.cpu_m, step.spec.estimate_s)
        found[step.job.team] = (core_s + len(step.idle) * task, steps + 1)
    return found


def _drain_cores(
    job_table: JobTable,
    shares: Shares,
    rates: LoadRates,
    team: str,
    waited_s: float,
    now: float,
) -> float:
    """Return the rate at which a team's work drains, in cores."""
    entitled = max(shares.entitlement_m(team) / 1000, 0.0)
    if not math.isfinite(entitled):
        return 0.0
    if waited_s >= _MIN_BACKLOG_S:
        measured = rates.drain.rate((team,), now)
        lowest, highest = _MIN_DRAIN_FACTOR * entitled, _MAX_DRAIN_FACTOR * entitled
        entitled = min(max(measured, lowest), highest)
    found = job_table.config.team_by_name.get(team)
    if found is not None and found.limit.cpu_m:
        entitled = min(entitled, found.limit.cpu_m / 1000)
    return entitled


def _sum_rows(rows: list[LoadRow]) -> LoadRow:
    return LoadRow(
        "",
        "",
        max(r.priority for r in rows),
        round(sum(r.work_core_s for r in rows), 2),
        round(sum(r.late_core_s for r in rows), 2),
        sum(r.steps for r in rows),
        round(sum(r.advice_s for r in rows), 3),
        longest_wait_s=max(r.longest_wait_s for r in rows),
    )
