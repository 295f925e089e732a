"""Zone leads, limit transfers and jobs, as the log has them."""

from typing import Any

import attrs
import msgspec

from firhook.model import (
    JobAccepted,
    JobCancelled,
    JobsAdopted,
    JobSpec,
    LeadClaimed,
    LeadReleased,
    LeadRenewed,
    LimitMoved,
    Verdict,
    to_builtins,
)
from firhook.state._base import StreamState


@attrs.frozen(slots=True)
class LeadState:
    """The lead of a zone.

    :param epoch: rises by one with each claim; 0 before the first.
    :param offset: of the last claim or renewal.
    :param released: whether the holder has handed it back.
    """

    epoch: int = 0
    instance: str = ""
    offset: int = -1
    released: bool = True


@attrs.frozen(slots=True)
class JobEntry:
    """A job and the zone that places it."""

    job: JobSpec
    zone: str
    offset: int
    cancelled: bool = False


class CellState(StreamState):
    """The cell-wide state, the same at every instance.

    :param zones: all availability zones of the cell.
    """

    def __init__(self, zones: tuple[str, ...]) -> None:
        super().__init__()
        self.zones = tuple(sorted(zones))
        self.leads: dict[str, LeadState] = {z: LeadState() for z in self.zones}
        self.moved: dict[str, dict[str, int]] = {}
        self.jobs: dict[str, JobEntry] = {}

    def apply_body(self, offset: int, lane: str, body: Any) -> Verdict:
        """Apply a claim of lead, a transfer or a job."""
        if isinstance(body, LeadClaimed):
            return self._apply_claim(offset, body)
        if isinstance(body, (LeadRenewed, LeadReleased)):
            return self._apply_renewal(offset, body)
        if isinstance(body, LimitMoved):
            return self._apply_move(body)
        if isinstance(body, JobAccepted):
            return self._apply_job(offset, body)
        if isinstance(body, JobCancelled):
            return self._apply_cancel(body)
        if isinstance(body, JobsAdopted):
            return self._apply_adoption(body)
        return Verdict.IGNORED

    def _apply_claim(self, offset: int, claim: LeadClaimed) -> Verdict:
        lead = self.leads.get(claim.zone)
        if lead is None or claim.epoch != lead.epoch + 1:
            return Verdict.CONFLICT
        self.leads[claim.zone] = LeadState(claim.epoch, claim.instance, offset, False)
        return Verdict.APPLIED

    def _apply_renewal(self, offset: int, body: LeadRenewed | LeadReleased) -> Verdict:
        lead = self.leads.get(body.zone)
        if lead is None or (lead.epoch, lead.instance) != (body.epoch, body.instance):
            return Verdict.CONFLICT
        released = isinstance(body, LeadReleased)
        self.leads[body.zone] = attrs.evolve(lead, offset=offset, released=released)
        return Verdict.APPLIED

    def _apply_move(self, move: LimitMoved) -> Verdict:
        lead = self.leads.get(move.giver)
        if lead is None or lead.epoch != move.epoch or move.receiver not in self.leads:
            return Verdict.CONFLICT
        by_zone = self.moved.setdefault(move.team, {})
        by_zone[move.giver] = by_zone.get(move.giver, 0) - move.amount
        by_zone[move.receiver] = by_zone.get(move.receiver, 0) + move.amount
        return Verdict.APPLIED

    def _apply_job(self, offset: int, accepted: JobAccepted) -> Verdict:
        key = accepted.job.key
        if key in self.jobs:
            same = self.jobs[key].job == accepted.job
            return Verdict.REPEATED if same else Verdict.CONFLICT
        if accepted.zone not in self.leads:
            return Verdict.IGNORED
        self.jobs[key] = JobEntry(accepted.job, accepted.zone, offset)
        return Verdict.APPLIED

    def _apply_cancel(self, cancel: JobCancelled) -> Verdict:
        for key in cancel.job_ids:
            if key in self.jobs:
                self.jobs[key] = attrs.evolve(self.jobs[key], cancelled=True)
        return Verdict.APPLIED

    def _apply_adoption(self, adoption: JobsAdopted) -> Verdict:
        giver = self.leads.get(adoption.giver)
        receiver = self.leads.get(adoption.receiver)
        if giver is None or receiver is None or receiver.epoch != adoption.epoch:
            return Verdict.CONFLICT
        if giver.offset != adoption.seen:
            return Verdict.CONFLICT
        for key, entry in self.jobs.items():
            if entry.zone == adoption.giver:
                self.jobs[key] = attrs.evolve(entry, zone=adoption.receiver)
        return Verdict.APPLIED

    def jobs_of(self, zone: str) -> list[JobEntry]:
        """Return the jobs that a zone's lead places, in order of acceptance."""
        return [entry for entry in self.jobs.values() if entry.zone == zone]

    def dump(self) -> Any:
        """Return the state as plain data."""
        return to_builtins(
            {"leads": self.leads, "moved": self.moved, "jobs": self.jobs}
        )

    def load(self, data: Any) -> None:
        """Replace the state by dumped plain data, all of it or nothing."""
        leads = msgspec.convert(data["leads"], dict[str, LeadState])
        moved = msgspec.convert(data["moved"], dict[str, dict[str, int]])
        jobs = msgspec.convert(data["jobs"], dict[str, JobEntry])
        # Zones that were added since the snapshot have had no lead yet.
        self.leads = {z: leads.get(z, LeadState()) for z in self.zones}
        self.moved, self.jobs = moved, jobs

    def holds(self, lane: str, body: Any) -> bool:
        """Return whether a claim of lead or a job is in force."""
        if isinstance(body, (LeadClaimed, LeadRenewed)):
            lead = self.leads.get(body.zone)
            return lead is not None and (
                (lead.epoch, lead.instance, lead.released)
                == (body.epoch, body.instance, False)
            )
        if isinstance(body, JobAccepted):
            entry = self.jobs.get(body.job.key)
            return entry is not None and entry.job == body.job
        return False
