"""Takes over the jobs of a zone that was lost, from its stream on the log."""

from firhook.decide.adopt import LeadActivity, choose_adopter, tasks_to_carry
from firhook.decide.orders import Timing
from firhook.errors import LogTrimmedError, RecordMalformedError
from firhook.events import (
    Append,
    LogAge,
    LoopStalled,
    RecordApplied,
    StreamRebuilt,
)
from firhook.kernel import Kernel
from firhook.logs import log
from firhook.model import (
    Envelope,
    JobsAdopted,
    LeadClaimed,
    LeadReleased,
    LeadRenewed,
    SnapshotChunk,
    TasksCarried,
    Verdict,
    decode_envelope,
)
from firhook.platform.clients import LogService
from firhook.state import Snapshot, SnapshotFinder, ZoneState

#: Attempts in one record, about 50 kB.
MAX_CARRIED = 500


class Adopter:
    """Watches the other zones' leads on behalf of this zone's lead."""

    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel
        self._cell = kernel.states.cell
        self._sight = LeadActivity()
        bus = kernel.bus
        bus.subscribe(RecordApplied, self._on_record)
        bus.subscribe(StreamRebuilt, lambda _: self._sight.reset())
        bus.subscribe(LoopStalled, lambda _: self._sight.reset())

    def _on_record(self, event: RecordApplied) -> None:
        body = event.envelope.body
        if not isinstance(body, (LeadClaimed, LeadRenewed, LeadReleased)):
            return
        if event.verdict is Verdict.APPLIED:
            self._sight.record_lead(body.zone, self._kernel.clock())

    async def step(self, epoch: int, timing: Timing) -> None:
        """Adopt the jobs of the lost zones that fall to this one."""
        kernel, now = self._kernel, self._kernel.clock()
        self._sight.record_log_age(await kernel.bus.ask(LogAge("cell")), now)
        zones = kernel.cfg.zones
        fresh_s = 2 * kernel.cfg.lead_lease_s
        alive = {z: self._sight.inactive_s(z, now) <= fresh_s for z in zones}
        for zone in zones:
            if zone == kernel.cfg.zone or not self._cell.open_jobs(zone):
                continue
            if not self._sight.is_lost(zone, timing, now):
                continue
            if choose_adopter(zones, zone, alive) == kernel.cfg.zone:
                await self._adopt(zone, epoch)

    async def _adopt(self, zone: str, epoch: int) -> None:
        """Bring a zone's attempts over, then have its jobs placed here.

        The attempts come first: were the jobs adopted before, a death of this
        lead between the two would have its successor start them from nothing.
        """
        seen = self._cell.leads[zone].offset
        job_ids = [entry.job.key for entry in self._cell.open_jobs(zone)]
        giver = await read_zone(self._kernel.platform.log, zone)
        items = tasks_to_carry(giver, job_ids)
        ask = self._kernel.bus.ask
        own = self._kernel.cfg.zone
        for i in range(0, len(items), MAX_CARRIED):
            part = tuple(items[i : i + MAX_CARRIED])
            await ask(Append(f"zone.{own}", TasksCarried(epoch, zone, part)))
        applied = await ask(Append("cell", JobsAdopted(zone, own, epoch, seen)))
        log(
            "zone.adopted",
            giver=zone,
            jobs=len(job_ids),
            tasks=len(items),
            verdict=applied.verdict.value,
        )


async def read_zone(service: LogService, zone: str) -> ZoneState:
    """Return the state of another zone, read from its stream.

    Where its first records have expired, a snapshot that the stream carries
    takes their place; without one, what is left of the attempts is returned.
    They decide how much work is done again, not whether a task runs twice.

    :raises LogUnavailableError: if the log cannot be reached.
    """
    state, offset = ZoneState(zone), 0
    kept: list[tuple[int, Envelope]] = []
    rebuild: SnapshotFinder | None = None
    while True:
        try:
            page = await service.read(f"zone.{zone}", offset, 0.0)
        except LogTrimmedError as exc:
            offset = int(exc.extra["first"])
            state, kept, rebuild = ZoneState(zone), [], SnapshotFinder(offset)
            continue
        for entry in page.entries:
            offset = entry.offset + 1
            try:
                envelope = decode_envelope(entry.payload)
            except RecordMalformedError:
                continue
            kept.append((entry.offset, envelope))
            state.apply(entry.offset, envelope)
            chunk = envelope.body
            if rebuild is not None and isinstance(chunk, SnapshotChunk):
                snapshot = rebuild.add(envelope.lane, chunk)
                if snapshot is not None:
                    state, rebuild = _started_from(zone, snapshot, kept), None
        if not page.entries or offset >= page.end:
            return state


def _started_from(
    zone: str, snapshot: Snapshot, kept: list[tuple[int, Envelope]]
) -> ZoneState:
    """Return a snapshot's state with the records after it applied."""
    state = ZoneState(zone)
    state.from_text(snapshot.upto, snapshot.text)
    for offset, envelope in kept:
        if offset >= snapshot.upto:
            state.apply(offset, envelope)
    return state
