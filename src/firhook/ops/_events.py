"""An event stream of the cell's scheduling and recovery steps."""

import asyncio
import contextlib
from collections import deque
from collections.abc import Iterable
from typing import Any

import attrs
import msgspec
from aiohttp import web

from firhook._principal import require_operator
from firhook._web import REQUEST_ID, REQUEST_KEY
from firhook.errors import RequestMalformedError
from firhook.events import RecordApplied
from firhook.kernel import Kernel
from firhook.model import (
    Assigned,
    Ended,
    JobsAdopted,
    LeadClaimed,
    LeadReleased,
    LimitMoved,
    Verdict,
    WorkerMarked,
)
from firhook.ops._routes import Routes

#: Steps kept for later connections: a few minutes at 62 starts a second over
#: seven zones, in less than 2 MB.
MAX_KEPT_STEPS = 2000
#: Further listeners are refused, so that abandoned ones cannot accumulate.
MAX_LISTENERS = 16
MAX_WAIT_S = 300.0


@attrs.frozen(slots=True)
class CellStep:
    """One scheduling or recovery step as shown to operators.

    :param seq: the sequence number, which counts the steps at this instance.
    :param stream: the log stream of the record.
    :param offset: the offset of the record in its stream.
    :param kind: such as ``assigned``, ``ended`` or ``adopted``.
    :param subject: the task, zone, worker or team concerned.
    :param detail: what was done and why.
    """

    seq: int
    stream: str
    offset: int
    kind: str
    subject: str
    detail: str


def describe_steps(body: Any) -> Iterable[tuple[str, str, str]]:
    """Yield the kind, subject and detail of each step in a record."""
    if isinstance(body, Assigned):
        for item in body.items:
            task = f"{item.job_id}[{item.index}]"
            yield "assigned", task, f"attempt {item.attempt} to {item.worker}"
    elif isinstance(body, Ended):
        for item in body.items:
            task = f"{item.job_id}[{item.index}]"
            reason = f": {item.reason}" if item.reason else ""
            yield "ended", task, f"attempt {item.attempt} {item.outcome}{reason}"
    elif isinstance(body, JobsAdopted):
        yield "adopted", f"zone {body.giver}", f"its jobs go to zone {body.receiver}"
    elif isinstance(body, WorkerMarked):
        yield "marked", body.worker, f"{body.mark}: {body.reason}"
    elif isinstance(body, LeadClaimed):
        yield "lead", f"zone {body.zone}", f"{body.instance} leads epoch {body.epoch}"
    elif isinstance(body, LeadReleased):
        yield "lead", f"zone {body.zone}", f"{body.instance} handed it back"
    elif isinstance(body, LimitMoved):
        yield (
            "limit",
            f"team {body.team}",
            f"{body.amount} moved from zone {body.giver} to {body.receiver}",
        )


class EventRoutes(Routes):
    """Keeps the latest steps and streams them as JSON lines."""

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        self._steps: deque[CellStep] = deque(maxlen=MAX_KEPT_STEPS)
        self._seq = 0
        self._steps_added = asyncio.Event()
        self._listeners = 0
        self.bus.subscribe(RecordApplied, self._on_record)

    def api(self) -> list[web.RouteDef]:
        """Return the event route, which requires an operator's key."""
        return [web.get("/v1/events", self._get_events)]

    def ops(self) -> list[web.RouteDef]:
        """Return no routes."""
        return []

    def _on_record(self, event: RecordApplied) -> None:
        if event.verdict is not Verdict.APPLIED:
            return
        for kind, subject, detail in describe_steps(event.envelope.body):
            self._seq += 1
            self._steps.append(
                CellStep(self._seq, event.stream, event.offset, kind, subject, detail)
            )
        self._steps_added.set()

    async def _get_events(self, req: web.Request) -> web.StreamResponse:
        """Stream the steps after number ``after``, for ``wait`` seconds."""
        await require_operator(self.bus, req)
        after = _parse_number(req, "after", 0, 2**53)
        wait_s = _parse_number(req, "wait", 0, MAX_WAIT_S)
        if self._listeners >= MAX_LISTENERS:
            raise RequestMalformedError(f"{MAX_LISTENERS} listeners are connected")
        resp = web.StreamResponse(headers={"Content-Type": "application/x-ndjson"})
        resp.headers[REQUEST_ID] = req[REQUEST_KEY]
        await resp.prepare(req)
        self._listeners += 1
        try:
            # A listener that disconnects is not an error.
            with contextlib.suppress(ConnectionResetError):
                await self._stream(resp, int(after), wait_s)
        finally:
            self._listeners -= 1
        return resp

    async def _stream(
        self, resp: web.StreamResponse, after: int, wait_s: float
    ) -> None:
        deadline = self.kernel.clock() + wait_s
        while True:
            for step in [s for s in self._steps if s.seq > after]:
                await resp.write(msgspec.json.encode(step) + b"\n")
                after = step.seq
            remaining_s = deadline - self.kernel.clock()
            if remaining_s <= 0 or self.kernel.stopping:
                return
            self._steps_added.clear()
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._steps_added.wait(), min(remaining_s, 1.0))


def _parse_number(req: web.Request, name: str, low: float, high: float) -> float:
    text = req.query.get(name, "0")
    try:
        value = float(text)
    except ValueError:
        value = float("nan")
    if not low <= value <= high:
        raise RequestMalformedError(f"{name} = {text!r}: give {low:g} to {high:g}")
    return value
