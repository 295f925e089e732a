"""The share of the cell that each team may count on while work waits for capacity.

In a burst of one team at six times its usual rate that team held 3,430 of 5,632 cores
while the only job of another team waited for 7 s.  The order by urgency does not
distinguish teams, so a team gets capacity in proportion to what it submits.
"""

import math
from collections.abc import Iterable, Mapping

import attrs

from firhook.cell import NO_RESOURCES, JobTable, Resources, Team
from firhook.decide._worker_views import WorkerView

#: The time constant of the average use, in seconds.  Bursts last 4 to 8 s; an average
#: over a much longer time would punish a team after its burst.
USE_DECAY_S = 3.0
#: Smaller shares and differences do not count.
_MIN_SHARE = 1e-4
#: While more steps than this wait, the sums of the waiting work are kept for a time.
#: Adding up 2,000 steps takes 3 ms, and their sum changes little in that time.
_MANY_STEPS = 256
_WAITING_INTERVAL_S = 0.1

#: The resources that the waiting work needs, by team and pool.
_Waiting = dict[tuple[str, str], Resources]


@attrs.define(slots=True)
class _TeamRow:
    """A team in one round.

    :ivar running: the dominant share of the cell that its runs use.
    :ivar recent: the part of its recent use that counts beside what it runs.
    :ivar demand: the dominant share of its running and waiting work.
    :ivar fair: the share that it gets if it wants as much.
    """

    weight: float
    running: float
    recent: float
    demand: float
    fair: float = math.inf

    @property
    def counted(self) -> float:
        """The use that is compared with the fair share."""
        return self.running + self.recent


@attrs.frozen(slots=True)
class PoolCapacity:
    """The capacity of a pool's usable workers before a round."""

    free: Resources
    used: Resources

    @property
    def used_share(self) -> float:
        """The dominant share of the pool that is in use."""
        return dominant_share(self.used, self.free.add(self.used))


class UseHistory:
    """The average use of each team, which decays over some seconds.

    Without it a team whose tasks are short would look idle between two rounds and
    get more than its share over time.
    """

    def __init__(self) -> None:
        self._averages: dict[str, float] = {}
        self._updated_at = -math.inf
        self._waiting: _Waiting = {}
        self._summed_at = -math.inf

    def update(self, shares: Mapping[str, float], now: float) -> None:
        """Add the present use.

        :param shares: the dominant share of the cell that each team uses.
        """
        keep = math.exp(-max(now - self._updated_at, 0.0) / USE_DECAY_S)
        self._updated_at = now
        for team in self._averages.keys() | shares.keys():
            share = shares.get(team, 0.0)
            average = share + (self._averages.get(team, 0.0) - share) * keep
            if average < _MIN_SHARE:
                self._averages.pop(team, None)
            else:
                self._averages[team] = average

    def waiting(self, steps: int, now: float) -> _Waiting | None:
        """Return the sums of the waiting work, if they need not be computed again.

        :param steps: how many steps wait.
        """
        is_recent = now - self._summed_at < _WAITING_INTERVAL_S
        return self._waiting if steps > _MANY_STEPS and is_recent else None

    def keep_waiting(self, waiting: _Waiting, now: float) -> None:
        """Keep the sums of the waiting work."""
        self._waiting, self._summed_at = waiting, now

    def average(self, team: str) -> float:
        """Return the average dominant share of a team."""
        return self._averages.get(team, 0.0)


