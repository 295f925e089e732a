"""The present decisions, each time without one of their parts."""

import contextlib
import math
from collections.abc import Callable
from typing import Any, ClassVar
from unittest import mock

from bench._lab._outcomes import Summary
from bench._lab._policies import CellPolicy, NoReservedSlots, RoundPolicy
from bench._lab._workload import Workload
from firhook.cell import Step
from firhook.decide.schedule import Round
from firhook.platform.instance import Bounds


class Ablation(CellPolicy):
    """What firhook decides with some constants at values that undo them.

    :cvar constants: the values, by module and name.
    """

    constants: ClassVar[dict[str, float]] = {}

    def overrides(self) -> dict[str, Callable[..., Any]]:
        """See :meth:`CellPolicy.decisions`."""
        return {}

    def evaluate(self, workload: Workload) -> dict[tuple[str, str], Summary]:
        """See :meth:`CellPolicy.evaluate`."""
        with contextlib.ExitStack() as stack:
            for name, value in self.constants.items():
                stack.enter_context(mock.patch(f"firhook.{name}", value))
            return super().evaluate(workload)


class NoReservations(Ablation, name="no_reservations"):
    """No room is kept for gangs that do not fit yet."""

    constants: ClassVar = {"decide._schedule.MAX_RESERVED_GANGS": 0}


class NoBackfill(Ablation, name="no_backfill"):
    """Nothing uses the room kept for a gang meanwhile."""

    constants: ClassVar = {"decide._schedule._BACKFILL_FACTOR": math.inf}


class NoUrgentHeadroom(Ablation, name="no_urgent_room"):
    """No room is kept for urgent work."""

    constants: ClassVar = {"decide._schedule._URGENT_FRACTION": 0.0}


class NoSlackOrder(Ablation, name="no_spare_order"):
    """Late urgent work goes after all that can be in time."""

    constants: ClassVar = {"decide._schedule._AMPLE_SLACK_S": math.inf}


class NoSuspicion(Ablation, name="no_suspicion"):
    """Workers are used until a call to them has failed."""

    constants: ClassVar = {"decide._suspicion.OVERDUE_S": math.inf}


class NoSlowWorkerDetection(Ablation, name="no_slow_workers"):
    """Slow workers are used like others."""

    constants: ClassVar = {"decide._speeds.SLOW_FACTOR": math.inf}


class NoStallDetection(Ablation, name="no_stalls"):
    """What stands still is waited for."""

    constants: ClassVar = {
        "decide._stalls.STALL_TIMEOUT_S": math.inf,
        "decide._stalls._FIRST_PROGRESS_S": math.inf,
    }


class NoAdvicePrefetch(Ablation, name="no_asking_ahead"):
    """The adviser is asked again only when there is room."""

    constants: ClassVar = {"decide._tickets.FAST_ANSWER_S": math.inf}


class NoUnprovenRenewal(Ablation, name="no_blind_renewal"):
    """Leases are renewed only while the lead can prove itself."""

    constants: ClassVar = {"services._term.RENEW_UNPROVEN_S": 0.0}


class ShortLeases(Ablation, name="short_leases"):
    """What runs on a worker that is not heard is free again after 3 s, not 10 s."""

    bounds = Bounds(lease_s=3.0)


class NoAdviserSlots(RoundPolicy, name="no_seats"):
    """No seat at the adviser is kept for fast questions."""

    slot_plan = NoReservedSlots


class _LatestStartRound(Round):
    def _rank(self, step: Step) -> tuple[float, ...]:
        return (step.latest_start(),)


class LatestStart(RoundPolicy, name="latest_start"):
    """What must start soonest goes first, late or not, whatever its class."""

    round = _LatestStartRound


class _PriorityRound(Round):
    def _rank(self, step: Step) -> tuple[float, ...]:
        return (step.job.queue.priority, step.latest_start())


class Priority(RoundPolicy, name="priority"):
    """Classes in the order of their priority, late or not."""

    round = _PriorityRound
