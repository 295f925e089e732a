"""Answers operators' queries about the workers, through the lead if need be."""

from collections import Counter
from collections.abc import Callable
from typing import Any

import msgspec

from firhook._peer_messages import WorkersAsk, WorkersReply
from firhook.cell import NO_RESOURCES, Resources
from firhook.clock import boot_time
from firhook.instance import InstanceService
from firhook.services._events import (
    DescribeWorkers,
    LiveLead,
    RegisterMessageHandler,
)
from firhook.services._lead_reports import ask_lead, describe_lead
from firhook.services._term import Term
from firhook.services._worker_link import WorkerLink

#: The largest number of workers in an answer.
MAX_WORKERS = 200
_READY = "ready"


class WorkerQueries:
    """Reports on the workers, from the term of this instance or of the lead.

    :param term: returns this instance's term, if it leads.
    """

    def __init__(
        self, service: InstanceService, term: Callable[[], Term | None]
    ) -> None:
        self._service = service
        self._term = term
        service.bus.register_handler(DescribeWorkers, self._describe)

    def register_handlers(self) -> None:
        """Register the handler of queries from peers."""
        self._service.bus.publish(RegisterMessageHandler(WorkersAsk, self._serve))

    async def _describe(self, query: DescribeWorkers) -> dict[str, Any]:
        name, error = self._service.settings.name, ""
        report = self._report(query.limit)
        answer: dict[str, Any] = {"instance": name}
        if report is None:
            name = await self._service.bus.ask(LiveLead())
            ask = WorkersAsk(_bounded(query.limit))
            report, error = await ask_lead(self._service, name, ask, WorkersReply)
        lead = await describe_lead(self._service, name)
        return answer | {"lead": lead, "report": report, "error": error}

    def _serve(self, msg: WorkersAsk) -> WorkersReply:
        report = self._report(msg.limit)
        return WorkersReply(b"" if report is None else msgspec.json.encode(report))

    def _report(self, limit: int) -> dict[str, Any] | None:
        """Return the report of this instance's term; ``None`` if it does not lead."""
        term = self._term()
        if term is None or term.lost or not term.taken_over:
            return None
        return describe_workers(term, _bounded(limit), boot_time())


def _bounded(limit: int) -> int:
    return min(max(limit, 0), MAX_WORKERS)


def describe_workers(term: Term, limit: int, now: float) -> dict[str, Any]:
    """Return the workers of a term, those that take no work and the slowest first."""
    rows = [_describe_worker(term, link, now) for link in term.links.values()]
    rows.sort(key=lambda row: (row["state"] == _READY, row["speed"], row["worker"]))
    return {
        "epoch": term.fence,
        "speeds_differ": term.estimates.speeds.differ,
        "states": dict(Counter(row["state"] for row in rows)),
        "workers": rows[:limit],
    }


def _describe_worker(term: Term, link: WorkerLink, now: float) -> dict[str, Any]:
    name, entry = link.name, link.entry
    free = entry.capacity.subtract(term.job_table.worker_usage.get(name, NO_RESOURCES))
    return {
        "worker": name,
        "pool": entry.pool,
        "zone": entry.zone,
        "rack": entry.rack,
        "state": _state(term, link, now),
        "speed": round(term.estimates.speeds.speed(name), 2),
        "comparisons": term.estimates.speeds.comparisons(name),
        "free": _amounts(free),
        "capacity": _amounts(entry.capacity),
        "runs": len(term.job_table.worker_runs.get(name, ())),
    }


def _state(term: Term, link: WorkerLink, now: float) -> str:
    """Return why a worker gets no new work, or that it may get some."""
    if link.suspected or not link.incarnation:
        return "unreachable"
    if not link.is_registered:
        return "unregistered"
    if link.entry.draining:
        return "draining"
    if link.entry.zone in term.drained_zones:
        return "zone_drained"
    if link.has_orphaned_runs:
        return "unknown_runs"
    if not link.usable(now) or link.pending_calls.silent_since(now) is not None:
        return "silent"
    if now < link.health.backoff_until:
        return "resting"
    if link.health.probation:
        return "on_trial"
    return _READY


def _amounts(amount: Resources) -> dict[str, int]:
    return {
        "cpu_m": amount.cpu_m,
        "memory_mb": amount.memory_mb,
        "accelerators": amount.accelerators,
    }
