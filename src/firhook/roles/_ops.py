"""Operators' interface: lists, keys, status, health, metrics and reports."""

import asyncio
from typing import Any

import msgspec
from aiohttp import web
from mode import Service

from firhook import __version__
from firhook._report import burn_report
from firhook._stats import Stats
from firhook._web import json_response, read_json, require_operator, serve
from firhook.errors import ListInvalidError, PeerUnreachableError, RequestMalformedError
from firhook.events import AskPeer, LeadView, Members, ServePeer, StreamReady
from firhook.kernel import Role, register_role
from firhook.model import Row, StatsAnswer, StatsAsk, parse_list, render_list
from firhook.queries import ChangeRows, GiveKey, WithdrawKey


@register_role("ops")
class Ops(Role):
    """Serves operators and says whether this instance is ready."""

    def wire(self) -> None:
        """Offer the operators' routes."""
        self._runner: Any = None
        self.kernel.routes["api"] += [
            web.get("/v1/config", self._get_config),
            web.post("/v1/config", self._post_config),
            web.get("/v1/config/versions", self._get_versions),
            web.get("/v1/keys", self._list_keys),
            web.post("/v1/keys", self._post_key),
            web.delete("/v1/keys/{key_id}", self._delete_key),
            web.get("/v1/status", self._get_status),
            web.get("/v1/report", self._get_report),
        ]
        self.kernel.routes["ops"] += [
            web.get("/healthz", self._healthz),
            web.get("/readyz", self._readyz),
        ]

    async def on_started(self) -> None:
        """Listen for operators and health checks."""
        self.bus.publish(ServePeer(StatsAsk, self._on_stats_ask))
        addr = self.cfg.ops
        routes = self.kernel.routes["ops"]
        self._runner, _ = await serve(routes, addr.host, addr.port, 1 << 16)
        port = self._runner.addresses[0][1]
        self.kernel.ports["ops"] = f"{addr.host}:{port}"

    async def on_stop(self) -> None:
        """Stop listening."""
        if self._runner is not None:
            await self._runner.cleanup()

    @Service.task
    async def _ready_loop(self) -> None:
        while not self.should_stop:
            if not self.kernel.ready:
                self.kernel.ready = await self.bus.ask(StreamReady("config"))
            await self.sleep(0.05)

    async def _healthz(self, req: web.Request) -> web.Response:
        return json_response({"alive": True, "version": __version__})

    async def _readyz(self, req: web.Request) -> web.Response:
        ready = self.kernel.ready and not self.kernel.stopping
        return json_response({"ready": ready}, status=200 if ready else 503)

    async def _get_config(self, req: web.Request) -> web.Response:
        await require_operator(self.bus, req)
        state = self.states.config
        return json_response(
            {
                "version": state.version,
                "teams": render_list(state.rows["teams"]),
                "plans": render_list(state.rows["plans"]),
            }
        )

    async def _post_config(self, req: web.Request) -> web.Response:
        who = await require_operator(self.bus, req)
        data = await read_json(req)
        if not isinstance(data, dict) or not isinstance(data.get("base"), int):
            raise RequestMalformedError(
                "give 'base', the version the change is made from"
            )
        rows = self._rows(data)
        version = await self.bus.ask(ChangeRows(data["base"], rows, who.key_id))
        return json_response({"version": version})

    def _rows(self, data: dict[str, Any]) -> tuple[Row, ...]:
        """Return the rows that differ between the lists given and in force."""
        if "rows" in data:
            try:
                return msgspec.convert(data["rows"], tuple[Row, ...])
            except msgspec.ValidationError as exc:
                raise ListInvalidError(f"rows: {exc}") from exc
        changed: list[Row] = []
        for list_name in ("plans", "teams"):
            if list_name not in data:
                continue
            given = {r.name: r for r in parse_list(list_name, str(data[list_name]))}
            old = self.states.config.rows[list_name]
            changed += [r for n, r in given.items() if old.get(n) != r.values]
            changed += [Row(list_name, n, None) for n in old if n not in given]
        return tuple(changed)

    async def _get_versions(self, req: web.Request) -> web.Response:
        await require_operator(self.bus, req)
        members = await self.bus.ask(Members())
        versions = {m.name: m.gossip.config_version for m in members}
        versions[self.cfg.name] = self.states.config.version
        offsets = {m.name: m.gossip.config_offset for m in members}
        offsets[self.cfg.name] = self.states.config.next_offset
        return json_response({"versions": versions, "offsets": offsets})

    async def _list_keys(self, req: web.Request) -> web.Response:
        await require_operator(self.bus, req)
        state = self.states.config
        return json_response(
            {
                "keys": [
                    {
                        "key_id": k.key_id,
                        "team": k.team,
                        "withdrawn": k.key_id in state.withdrawn,
                    }
                    for k in state.keys.values()
                ]
            }
        )

    async def _post_key(self, req: web.Request) -> web.Response:
        await require_operator(self.bus, req)
        data = await read_json(req)
        if not isinstance(data, dict) or not isinstance(data.get("team"), str):
            raise RequestMalformedError("give 'team', or '' for an operator's key")
        given = await self.bus.ask(GiveKey(data["team"]))
        return json_response(
            {"key_id": given.key_id, "team": given.team, "key": given.key}, status=201
        )

    async def _delete_key(self, req: web.Request) -> web.Response:
        await require_operator(self.bus, req)
        key_id = req.match_info["key_id"]
        offset = await self.bus.ask(WithdrawKey(key_id))
        return json_response({"key_id": key_id, "withdrawn": True, "offset": offset})

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

    async def _on_stats_ask(self, ask: StatsAsk) -> StatsAnswer:
        return StatsAnswer(msgspec.json.encode(self.kernel.stats.dump()).decode())

    async def _merged_stats(self) -> Stats:
        merged = Stats()
        merged.merge(self.kernel.stats.dump())
        members = await self.bus.ask(Members())
        asks = [self.bus.ask(AskPeer(m.name, StatsAsk())) for m in members]
        for answer in await asyncio.gather(*asks, return_exceptions=True):
            if isinstance(answer, PeerUnreachableError):
                continue
            if isinstance(answer, BaseException):
                raise answer
            merged.merge(msgspec.json.decode(answer.data))
        return merged

    async def _get_report(self, req: web.Request) -> web.Response:
        await require_operator(self.bus, req)
        stats = await self._merged_stats()
        config = self.states.config
        plans = {team: config.plans[t.plan] for team, t in config.teams.items()}
        return json_response(burn_report(stats, plans))
