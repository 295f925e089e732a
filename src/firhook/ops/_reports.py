"""The report on error-budget burn, collected from all instances."""

import asyncio

import msgspec
from aiohttp import web

from firhook._principal import require_operator
from firhook._report import BurnReport, burn_report
from firhook._web import json_response
from firhook.errors import PeerUnreachableError
from firhook.events import AskPeer, Members, RegisterPeerHandler
from firhook.logs import log
from firhook.model import StatsAnswer, StatsAsk, to_builtins
from firhook.ops._routes import Routes
from firhook.stats import FleetStats


class ReportRoutes(Routes):
    """Requests the statistics of all instances and merges them into a report."""

    def api(self) -> list[web.RouteDef]:
        """Return the report route, which requires an operator's key."""
        return [web.get("/v1/report", self._get_report)]

    def ops(self) -> list[web.RouteDef]:
        """Return no routes."""
        return []

    def start(self) -> None:
        """Register the handler for peers, and use the current plans' objectives."""
        self.bus.publish(RegisterPeerHandler(StatsAsk, self._on_stats_ask))
        self.kernel.stats.objective_ms = self._objective_ms

    def _objective_ms(self, team: str, klass: str) -> float:
        plan = self.states.config.plan_of(team)
        return plan.objective_ms(klass) if plan else float("inf")

    async def _on_stats_ask(self, ask: StatsAsk) -> StatsAnswer:
        return StatsAnswer(msgspec.json.encode(self.kernel.stats.dump()).decode())

    async def _gather(self) -> BurnReport:
        """Collect the statistics of all instances and return the report.

        The report does not wait for an unreachable or paused instance.  It
        names the instance as missing, so that the report is not mistaken for a
        complete one.
        """
        fleet = FleetStats()
        fleet.merge(self.kernel.stats.dump())
        members = await self.bus.ask(Members())
        answers = await asyncio.gather(
            *(self.bus.ask(AskPeer(m.name, StatsAsk())) for m in members),
            return_exceptions=True,
        )
        answered, missing = [self.cfg.name], []
        for member, answer in zip(members, answers, strict=True):
            if isinstance(answer, PeerUnreachableError):
                log("report.peer_missing", level="warning", peer=member.name)
                missing.append(member.name)
                continue
            if isinstance(answer, BaseException):
                raise answer
            fleet.merge(msgspec.json.decode(answer.data))
            answered.append(member.name)
            # In a large cell, merging all answers without a pause would block
            # the event loop for most of a second, and after a stall the lead's
            # lease counts as expired.
            await asyncio.sleep(0)
        config = self.states.config
        plans = {team: config.plans[t.plan] for team, t in config.teams.items()}
        return burn_report(fleet, plans, answered, missing)

    async def _get_report(self, req: web.Request) -> web.Response:
        await require_operator(self.bus, req)
        data = to_builtins(await self._gather())
        for row in data["rows"]:
            row["class"] = row.pop("klass")
        return json_response(data)
