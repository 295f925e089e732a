"""Random orders of events around the starts of few tasks on few workers."""

from typing import Any, ClassVar

from standins.model._adviser import ModelAdviser
from standins.model._cell import ModelCell
from standins.model._faults import DRAINABLE_ZONES
from standins.model._search import SearchScenario
from standins.model._time import now


class StartSearch(SearchScenario):
    """Short tasks whose starts are lost, late, hedged and sent again.

    :cvar late_orders_reach_next: see :class:`ModelWorker`.
    :cvar forgets_with_ends: see :class:`ModelWorker`.
    """

    kinds = (
        "cancel",
        "cancel",
        "freeze",
        "freeze_briefly",
        "freeze_briefly",
        "kill",
        "kill",
        "lead_steps_down",
        "orders_late_all",
        "worker_crash_briefly",
        "worker_cut",
        "worker_reborn_anew",
        "worker_reborn_anew",
        "worker_mute_briefly",
        "worker_refuses_briefly",
        "worker_refuses_briefly",
        "store_slow",
        "store_loses",
    )
    late_orders_reach_next: ClassVar[bool] = False
    forgets_with_ends: ClassVar[bool] = False

    def __init__(self, seed: int) -> None:
        super().__init__(seed)
        rng = self.rng
        self.cell = ModelCell(
            instances=rng.choice((2, 3)),
            workers=rng.choice((1, 2, 3)),
            seed=seed,
            advised=rng.random() < 0.3,
            worker_zones=DRAINABLE_ZONES[:1],
        )
        if self.cell.adviser is not None:
            incarnation_of = self.cell.incarnation_of
            self.cell.adviser = ModelAdviser(0.05, 0.001, 2.0, 1.0, incarnation_of)
        self._shares = {
            "late_share": rng.choice((0.0, 0.1, 0.3)),
            "lost_share": rng.choice((0.0, 0.05, 0.2)),
            "lost_greeting_share": rng.choice((0.0, 0.3, 0.6)),
            "late_greeting_share": rng.choice((0.0, 0.4, 0.8)),
            "late_poll_share": rng.choice((0.0, 0.02, 0.1)),
        }
        self._fault_share = rng.choice((0.05, 0.15, 0.3))
        self._hedges = rng.choice((0.0, 1.0, 20.0))

    async def _act(self) -> None:
        self._set_shares(self._shares)
        self._refill_hedges()
        if self.rng.random() >= self._fault_share:
            await self._submit()
            return
        kind = self.rng.choice(self.kinds)
        self.record(kind)
        await getattr(self, f"fault_{kind}")()

    def _set_shares(self, shares: dict[str, float]) -> None:
        for worker in self.cell.workers.values():
            worker.late_orders_reach_next = self.late_orders_reach_next
            worker.forgets_with_ends = self.forgets_with_ends
            for name, share in shares.items():
                setattr(worker, name, share)

    def _refill_hedges(self) -> None:
        """Let the lead send second copies, of which it is sparing otherwise."""
        lead = self.cell.lead()
        if lead is not None and lead.lead.term is not None and self._hedges:
            lead.lead.term._order_sender._hedge_timer._budget = self._hedges

    def _step(self, number: int) -> dict[str, Any]:
        rng = self.rng
        step: dict[str, Any] = {
            "count": rng.choice((1, 1, 2)),
            "millicpus": 500,
            "task_memory_mb": 100,
            "estimated_ms": 1000,
            "work_s": rng.choice((0.2, 0.2, 0.5, 1.0, 2.0)),
        }
        if number:
            step["after"] = [number - 1]
        if step["count"] > 1 and rng.random() < 0.3:
            step["all_or_nothing"] = True
        return step

    def _job_fields(self, steps: list[dict[str, Any]]) -> dict[str, Any]:
        if self.rng.random() < 0.8:
            return {}
        start_ms = int((1_700_000_000 + now()) * 1000)
        return {"start_time_ms": start_ms, "interval_ms": 700, "repetitions": 3}

    async def _clear_faults(self) -> None:
        await super()._clear_faults()
        self._set_shares(dict.fromkeys(self._shares, 0.0))

    # Faults.

    async def fault_lead_steps_down(self) -> None:
        """Let another instance lead, while the former one goes on."""
        lead = self.cell.lead()
        if lead is not None and lead.lead.term is not None:
            lead.lead.term.step_down("asked")

    async def fault_orders_late_all(self) -> None:
        """Carry out all orders of a worker late for a moment."""
        worker = self._pick_worker()
        worker.late_s = 2 + 10 * self.rng.random()
        self.schedule(0.1 + self.rng.random(), setattr, worker, "late_s", None)

    async def fault_freeze_briefly(self) -> None:
        """Freeze an instance, so that it reads several answers at once."""
        name = self._pick_instance()
        if name is not None:
            self.cell.freeze(name)
            self.schedule(0.05 + 0.6 * self.rng.random(), self._unfreeze, name)

    async def fault_worker_refuses_briefly(self) -> None:
        """Make a worker refuse starts for a moment."""
        worker = self._pick_worker()
        worker.refuses = True
        self.schedule(0.05 + 0.5 * self.rng.random(), setattr, worker, "refuses", False)

    async def fault_worker_mute_briefly(self) -> None:
        """Leave the calls of a worker without answers for a moment."""
        worker = self._pick_worker()
        worker.mode = "mute"
        self.schedule(0.1 + 2 * self.rng.random(), setattr, worker, "mode", "up")

    async def fault_worker_reborn_anew(self) -> None:
        """Restart a worker at once, with a clock that may begin at zero."""
        self._pick_worker().restart(self.rng.choice((None, 0.0)))

    async def fault_worker_crash_briefly(self) -> None:
        """Crash a worker and start a new incarnation a little later."""
        worker = self._pick_worker()
        worker.crash()
        self.schedule(
            2 * self.rng.random(), worker.restart, self.rng.choice((None, 0.0))
        )
