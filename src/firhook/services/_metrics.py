"""Serves this instance's metrics, and the lead's reports, to operators."""

import msgspec
from aiohttp import web

from firhook._sockets import open_listening_socket
from firhook._web import problem_response
from firhook.errors import AddressUnusableError, RequestMalformedError
from firhook.instance import InstanceService, register_service
from firhook.logs import log
from firhook.services._events import (
    CountRefused,
    CountWaiting,
    DescribeWaiting,
    DescribeWorkers,
    ReplicaAge,
)

#: The metrics port that the deployment declares.
METRICS_PORT = 9464
_PATH = "/metrics"
_WAITING_PATH = "/waiting"
_WORKERS_PATH = "/workers"
_TEAMS_PATH = "/teams"
#: The number of steps or workers in an answer if the query does not state a limit.
_DEFAULT_ROWS = 20


@register_service("metrics")
class Metrics(InstanceService):
    """Serves the endpoint of operators."""

    def register_handlers(self) -> None:
        """Initialize without a listening socket."""
        self._runner: web.ServerRunner | None = None

    async def on_started(self) -> None:
        """Listen on the metrics port."""
        self._runner = web.ServerRunner(web.Server(self._serve, access_log=None))
        await self._runner.setup()
        try:
            sock = open_listening_socket(self.settings.ip, METRICS_PORT)
        except AddressUnusableError as exc:
            # An instance can serve callers without metrics, so this is not fatal.
            log("metrics.unavailable", level="error", error=str(exc))
            return
        await web.SockSite(self._runner, sock).start()

    async def _serve(self, req: web.BaseRequest) -> web.Response:
        if req.path in (_WAITING_PATH, _WORKERS_PATH):
            return await self._serve_report(req)
        if req.path == _TEAMS_PATH:
            return await self._serve_teams()
        if req.path != _PATH:
            return web.Response(status=404)
        # Imported at the first scrape: at a start after the loss of all instances,
        # nothing is served until the modules of each of them are imported.
        from firhook.services._exposition import render_metrics

        age_s = await self.bus.ask(ReplicaAge())
        body = render_metrics(self.instance, age_s, await self.bus.ask(CountWaiting()))
        return web.Response(body=body, content_type="text/plain")

    async def _serve_report(self, req: web.BaseRequest) -> web.Response:
        limit = req.query.get("limit", str(_DEFAULT_ROWS))
        if not limit.isascii() or not limit.isdigit():
            return problem_response(RequestMalformedError("limit: give a number"))
        # A longer number than any limit need not be converted.
        rows = int(limit[:9])
        query: DescribeWaiting | DescribeWorkers = DescribeWorkers(rows)
        if req.path == _WAITING_PATH:
            query = DescribeWaiting(rows, req.query.get("job", ""))
        body = msgspec.json.encode(await self.bus.ask(query))
        return web.Response(body=body, content_type="application/json")

    async def _serve_teams(self) -> web.Response:
        answer = await self.bus.ask(DescribeWaiting(0, teams=True))
        answer["refused"] = await self.bus.ask(CountRefused())
        return web.Response(
            body=msgspec.json.encode(answer), content_type="application/json"
        )

    async def on_stop(self) -> None:
        """Close the socket."""
        if self._runner is not None:
            await self._runner.cleanup()
