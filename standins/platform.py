"""A stand-in for the platform's log and its instance list, which lags.

``POST /admin/faults`` accepts ``log`` (``ok``, ``down``, ``lose-answers`` or
``hang``), ``slow_s`` (extra latency of appends) and ``retain`` (records kept per
stream).
"""

import asyncio
import contextlib
import hashlib
import json
import time
from typing import Any

from aiohttp import web

from standins.serving import serve_forever


class Stream:
    """An append-only stream with limited retention.

    :ivar first: offset of the oldest record that is retained.
    """

    def __init__(self) -> None:
        self.first = 0
        self.records: list[str] = []
        self.appended = asyncio.Condition()

    @property
    def end(self) -> int:
        """Offset of the next record."""
        return self.first + len(self.records)

    def trim(self, retain: int) -> None:
        """Delete the oldest records in excess of ``retain``."""
        expired = len(self.records) - retain
        if expired > 0:
            del self.records[:expired]
            self.first += expired


class Platform:
    """Serves the log and the instance list over HTTP.

    :param list_lag_s: seconds until a change shows in the instance list.
    """

    def __init__(self, list_lag_s: float) -> None:
        self.list_lag_s = list_lag_s
        self.streams: dict[str, Stream] = {}
        self.faults: dict[str, Any] = {"log": "ok", "slow_s": 0.0, "retain": 100_000}
        self.pending_entries: dict[str, tuple[float, dict[str, Any]]] = {}
        self.visible_entries: dict[str, dict[str, Any]] = {}
        self.appends = 0
        self.appended_bytes = 0
        # By zone and instance name: the address of the link through which the
        # zone reaches the instance.  Its instance list shows that address.
        self.link_addresses: dict[str, dict[str, str]] = {}

    def stream(self, name: str) -> Stream:
        """Return a stream, creating it on first use."""
        return self.streams.setdefault(name, Stream())

    async def append(self, req: web.Request) -> web.Response:
        """Append a batch of records atomically."""
        fault = self.faults["log"]
        await asyncio.sleep(self.faults["slow_s"])
        if fault == "down":
            return web.json_response({"error": "down", "taken": False}, status=503)
        if fault == "hang":
            await asyncio.sleep(3600)
        stream = self.stream(req.match_info["stream"])
        records = await req.json()
        async with stream.appended:
            first = stream.end
            stream.records += records
            stream.trim(self.faults["retain"])
            stream.appended.notify_all()
        self.appends += 1
        self.appended_bytes += sum(map(len, records))
        if fault == "lose-answers" and req.transport is not None:
            req.transport.abort()
        return web.json_response({"first": first})

    async def read(self, req: web.Request) -> web.Response:
        """Return records from an offset on; wait for one if there is none yet."""
        if self.faults["log"] == "down":
            return web.json_response({"error": "down"}, status=503)
        if self.faults["log"] == "hang":
            await asyncio.sleep(3600)
        stream = self.stream(req.match_info["stream"])
        offset = int(req.query["from"])
        wait_s = min(float(req.query.get("wait", "0")), 30.0)
        if offset < stream.first:
            return web.json_response({"first": stream.first}, status=410)
        if offset >= stream.end and wait_s > 0:
            async with stream.appended:
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(stream.appended.wait(), wait_s)
        if self.faults["log"] == "down":
            return web.json_response({"error": "down"}, status=503)
        start = max(offset - stream.first, 0)
        part = stream.records[start : start + 1000]
        records = [[offset + i, text] for i, text in enumerate(part)]
        return web.json_response({"records": records, "end": stream.end})

    async def get_instances(self, req: web.Request) -> web.Response:
        """Return the instance list as of ``list_lag_s`` ago."""
        now = time.monotonic()
        for name, (reported_at, entry) in list(self.pending_entries.items()):
            if now - reported_at >= self.list_lag_s:
                del self.pending_entries[name]
                if entry.get("gone"):
                    self.visible_entries.pop(name, None)
                else:
                    self.visible_entries[name] = entry
        links = self.link_addresses.get(req.match_info.get("zone", ""), {})
        entries = [
            {**entry, "address": links.get(name, entry["address"])}
            for name, entry in self.visible_entries.items()
        ]
        text = json.dumps(entries)
        tag = f'"{hashlib.sha256(text.encode()).hexdigest()}"'
        if req.headers.get("If-None-Match") == tag:
            return web.Response(status=304, headers={"ETag": tag})
        return web.Response(
            text=text, headers={"ETag": tag}, content_type="application/json"
        )

    async def set_links(self, req: web.Request) -> web.Response:
        """Set the link addresses through which a zone reaches other zones."""
        for zone, links in (await req.json()).items():
            self.link_addresses.setdefault(zone, {}).update(links)
        return web.json_response({})

    async def set_instances(self, req: web.Request) -> web.Response:
        """Add or replace instances; the list shows them after the lag."""
        for entry in await req.json():
            self.pending_entries[entry["name"]] = (time.monotonic(), entry)
        return web.json_response({})

    async def set_faults(self, req: web.Request) -> web.Response:
        """Update the injected faults and return the append counters."""
        self.faults.update(await req.json())
        for stream in self.streams.values():
            stream.trim(self.faults["retain"])
        ends = {name: s.end for name, s in self.streams.items()}
        return web.json_response(
            {"appends": self.appends, "bytes": self.appended_bytes, "ends": ends}
        )

    async def dump_stream(self, req: web.Request) -> web.Response:
        """Return the retained records of a stream, for tests."""
        stream = self.stream(req.match_info["stream"])
        return web.json_response([json.loads(r) for r in stream.records])

    def app(self) -> web.Application:
        """Return the web application."""
        app = web.Application(client_max_size=16 << 20)
        app.router.add_post("/log/{stream}", self.append)
        app.router.add_get("/log/{stream}", self.read)
        app.router.add_get("/instances", self.get_instances)
        # Each zone has its own paths, because it may reach others through links.
        app.router.add_post("/z/{zone}/log/{stream}", self.append)
        app.router.add_get("/z/{zone}/log/{stream}", self.read)
        app.router.add_get("/z/{zone}/instances", self.get_instances)
        app.router.add_post("/admin/links", self.set_links)
        app.router.add_post("/admin/instances", self.set_instances)
        app.router.add_post("/admin/faults", self.set_faults)
        app.router.add_get("/admin/log/{stream}", self.dump_stream)
        return app


if __name__ == "__main__":
    import sys

    lag = float(sys.argv[1]) if len(sys.argv) > 1 else 0.2
    asyncio.run(serve_forever(Platform(lag).app()))