class TeamShares:
    """The shares of the teams in one round.

    :param rows: the teams with running or waiting work, by name.
    :param total: the capacity of the usable workers.
    :param level: the share for each unit of weight; infinite if the cell is not
        crowded.
    :ivar pools: the capacity of the pools.
    :ivar is_crowded: whether the waiting work needs more than the free capacity.
    """

    def __init__(
        self,
        rows: dict[str, _TeamRow],
        total: Resources,
        teams: Mapping[str, Team],
        level: float,
        pools: Mapping[str, PoolCapacity],
    ) -> None:
        self.pools = pools
        self._rows = rows
        self._total = total
        self._teams = teams
        self._level = level
        self.is_crowded = level < math.inf

    def entitlement_m(self, team: str) -> float:
        """Return the millicores that a team may count on if it wants as much.

        It is the whole cell, or the team's limit, if the cell is not crowded.
        """
        limit = _limit_share(self._teams.get(team), self._total)
        return min(self._row(team).fair, limit, 1.0) * self._total.cpu_m

    def is_over(self, team: str) -> bool:
        """Return whether a team uses its share or more, in a crowded cell."""
        if not self.is_crowded:
            return False
        row = self._row(team)
        return row.counted >= row.fair - _MIN_SHARE

    def has_waiting_below(self) -> bool:
        """Return whether work of a team below its share waits."""
        return any(
            row.demand - row.running > _MIN_SHARE
            and row.counted < row.fair - _MIN_SHARE
            for row in self._rows.values()
        )

    def take(self, team: str, need: Resources, count: int) -> None:
        """Count tasks that were placed in this round."""
        if self.is_crowded:
            self._row(team).running += count * dominant_share(need, self._total)

    def left(self, team: str) -> float:
        """Return the share that is left to a team until it is over its share."""
        row = self._row(team)
        return row.fair - row.counted

    def share_of(self, need: Resources) -> float:
        """Return the dominant share that a task takes."""
        return dominant_share(need, self._total)

    def relative_use(self, team: str) -> float:
        """Return the use of a team for its weight."""
        row = self._row(team)
        return row.counted / row.weight

    def tasks_until(self, team: str, need: Resources, relative_use: float) -> int:
        """Return after how many more tasks, at least one, a use is reached.

        :param relative_use: the use for the team's weight.
        """
        share = dominant_share(need, self._total)
        row = self._row(team)
        left = relative_use * row.weight - row.counted
        if share <= 0.0 or left == math.inf:
            return 1_000_000
        return max(math.ceil(left / share), 1)

    def tasks_until_over(self, team: str, need: Resources) -> int:
        """Return after how many more tasks, at least one, a team is over its share."""
        return self.tasks_until(team, need, self._level)

    def _row(self, team: str) -> _TeamRow:
        row = self._rows.get(team)
        if row is None:
            weight = _weight(self._teams.get(team))
            fair = weight * self._level
            row = self._rows[team] = _TeamRow(weight, 0.0, 0.0, 0.0, fair)
        return row


def build_shares(
    job_table: JobTable,
    workers: Mapping[str, WorkerView],
    history: UseHistory,
    now: float,
) -> TeamShares:
    """Return the shares of the teams for a round, and update the history.

    They are max-min fair by weight: each team gets its demand, up to a level that is
    the same for all teams for their weight.  So a team gets what it wants if that is
    little, whatever the others submit.

    :param workers: the usable workers, by name.
    """
    pools = _capacity(job_table, workers)
    total = _sum_capacity(pools.values())
    teams = job_table.config.team_by_name
    sums = history.waiting(len(job_table.open_steps), now)
    if sums is None:
        sums = _sum_waiting(job_table)
        history.keep_waiting(sums, now)
    waiting, is_crowded = _waiting_by_team(sums, job_table, pools)
    running = {
        name: dominant_share(use, total)
        for name, use in job_table.team_usage.items()
        if use != NO_RESOURCES
    }
    history.update(running, now)
    rows: dict[str, _TeamRow] = {}
    if not is_crowded:
        return TeamShares(rows, total, teams, math.inf, pools)
    for name in running.keys() | waiting.keys():
        use = job_table.team_usage.get(name, NO_RESOURCES)
        demand = dominant_share(use.add(waiting.get(name, NO_RESOURCES)), total)
        demand = min(demand, _limit_share(teams.get(name), total))
        share = running.get(name, 0.0)
        # Recent use counts half, so that a team is not kept out for long after it
        # used capacity that nobody else wanted.
        recent = max(history.average(name) - share, 0.0) / 2
        rows[name] = _TeamRow(_weight(teams.get(name)), share, recent, demand)
    level = water_level([(row.demand, row.weight) for row in rows.values()])
    for row in rows.values():
        row.fair = row.weight * level
    return TeamShares(rows, total, teams, level, pools)


def water_level(demands: Iterable[tuple[float, float]]) -> float:
    """Return the level up to which demands are met if they share a whole cell.

    :param demands: the share that each team wants, and its weight.
    :return: the share for each unit of weight; infinite if all demands are met.
    """
    left = 1.0
    rows = sorted(demands, key=lambda row: row[0] / row[1])
    weight = sum(row[1] for row in rows)
    for demand, own_weight in rows:
        if demand / own_weight * weight >= left:
            return left / weight
        left -= demand
        weight -= own_weight
    return math.inf


