"""A stand-in for a customer's runner: quotes, charges and logbook entries.

``GET /quote?ms=20`` answers after so many ms; ``POST /charge`` counts a run;
``GET /admin/runs`` says how often each charge ran and when each request was
being served, by the machine's monotonic clock.  ``POST /admin/faults`` takes
``slow_s``, ``fail`` (cut every exchange), ``fail_after`` (run, then cut) and
``leaving``.
"""

import asyncio
import time
from collections import Counter
from typing import Any

from aiohttp import web

from standins.serving import serve_forever


class Runner:
    """Serves requests and counts what ran."""

    def __init__(self) -> None:
        self.faults: dict[str, Any] = {}
        self.runs: Counter[str] = Counter()
        self.in_flight = 0
        self.most_in_flight = 0
        self.spans: list[tuple[str, float, float]] = []

    def _respond(self, data: dict[str, Any]) -> web.Response:
        headers = {"X-Leaving": "yes"} if self.faults.get("leaving") else {}
        return web.json_response(data, headers=headers)

    async def handle(self, req: web.Request) -> web.Response:
        """Serve one request of any kind."""
        self.in_flight += 1
        self.most_in_flight = max(self.most_in_flight, self.in_flight)
        started_at = time.monotonic()
        try:
            return await self._serve(req)
        finally:
            self.in_flight -= 1
            self.spans.append((req.query.get("n", ""), started_at, time.monotonic()))

    async def _serve(self, req: web.Request) -> web.Response:
        if self.faults.get("fail") and req.transport is not None:
            req.transport.abort()
        body = (await req.read()).decode()
        ms = float(req.query.get("ms", "1"))
        await asyncio.sleep(ms / 1000 + self.faults.get("slow_s", 0.0))
        if req.method == "POST":
            self.runs[body] += 1
        if self.faults.get("fail_after") and req.transport is not None:
            req.transport.abort()
        return self._respond(
            {"path": req.path, "echo": body, "n": req.query.get("n", "")}
        )

    async def get_counts(self, req: web.Request) -> web.Response:
        """Return how often each body was posted."""
        return web.json_response(
            {
                "runs": self.runs,
                "most_in_flight": self.most_in_flight,
                "spans": self.spans,
            }
        )

    async def set_faults(self, req: web.Request) -> web.Response:
        """Set faults."""
        self.faults.update(await req.json())
        return web.json_response({})

    def app(self) -> web.Application:
        """Return the web application."""
        app = web.Application(client_max_size=16 << 20)
        app.router.add_get("/admin/runs", self.get_counts)
        app.router.add_post("/admin/faults", self.set_faults)
        app.router.add_route("*", "/{path:.*}", self.handle)
        return app


if __name__ == "__main__":
    asyncio.run(serve_forever(Runner().app()))
