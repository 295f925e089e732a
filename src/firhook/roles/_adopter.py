"""Takes over the jobs of a lost zone, whose state is read from its log stream."""

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

#: Maximum number of attempts in one record, about 50 kB.
MAX_ATTEMPTS_PER_RECORD = 500


class Adopter:
    """Watches the other zones' leads and adopts the jobs of lost zones.

    Used by this zone's lead.
    """

    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel
        self._cell = kernel.states.cell
        self._lead_activity = LeadActivity()
        bus = kernel.bus
        bus.subscribe(RecordApplied, self._on_record)
        bus.subscribe(StreamRebuilt, lambda _: self._lead_activity.reset())
        bus.subscribe(LoopStalled, lambda _: self._lead_activity.reset())

    def _on_record(self, event: RecordApplied) -> None:
        body = event.envelope.body
        if not isinstance(body, (LeadClaimed, LeadRenewed, LeadReleased)):
            return
        if event.verdict is Verdict.APPLIED:
            self._lead_activity.record_lead(body.zone, self._kernel.clock())

    async def step(self, epoch: int, timing: Timing) -> None:
        """Adopt the jobs of each lost zone for which this zone is responsible."""
        kernel, now = self._kernel, self._kernel.clock()
        self._lead_activity.record_log_age(await kernel.bus.ask(LogAge("cell")), now)
        zones = kernel.cfg.zones
        max_inactive_s = 2 * kernel.cfg.lead_lease_s
        alive = {
            z: self._lead_activity.inactive_s(z, now) <= max_inactive_s for z in zones
        }
        for zone in zones:
            if zone == kernel.cfg.zone or not self._cell.open_jobs(zone):
                continue
            if not self._lead_activity.is_lost(zone, timing, now):
                continue
            if choose_adopter(zones, zone, alive) == kernel.cfg.zone:
                await self._adopt(zone, epoch)

    async def _adopt(self, zone: str, epoch: int) -> None:
        """Copy a zone's attempts to this zone's stream, then adopt its jobs.

        The attempts are recorded first.  If the jobs were adopted first and
        this lead died before it recorded the attempts, its successor would
        start the jobs from the beginning.
        """
        lead_offset = self._cell.leads[zone].offset
        job_ids = [entry.job.key for entry in self._cell.open_jobs(zone)]
        lost_state = await read_zone_state(self._kernel.platform.log, zone)
        items = tasks_to_carry(lost_state, job_ids)
        append = self._kernel.bus.ask
        own_zone = self._kernel.cfg.zone
        for i in range(0, len(items), MAX_ATTEMPTS_PER_RECORD):
            batch = tuple(items[i : i + MAX_ATTEMPTS_PER_RECORD])
            await append(Append(f"zone.{own_zone}", TasksCarried(epoch, zone, batch)))
        applied = await append(
            Append("cell", JobsAdopted(zone, own_zone, epoch, lead_offset))
        )
        log(
            "zone.adopted",
            giver=zone,
            jobs=len(job_ids),
            tasks=len(items),
            verdict=applied.verdict.value,
        )


async def read_zone_state(service: LogService, zone: str) -> ZoneState:
    """Read the state of another zone from its stream.

    If the first records have expired, the state starts from a snapshot in the
    stream.  Without one, only the attempts in the remaining records are
    returned.  Missing attempts cost repeated work, but no task runs twice.

    :raises LogUnavailableError: if the log cannot be reached.
    """
    state, offset = ZoneState(zone), 0
    records: list[tuple[int, Envelope]] = []
    snapshot_finder: SnapshotFinder | None = None
    while True:
        try:
            page = await service.read(f"zone.{zone}", offset, 0.0)
        except LogTrimmedError as exc:
            offset = int(exc.extra["first"])
            state, records, snapshot_finder = (
                ZoneState(zone),
                [],
                SnapshotFinder(offset),
            )
            continue
        for entry in page.entries:
            offset = entry.offset + 1
            try:
                envelope = decode_envelope(entry.payload)
            except RecordMalformedError:
                continue
            records.append((entry.offset, envelope))
            state.apply(entry.offset, envelope)
            chunk = envelope.body
            if snapshot_finder is not None and isinstance(chunk, SnapshotChunk):
                snapshot = snapshot_finder.add(envelope.lane, chunk)
                if snapshot is not None:
                    state, snapshot_finder = (
                        _state_from_snapshot(zone, snapshot, records),
                        None,
                    )
        if not page.entries or offset >= page.end:
            return state


def _state_from_snapshot(
    zone: str, snapshot: Snapshot, records: list[tuple[int, Envelope]]
) -> ZoneState:
    """Return a snapshot's state with the later records applied."""
    state = ZoneState(zone)
    state.from_text(snapshot.upto, snapshot.text)
    for offset, envelope in records:
        if offset >= snapshot.upto:
            state.apply(offset, envelope)
    return state
