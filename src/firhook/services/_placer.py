"""The placement rounds of a lead's term, which assign tasks to workers."""

from collections.abc import Callable, Mapping

from firhook.cell import (
    NO_RESOURCES,
    DrainedZones,
    JobTable,
    Resources,
    WorkerEntry,
)
from firhook.clock import boot_time
from firhook.decide.estimates import Estimates
from firhook.decide.load_table import LoadRates, Shares, task_core_s
from firhook.decide.lost_calls import LostCalls
from firhook.decide.schedule import (
    RoundMemory,
    RoundResult,
    UrgentHeadroom,
    WorkerView,
)
from firhook.decide.suspicion import suspected_zones
from firhook.decide.tickets import AdviceRequest, TicketTable
from firhook.decide.urgent_need import UrgentNeed
from firhook.decide.waiting import RoundView
from firhook.meters import Meters
from firhook.services._adviser_client import AdviserClient
from firhook.services._eviction import Evictor
from firhook.services._worker_link import WorkerLink

PlaceRound = Callable[
    [JobTable, dict[str, WorkerView], TicketTable, float, RoundMemory],
    RoundResult,
]


class Placer:
    """Runs placement rounds and carries out their decisions.

    :param links: the known workers, by name.
    :param place_round: decides which waiting tasks start, and on which workers.
    :param drained_zones: the zones whose workers get no new work.
    :param evictor: stops runs after a round for work that found no capacity.
    :param lost_calls: the calls that workers left unanswered.
    :ivar urgent_need: the CPU need of recent urgent work.
    :ivar rates: the rates at which work starts and arrives.
    :ivar placed_at: when the last round began.
    """

    def __init__(
        self,
        job_table: JobTable,
        links: Mapping[str, WorkerLink],
        estimates: Estimates,
        tickets: TicketTable,
        adviser_client: AdviserClient,
        meters: Meters,
        place_round: PlaceRound,
        drained_zones: DrainedZones,
        evictor: Evictor,
        lost_calls: LostCalls,
    ) -> None:
        self._job_table = job_table
        self._links = links
        self._estimates = estimates
        self._tickets = tickets
        self._adviser_client = adviser_client
        self._meters = meters
        self._place_round = place_round
        self._drained_zones = drained_zones
        self.urgent_need = UrgentNeed()
        self._urgent_headroom = UrgentHeadroom()
        self._evictor = evictor
        self._lost_calls = lost_calls
        self._memory = RoundMemory()
        self._last_result = RoundResult()
        self._last_views: dict[str, WorkerView] = {}
        self.rates = LoadRates()
        self.placed_at = float("-inf")
        self._free_cache: dict[str, tuple[WorkerEntry, Resources, Resources]] = {}

    def skip_round(self) -> None:
        """Skip a round, after which the reasons why steps wait are unknown."""
        self._last_result, self._last_views = RoundResult(), {}

    def place(self, now: float) -> None:
        """Assign the tasks that may run now, and ask the adviser about others."""
        self.skip_round()
        self.placed_at = now
        if not self._job_table.open_steps:
            return
        self._estimates.durations.refresh(self._job_table, now)
        views = self._worker_views(now)
        result = self._place_round(
            self._job_table, views, self._tickets, now, self._memory
        )
        for placement in result.placements:
            step = placement.step
            core_s = task_core_s(step.spec.need.cpu_m, step.duration_s)
            started = len(placement.tasks) * core_s
            self.rates.drain.record((step.job.team,), started, now)
            for run in self._job_table.plan(step, placement.tasks, now):
                self._tickets.add_ticket(run)
            if step.job.queue.priority == 0:
                self.urgent_need.update(step.spec.reserved.cpu_m)
            if not step.occurrence and step.number == 0:
                queue = step.job.queue.name
                self._meters.record_duration(
                    "wait_for_room", queue, now - step.job.accepted_at
                )
        self._last_result, self._last_views = result, views
        self._evictor.evict(views, result, result.shares, now)
        self._adviser_client.ask_all(result.advice_requests, now)
        self._tickets.retain_jobs(self._job_table.jobs)
        took_s = boot_time() - now
        self._meters.record_duration("round", "", took_s)

    @property
    def shares(self) -> Shares | None:
        """The shares of the teams in the last round, if it computed them."""
        return self._last_result.shares

    def due_advice(self) -> list[AdviceRequest]:
        """Return the requests of the last round that wait for an adviser slot."""
        requests = self._last_result.advice_requests
        return [r for r in requests if not self._tickets.advice_for(r.step).in_flight]

    def round_view(self) -> RoundView:
        """Return what the last round saw, and which workers answer polls now."""
        answering = {n for n, link in self._links.items() if not link.suspected}
        result = self._last_result
        return RoundView(
            result.wait_reasons, self._last_views, result.reserved, answering
        )

    def _worker_views(self, now: float) -> dict[str, WorkerView]:
        views: dict[str, WorkerView] = {}
        capacity_m: dict[str, int] = {}
        silent = {
            name: link.pending_calls.silent_since(now)
            for name, link in self._links.items()
        }
        links = self._links.values()
        cutoffs = suspected_zones(
            (
                (self._links[name].entry.zone, since)
                for name, since in silent.items()
                if since is not None
            ),
            ((link.entry.zone, link.last_heard_at) for link in links)
            if self._lost_calls.are_frequent(now)
            else (),
        )
        for name, link in self._links.items():
            if silent[name] is not None or not link.usable(now):
                continue
            entry = link.entry
            if entry.zone in self._drained_zones:
                continue
            if cutoffs and link.last_reply_at < cutoffs.get(
                entry.zone, link.last_reply_at
            ):
                continue
            runs = self._job_table.worker_runs.get(name, {}).values()
            if not link.health.accepts(link.health.count_on_trial(runs, now), now):
                continue
            view = WorkerView(
                name,
                link.incarnation,
                entry.pool,
                entry.rack,
                entry.labels,
                self._free_resources(link),
                speed=self._estimates.speeds.speed(name),
                takes_one=link.health.probation,
            )
            views[name] = view
            capacity_m[name] = entry.capacity.cpu_m
        self._urgent_headroom.apply(views.values(), capacity_m, self.urgent_need.cpu_m)
        return views

    def _free_resources(self, link: WorkerLink) -> Resources:
        """Return the free resources of a worker.

        The result is cached, as most workers are unchanged since the last round.
        With 270 workers and a round after each change of one of them, computing it
        again for all took a quarter of a round, during which the lead does nothing
        else.
        """
        use = self._job_table.worker_usage.get(link.name, NO_RESOURCES)
        cached = self._free_cache.get(link.name)
        if cached is None or cached[0] is not link.entry or cached[1] is not use:
            free = link.entry.capacity.subtract(use)
            cached = self._free_cache[link.name] = (link.entry, use, free)
        return cached[2]
