"""The policies that the lab compares; each registers itself by its name."""

import abc
from collections.abc import Callable
from typing import Any, ClassVar

import attrs

from bench._lab._cell import simulate
from bench._lab._outcomes import Summary, summarize_groups
from bench._lab._workload import Workload
from firhook._instance import load_services
from firhook.cell import JobTable, Step
from firhook.decide.adviser_slots import SlotPlan
from firhook.decide.schedule import Round, RoundResult, WorkerView
from firhook.decide.tickets import TicketTable
from firhook.platform.instance import Bounds

POLICIES: dict[str, type["Policy"]] = {}
#: What is compared if nothing else is asked for.
DEFAULT_POLICIES = ("present", "first_come", "oracle")


class Policy(abc.ABC):
    """A way to serve a day.

    A subclass that gives its name as a class argument is registered under it.

    :cvar name: what it is called in tables.
    """

    name: ClassVar[str] = ""

    def __init_subclass__(cls, name: str = "", **kwargs: Any) -> None:
        super().__init_subclass__(**kwargs)
        if name:
            cls.name = name
            POLICIES[name] = cls

    @abc.abstractmethod
    def evaluate(self, workload: Workload) -> dict[tuple[str, str], Summary]:
        """Return what the callers of each group get on a day."""


class CellPolicy(Policy):
    """A policy that decides in a cell of the model.

    :cvar bounds: the times that the cell is held to.
    """

    bounds: ClassVar[Bounds] = Bounds()

    @abc.abstractmethod
    def overrides(self) -> dict[str, Callable[..., Any]]:
        """Return what the lead decides by in place of its own, by attribute."""

    def evaluate(self, workload: Workload) -> dict[tuple[str, str], Summary]:
        """Play a day."""
        overridden = {
            name: staticmethod(func) for name, func in self.overrides().items()
        }
        lead = type("_Lead", (load_services()["lead"],), overridden)
        return summarize_groups(workload, simulate(workload, lead, self.bounds))


class Current(CellPolicy, name="present"):
    """What firhook decides."""

    def overrides(self) -> dict[str, Callable[..., Any]]:
        """See :meth:`CellPolicy.decisions`."""
        return {}


class RoundPolicy(CellPolicy):
    """A policy with rounds, and seats at the adviser, of classes of its own."""

    round: ClassVar[type[Round]] = Round
    slot_plan: ClassVar[type[SlotPlan]] = SlotPlan

    def place(
        self,
        jobs: JobTable,
        workers: dict[str, WorkerView],
        tickets: TicketTable,
        now: float,
    ) -> RoundResult:
        """Decide which waiting tasks start now, and where."""
        return self.round(jobs, workers, tickets, now).run()

    def overrides(self) -> dict[str, Callable[..., Any]]:
        """See :meth:`CellPolicy.decisions`."""
        return {"place": self.place, "slot_plan": self.slot_plan}


class _FirstComeRound(Round):
    """The oldest first, each task on the first worker with room."""

    def run(self) -> RoundResult:
        """See :meth:`Round.run`; the adviser is asked in order of arrival too."""
        result = super().run()
        result.advice_requests = [
            attrs.evolve(request, order_key=request.step.job.accepted_at)
            for request in result.advice_requests
        ]
        return result

    def _rank(self, step: Step) -> tuple[float, ...]:
        return (step.job.accepted_at,)

    def _pick_worker(
        self,
        step: Step,
        workers: Any,
        on_worker: dict[str, int],
        avoid: set[str],
    ) -> WorkerView | None:
        for worker in sorted(workers, key=lambda w: w.name):
            if worker.name not in avoid and worker.free.covers(step.spec.reserved):
                return worker
        return None

    def _fit_gang(
        self, step: Step, workers: list[WorkerView]
    ) -> list[WorkerView] | None:
        chosen: list[WorkerView] = []
        for worker in sorted(workers, key=lambda w: w.name):
            remaining = step.spec.count - len(chosen)
            chosen += [worker] * worker.free.count_fitting(
                step.spec.reserved, remaining
            )
        if len(chosen) < step.spec.count:
            return None
        for worker in chosen:
            worker.take(step.spec.reserved)
        return chosen

    def _reserve(self, step: Step, workers: list[WorkerView]) -> None:
        """Keep no room."""


class NoReservedSlots(SlotPlan):
    """Keeps no seat for any question."""

    def reserved_slots(self, cost_s: float, slots: int, now: float) -> int:
        """See :meth:`SlotPlan.reserved_slots`."""
        return 0


class FirstCome(RoundPolicy, name="first_come"):
    """First come, first fit: no order by urgency, and no room or seat kept.

    What does not fit is passed over; the adviser is asked as the platform demands.
    """

    round = _FirstComeRound
    slot_plan = NoReservedSlots
