"""Placing: which worker gets which task of a lead's term, round by round."""

from collections.abc import Callable, Mapping

from firhook.cell import NO_RESOURCES, JobTable, Resources, WorkerEntry
from firhook.clock import boot_time
from firhook.decide.schedule import (
    RoundResult,
    WaitReason,
    WorkerView,
    urgent_headroom_m,
)
from firhook.decide.speeds import SpeedEstimator
from firhook.decide.suspicion import suspected_zones
from firhook.decide.tickets import TicketTable
from firhook.decide.waiting import longest_waiting
from firhook.logs import log
from firhook.meters import Meters
from firhook.services._advising import Advising
from firhook.services._worker_link import WorkerLink

#: The weight of the newest urgent step in the mean of what they need: the last
#: twenty or so count.
_URGENT_WEIGHT = 0.1
#: How often the lead tells what has waited longest.
_TELL_EVERY_S = 1.0

PlaceRound = Callable[
    [JobTable, dict[str, WorkerView], TicketTable, float],
    RoundResult,
]


class Placing:
    """Holds rounds: shows the workers to the decision, and carries out what it says.

    :param links: the workers that are known, by name.
    :param decide: which waiting tasks start, and where.
    """

    def __init__(
        self,
        book: JobTable,
        links: Mapping[str, WorkerLink],
        speeds: SpeedEstimator,
        tickets: TicketTable,
        advising: Advising,
        meters: Meters,
        decide: PlaceRound,
    ) -> None:
        self._book = book
        self._links = links
        self._speeds = speeds
        self._tickets = tickets
        self._advising = advising
        self._meters = meters
        self._decide = decide
        self._urgent_need_m = 0
        self._waits: dict[str, WaitReason] = {}
        self._told_at = float("-inf")
        self._known_free: dict[str, tuple[WorkerEntry, Resources, Resources]] = {}

    def rest(self) -> None:
        """Place nothing in a round; why steps wait is not known then."""
        self._waits = {}

    def place(self, now: float) -> None:
        """Assign the tasks that may run now, and ask for the advice that is missing."""
        self._waits = {}
        if not self._book.open_steps:
            return
        views = self._views(now)
        result = self._decide(self._book, views, self._tickets, now)
        for placement in result.placements:
            step = placement.step
            for run in self._book.plan(step, placement.tasks, now):
                run.ticket = self._tickets.ticket_text(step, run.worker)
            if step.job.queue.priority == 0:
                self._note_urgent(step.spec.reserved.cpu_m)
            if not step.occurrence and step.number == 0:
                queue = step.job.queue.name
                self._meters.time("wait_for_room", queue, now - step.job.accepted_at)
        self._waits = result.wait_reasons
        self._advising.ask_all(result.advice_requests, now)
        self._tickets.retain_jobs(self._book.jobs)
        took_s = boot_time() - now
        self._meters.time("round", "", took_s)

    def tell_waiting(self, now: float) -> None:
        """Log what has waited longest, and why."""
        if now - self._told_at < _TELL_EVERY_S:
            return
        self._told_at = now
        answering = {n for n, link in self._links.items() if not link.doubted}
        waiting = longest_waiting(
            self._book, self._waits, self._tickets, answering, now
        )
        if waiting:
            rows = [
                {
                    "step": row.step.name,
                    "why": row.reason.value,
                    "ready_s": round(row.ready_s, 2),
                    "left": row.step.remaining,
                    "workers": row.workers,
                    "asked": row.asked,
                    "permitted": row.permitted,
                }
                for row in waiting
            ]
            log("steps.waiting", steps=rows)

    def _note_urgent(self, cpu_m: int) -> None:
        """Keep a running mean of what urgent tasks need."""
        self._urgent_need_m += int((cpu_m - self._urgent_need_m) * _URGENT_WEIGHT)

    def _views(self, now: float) -> dict[str, WorkerView]:
        views = {}
        late = {
            name: link.answers.overdue_since(now) for name, link in self._links.items()
        }
        dark = suspected_zones(
            (self._links[name].entry.zone, due)
            for name, due in late.items()
            if due is not None
        )
        for name, link in self._links.items():
            if late[name] is not None or not link.usable(now):
                continue
            entry = link.entry
            if dark and link.answered_at < dark.get(entry.zone, link.answered_at):
                continue
            running = len(self._book.worker_runs.get(name, ()))
            if not link.health.accepts(running, now):
                continue
            view = WorkerView(
                name, link.life, entry.pool, entry.rack, entry.labels, self._free(link)
            )
            view.slow = self._speeds.is_slow(name)
            view.urgent_cpu_m = urgent_headroom_m(
                entry.capacity.cpu_m, self._urgent_need_m
            )
            views[name] = view
        return views

    def _free(self, link: WorkerLink) -> Resources:
        """Return what is left on a worker.

        Most workers are as they were a round ago.  Load: 270 workers, and a round
        with each change of one of them.  Harm: worked out anew for all of them it
        was a quarter of a round, during which the lead does nothing else.
        """
        use = self._book.worker_usage.get(link.name, NO_RESOURCES)
        known = self._known_free.get(link.name)
        if known is None or known[0] is not link.entry or known[1] is not use:
            free = link.entry.capacity.subtract(use)
            known = self._known_free[link.name] = (link.entry, use, free)
        return known[2]
