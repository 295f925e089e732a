"""Handlers for health, readiness, status, endpoints and draining."""

from typing import Any

from aiohttp import web

from firhook import __version__
from firhook._principal import require_operator
from firhook._web import json_response
from firhook.events import InstancesListed, LeadView, Members
from firhook.logs import log
from firhook.model import Endpoint, to_builtins
from firhook.ops._routes import Routes


class HealthRoutes(Routes):
    """Handlers for an instance's health, status and listed endpoints."""

    def __init__(self, kernel: Any) -> None:
        super().__init__(kernel)
        self._listed: tuple[Endpoint, ...] = ()
        self.bus.subscribe(InstancesListed, self._on_instances)

    def api(self) -> list[web.RouteDef]:
        """Return the routes for status, which require an operator's key."""
        return [
            web.get("/v1/status", self._get_status),
            web.get("/v1/teams", self._get_teams),
            web.get("/v1/endpoints", self._get_endpoints),
        ]

    def ops(self) -> list[web.RouteDef]:
        """Return the routes for health checks and for a graceful stop."""
        return [
            web.get("/healthz", self._healthz),
            web.get("/readyz", self._readyz),
            web.post("/v1/drain", self._post_drain),
        ]

    def _on_instances(self, event: InstancesListed) -> None:
        self._listed = tuple(event.instances)

    async def _healthz(self, req: web.Request) -> web.Response:
        return json_response({"alive": True, "version": __version__})

    async def _readyz(self, req: web.Request) -> web.Response:
        ready = self.kernel.ready and not self.kernel.stopping
        return json_response({"ready": ready}, status=200 if ready else 503)

    async def _post_drain(self, req: web.Request) -> web.Response:
        """Start the same graceful stop as SIGTERM."""
        caller = await require_operator(self.bus, req)
        log("instance.drain_asked", key_id=caller.key_id)
        self.kernel.stop_requested.set()
        return json_response({"instance": self.cfg.name, "draining": True}, status=202)

    async def _get_status(self, req: web.Request) -> web.Response:
        await require_operator(self.bus, req)
        members = await self.bus.ask(Members())
        lead = await self.bus.ask(LeadView())
        return json_response(
            {
                "instance": self.cfg.name,
                "zone": self.cfg.zone,
                "ready": self.kernel.ready,
                "lead": {"instance": lead.instance, "epoch": lead.epoch},
                "leads": {z: s.instance for z, s in self.states.cell.leads.items()},
                "members": [
                    {
                        "name": m.name,
                        "zone": m.zone,
                        "age_s": round(m.age_s, 3),
                        "config_version": m.gossip.config_version,
                    }
                    for m in members
                ],
                "config_version": self.states.config.version,
            }
        )

    async def _get_teams(self, req: web.Request) -> web.Response:
        """Return each team's plan and its usage here and in the peers' gossip."""
        await require_operator(self.bus, req)
        running = dict(self.kernel.account.running)
        waiting = dict(self.kernel.load.waiting)
        for member in await self.bus.ask(Members()):
            for use in member.gossip.teams:
                running[use.team] = running.get(use.team, 0) + use.running
                waiting[use.team] = waiting.get(use.team, 0) + use.waiting
        config = self.states.config
        return json_response(
            {
                "teams": [
                    {
                        "team": name,
                        "plan": team.plan,
                        "share": config.plans[team.plan].share,
                        "limit": config.plans[team.plan].limit,
                        "requests_running": running.get(name, 0),
                        "requests_waiting": waiting.get(name, 0),
                    }
                    for name, team in sorted(config.teams.items())
                ]
            }
        )

    async def _get_endpoints(self, req: web.Request) -> web.Response:
        await require_operator(self.bus, req)
        leaving = set(self.kernel.load.leaving)
        for member in await self.bus.ask(Members()):
            leaving |= {r.runner for r in member.gossip.runners if r.leaving}
        marks = self.states.zone.marks
        rows = []
        for endpoint in sorted(self._listed, key=lambda e: (e.kind, e.zone, e.name)):
            row = to_builtins(endpoint)
            # Gossip identifies a runner by name and address: one that restarts
            # at another address under its old name is a different runner.
            key = f"{endpoint.name}@{endpoint.address}"
            row["leaving"] = endpoint.leaving or key in leaving
            # Gossip omits the requests within each peer's part of the runner's
            # slots, so this counts only the requests of this instance.
            row["in_flight"] = self.kernel.load.local_in_flight.get(key, 0)
            row["mark"] = marks.get(endpoint.name, ("", ""))[0]
            rows.append(row)
        return json_response({"endpoints": rows})
