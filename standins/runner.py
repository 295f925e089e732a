"""A stand-in for a team's runner that serves requests of any path.

``GET /any/path?ms=20`` responds after 20 ms.  Every ``POST`` counts as a run of its
body.  ``GET /admin/runs`` returns how often each body ran and when each request
was served, by the machine's monotonic clock.  ``POST /admin/faults`` accepts
``slow_s`` (extra latency), ``fail`` (abort every connection),
``fail_after`` (abort it after the run) and ``leaving`` (announce in each response
that the runner takes no new work).
"""

import asyncio
import time
from collections import Counter
from typing import Any

from aiohttp import web

from standins.serving import serve_forever


class Runner:
    """Serves requests and counts the runs.

    :ivar runs: number of runs by request body.
    :ivar spans: the request's ``n``, start and end of each served request.
    """

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
        """Serve a request of any method and path, and record its span."""
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
        """Return the run counts, the peak concurrency and the spans."""
        return web.json_response(
            {
                "runs": self.runs,
                "most_in_flight": self.most_in_flight,
                "spans": self.spans,
            }
        )

    async def set_faults(self, req: web.Request) -> web.Response:
        """Update the injected faults."""
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
