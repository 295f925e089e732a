"""Answers operators' queries about why steps wait, through the lead if need be."""

from collections.abc import Callable
from typing import Any

import attrs
import msgspec

from firhook._peer_messages import WaitingAsk, WaitingReply
from firhook.clock import boot_time
from firhook.instance import InstanceService
from firhook.services._events import (
    CountWaiting,
    DescribeWaiting,
    LiveLead,
    RegisterMessageHandler,
    WaitingTotals,
)
from firhook.services._lead_reports import ask_lead, describe_lead
from firhook.services._term import Term

#: The largest number of steps in an answer.
MAX_STEPS = 50


class WaitingQueries:
    """Reports what waits, from the term of this instance or of the lead.

    :param term: returns this instance's term, if it leads.
    :param may_act: returns whether this instance may act as the lead.
    """

    def __init__(
        self,
        service: InstanceService,
        term: Callable[[], Term | None],
        may_act: Callable[[], bool],
    ) -> None:
        self._service = service
        self._name = service.settings.name
        self._bus = service.bus
        self._replica = service.replica
        self._term = term
        self._may_act = may_act
        self._bus.register_handler(CountWaiting, self._count)
        self._bus.register_handler(DescribeWaiting, self._describe)

    def register_handlers(self) -> None:
        """Register the handler of queries from peers."""
        self._bus.publish(RegisterMessageHandler(WaitingAsk, self._serve))

    async def _count(self, query: CountWaiting) -> WaitingTotals | None:
        term = self._term()
        if term is None or term.lost or not term.taken_over:
            return None
        return term.waiting.totals()

    async def _describe(self, query: DescribeWaiting) -> dict[str, Any]:
        answer: dict[str, Any] = {"instance": self._name}
        if query.job_id:
            answer["job"] = self._describe_in_replica(query.job_id)
        limit = min(max(query.limit, 0), MAX_STEPS)
        ask = WaitingAsk(limit, query.job_id, query.teams)
        report, error = self._report(ask), ""
        if report is None:
            name = await self._bus.ask(LiveLead())
            report, error = await ask_lead(self._service, name, ask, WaitingReply)
        else:
            name = self._name
        return answer | {
            "lead": await describe_lead(self._service, name),
            "report": report,
            "error": error,
        }

    def _describe_in_replica(self, job_id: str) -> dict[str, Any]:
        view = self._replica.find(job_id)
        if view is None:
            return {"job": job_id, "accepted": False}
        status = view.status
        return {
            "job": job_id,
            "accepted": True,
            "status": status.name.lower(),
            "ended": status.ended,
        }

    def _report(self, ask: WaitingAsk) -> dict[str, Any] | None:
        """Return the report of this instance's term; ``None`` if it does not lead."""
        term = self._term()
        if term is None or term.lost:
            return None
        report = {
            "epoch": term.fence,
            "taken_over": term.taken_over,
            "takeover_stage": term.takeover_stage,
            "since_s": round(boot_time() - term.waiting.began_at, 2),
            "may_act": self._may_act(),
        }
        report |= term.waiting.describe(ask.limit)
        if ask.teams:
            report["teams"] = term.load.describe_teams()
        if ask.job_id:
            report["job"] = term.waiting.describe_job(ask.job_id)
            report["job"]["replica"] = self._describe_in_replica(ask.job_id)
        return report

    def _serve(self, msg: WaitingAsk) -> WaitingReply:
        limit = min(max(msg.limit, 0), MAX_STEPS)
        report = self._report(attrs.evolve(msg, limit=limit))
        return WaitingReply(b"" if report is None else msgspec.json.encode(report))
