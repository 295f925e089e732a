"""Handlers for the lists of plans and teams, and for keys."""

from typing import Any

import msgspec
from aiohttp import web

from firhook._principal import require_operator
from firhook._web import json_response, read_json
from firhook.errors import ListInvalidError, RequestMalformedError
from firhook.events import Members
from firhook.model import Row, parse_list, render_list
from firhook.ops._routes import Routes
from firhook.queries import ChangeRows, GiveKey, WithdrawKey


class ConfigRoutes(Routes):
    """Handlers for the lists, their versions, and keys."""

    def api(self) -> list[web.RouteDef]:
        """Return the routes for lists and keys, which require an operator's key."""
        return [
            web.get("/v1/config", self._get_config),
            web.post("/v1/config", self._post_config),
            web.get("/v1/config/versions", self._get_versions),
            web.get("/v1/keys", self._list_keys),
            web.post("/v1/keys", self._post_key),
            web.delete("/v1/keys/{key_id}", self._delete_key),
        ]

    def ops(self) -> list[web.RouteDef]:
        """Return no routes."""
        return []

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
        caller = await require_operator(self.bus, req)
        data = await read_json(req)
        base = data.get("base") if isinstance(data, dict) else None
        if not isinstance(base, int) or isinstance(base, bool):
            raise RequestMalformedError(
                "give 'base', the version the change is made from"
            )
        rows = self._changed_rows(data)
        if not rows and base == self.states.config.version:
            # Scripts often apply unchanged files.  That must not cost an append
            # nor outdate the base version of another operator's change.
            return json_response({"version": base})
        version = await self.bus.ask(ChangeRows(base, rows, caller.key_id))
        return json_response({"version": version})

    def _changed_rows(self, data: dict[str, Any]) -> tuple[Row, ...]:
        """Return the given rows, or those that differ between given and current lists.

        :param data: has the changed rows as ``rows``, or whole lists as INI text.
        """
        if "rows" in data:
            try:
                return msgspec.convert(data["rows"], tuple[Row, ...])
            except msgspec.ValidationError as exc:
                raise ListInvalidError(f"rows: {exc}") from exc
        changed: list[Row] = []
        for list_name in ("plans", "teams"):
            if list_name not in data:
                continue
            listed = {r.name: r for r in parse_list(list_name, str(data[list_name]))}
            current = self.states.config.rows[list_name]
            changed += [
                r for name, r in listed.items() if current.get(name) != r.values
            ]
            changed += [
                Row(list_name, name, None) for name in current if name not in listed
            ]
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
        created = await self.bus.ask(GiveKey(data["team"]))
        return json_response(
            {"key_id": created.key_id, "team": created.team, "key": created.key},
            status=201,
        )

    async def _delete_key(self, req: web.Request) -> web.Response:
        await require_operator(self.bus, req)
        key_id = req.match_info["key_id"]
        offset = await self.bus.ask(WithdrawKey(key_id))
        return json_response({"key_id": key_id, "withdrawn": True, "offset": offset})
