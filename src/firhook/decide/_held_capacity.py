"""Holds free capacity for gangs of teams below their share."""

import math

from firhook.cell import NO_RESOURCES, Resources, Step
from firhook.decide._slack import high_duration_s
from firhook.decide._team_shares import PoolCapacity, TeamShares
from firhook.decide._worker_choice import yields_to_gangs

#: While less than this part of a pool is in use, its workers count as idle.
_IDLE_SHARE = 0.5
#: How long capacity of a pool with idle workers is held or reserved for gangs.  Callers
#: see work that does not start beside idle workers as lost after 3 s.
_MAX_IDLE_HOLD_S = 1.5
#: Gangs may keep others off such a pool anew once none has wanted to for this time.
_IDLE_RESET_S = 5.0


class IdleHolds:
    """Limits how long gangs keep other work off pools of which little is in use.

    The time counts for a pool, not for a gang: gangs that follow each other would keep
    other work off idle workers without end.
    """

    def __init__(self) -> None:
        self._since: dict[str, float] = {}
        self._wanted_at: dict[str, float] = {}

    def may_hold(self, pool: str, capacity: PoolCapacity | None, now: float) -> bool:
        """Return whether gangs may keep other work off a pool's free capacity."""
        if capacity is None or capacity.used_share >= _IDLE_SHARE:
            self._since.pop(pool, None)
            return True
        wanted_at = self._wanted_at.get(pool, -math.inf)
        self._wanted_at[pool] = now
        if now - wanted_at > _IDLE_RESET_S:
            self._since.pop(pool, None)
        return now - self._since.setdefault(pool, now) < _MAX_IDLE_HOLD_S


class HeldCapacity:
    """The free capacity by pool, and what of it gangs of teams below their share need.

    A gang needs capacity on many workers at once, and it is reserved for few gangs at
    a time.  A team above its share, whose single tasks fit anywhere, would take the
    capacity of each task that ends before the others' gangs have enough: with one team
    at nine times its usual rate, the gangs of the others got two fifths of what they
    get without it.

    So work of a team above its share may only use what is free beside these gangs, as
    far as they are within the shares of their teams, unless it ends before they can
    start.

    :param now: on the boot clock.
    """

    def __init__(self, shares: TeamShares, idle_holds: IdleHolds, now: float) -> None:
        self._shares = shares
        self._idle_holds = idle_holds
        self._now = now
        self._held: dict[str, list[tuple[float, Resources]]] = {}
        self._held_by_team: dict[str, float] = {}
        self._steps: set[str] = set()
        self._may_keep_off: dict[str, bool] = {}
        self._free: dict[str, Resources] = {}
        if shares.is_crowded:
            self._free = {name: pool.free for name, pool in shares.pools.items()}

    def take(self, step: Step, count: int) -> None:
        """Count tasks that were placed."""
        pool = step.job.queue.pool
        if pool in self._free:
            self._free[pool] = self._free[pool].subtract(step.spec.reserved, count)

    def may_hold(self, step: Step) -> bool:
        """Return whether capacity is left to a gang's team that is not held yet."""
        team = step.job.team
        return (
            self._shares.is_crowded
            and step.name not in self._steps
            and self._held_by_team.get(team, 0.0) < self._shares.left(team)
        )

    def may_keep_off(self, step: Step) -> bool:
        """Return whether a gang may keep other work off its pool's free capacity."""
        pool = step.job.queue.pool
        found = self._may_keep_off.get(pool)
        if found is None:
            capacity = self._shares.pools.get(pool)
            found = self._idle_holds.may_hold(pool, capacity, self._now)
            self._may_keep_off[pool] = found
        return found

    def hold(self, step: Step, ready_at: float | None) -> None:
        """Hold capacity for a gang that does not fit yet.

        :param ready_at: when running work will have made room for it; ``None`` if that
            is not known, when the capacity would be of no use to it.
        """
        if ready_at is None or not self.may_keep_off(step):
            return
        team, spec = step.job.team, step.spec
        already = self._held_by_team.get(team, 0.0)
        self._steps.add(step.name)
        share = spec.count * self._shares.share_of(spec.need)
        self._held_by_team[team] = already + share
        pool, need = step.job.queue.pool, NO_RESOURCES.add(spec.reserved, spec.count)
        self._held.setdefault(pool, []).append((ready_at, need))

    def count_available(self, step: Step, limit: int) -> int:
        """Return how many tasks of a step fit beside what is held.

        :param limit: largest count to return.
        """
        pool = step.job.queue.pool
        if (
            pool not in self._held
            or not yields_to_gangs(step, self._now)
            or not self._shares.is_over(step.job.team)
        ):
            return limit
        ends_at = math.inf
        if not step.spec.long_running:
            ends_at = self._now + high_duration_s(step)
        free = self._free.get(pool, NO_RESOURCES)
        for ready_at, need in self._held[pool]:
            if ready_at < ends_at:
                free = free.subtract(need)
        return free.count_fitting(step.spec.reserved, limit)