def dominant_share(need: Resources, total: Resources) -> float:
    """Return the largest fraction of any resource of the cell that a need takes."""
    share = need.cpu_m / total.cpu_m if total.cpu_m else 0.0
    if total.memory_mb:
        share = max(share, need.memory_mb / total.memory_mb)
    if total.accelerators:
        share = max(share, need.accelerators / total.accelerators)
    return share


def _weight(team: Team | None) -> float:
    return max(team.weight, 1e-6) if team is not None else 1.0


def _limit_share(team: Team | None, total: Resources) -> float:
    """Return the dominant share at which a team reaches its limit."""
    if team is None:
        return math.inf
    limit = team.limit
    parts = (
        (limit.cpu_m, total.cpu_m),
        (limit.memory_mb, total.memory_mb),
        (limit.accelerators, total.accelerators),
    )
    return min((part / whole for part, whole in parts if part and whole), default=1.0)


def _capacity(
    job_table: JobTable, workers: Mapping[str, WorkerView]
) -> dict[str, PoolCapacity]:
    """Return the capacity by pool."""
    by_pool: dict[str, list[int]] = {}
    usage = job_table.worker_usage
    for name, worker in workers.items():
        if not worker.usable:
            continue
        free, used = worker.free, usage.get(name, NO_RESOURCES)
        sums = by_pool.setdefault(worker.pool, [0, 0, 0, 0, 0, 0])
        sums[0] += free.cpu_m
        sums[1] += free.memory_mb
        sums[2] += free.accelerators
        sums[3] += used.cpu_m
        sums[4] += used.memory_mb
        sums[5] += used.accelerators
    return {
        pool: PoolCapacity(Resources(*sums[:3]), Resources(*sums[3:]))
        for pool, sums in by_pool.items()
    }


def _sum_capacity(pools: Iterable[PoolCapacity]) -> Resources:
    total = NO_RESOURCES
    for pool in pools:
        total = total.add(pool.free).add(pool.used)
    return total


def _sum_waiting(job_table: JobTable) -> _Waiting:
    """Return the resources that the waiting work needs, by team and pool."""
    sums: dict[tuple[str, str], list[int]] = {}
    for step in job_table.open_steps.values():
        job, spec = step.job, step.spec
        key = (job.accepted.team, job.queue.pool)
        row = sums.get(key)
        if row is None:
            row = sums[key] = [0, 0, 0]
        need, count = spec.reserved if spec.fills else spec.need, len(step.idle)
        row[0] += need.cpu_m * count
        row[1] += need.memory_mb * count
        row[2] += need.accelerators * count
    return {key: Resources(*row) for key, row in sums.items()}


def _waiting_by_team(
    waiting: _Waiting, job_table: JobTable, pools: Mapping[str, PoolCapacity]
) -> tuple[dict[str, Resources], bool]:
    """Return the waiting work of each team, and whether it exceeds what is free.

    Work beyond a team's limit and work for a pool without usable workers does not
    count as waiting for capacity.
    """
    by_team: dict[str, Resources] = {}
    by_pool: dict[str, Resources] = {}
    teams = job_table.config.team_by_name
    for (team, pool), want in waiting.items():
        if pool not in pools:
            continue
        by_team[team] = by_team.get(team, NO_RESOURCES).add(want)
        used = job_table.team_usage.get(team, NO_RESOURCES)
        startable = _within_limit(want, used, teams.get(team))
        by_pool[pool] = by_pool.get(pool, NO_RESOURCES).add(startable)
    return by_team, any(
        not pools[pool].free.covers(want) for pool, want in by_pool.items()
    )


def _within_limit(want: Resources, used: Resources, team: Team | None) -> Resources:
    """Return the part of a demand that a team's limit leaves startable."""
    if team is None or team.permits(used.add(want)):
        return want
    fraction = 1.0
    for wanted, part, limit in (
        (want.cpu_m, used.cpu_m, team.limit.cpu_m),
        (want.memory_mb, used.memory_mb, team.limit.memory_mb),
        (want.accelerators, used.accelerators, team.limit.accelerators),
    ):
        if limit and wanted:
            fraction = min(fraction, max(limit - part, 0) / wanted)
    return Resources(
        int(want.cpu_m * fraction),
        int(want.memory_mb * fraction),
        int(want.accelerators * fraction),
    )
