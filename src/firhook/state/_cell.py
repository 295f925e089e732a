"""Zone leads, limit transfers and jobs according to the log."""

import hashlib
from typing import Any

import attrs
import msgspec

from firhook.decide.limits import Span, move_tokens
from firhook.model import (
    JobAccepted,
    JobCancelled,
    JobsAdopted,
    JobsEnded,
    JobSpec,
    LeadClaimed,
    LeadReleased,
    LeadRenewed,
    LimitMoved,
    Verdict,
    to_builtins,
)
from firhook.state._base import StreamState

#: Maximum number of ended jobs that are kept in full: about half a day at 4,900
#: jobs a day, in about 2 MB.
MAX_ENDED = 2000
#: Maximum number of older ended jobs whose ids are kept, so that a repeated
#: submission starts nothing: four days at 4,900 a day, in about 3 MB.
MAX_PRUNED = 20_000


def job_digest(job: JobSpec) -> str:
    """Return a short digest of a job's declaration, the same at every reader."""
    data = msgspec.json.encode(job)
    return hashlib.blake2b(data, digest_size=8).hexdigest()


@attrs.frozen(slots=True)
class LeadState:
    """The lead of a zone.

    :param epoch: incremented with each claim; 0 before the first.
    :param instance: the instance that holds the lead.
    :param offset: offset of the last claim or renewal.
    :param released: whether the holder has released the lead.
    :param roster: instances that may hold capacity lent by this lead or its
        predecessors.
    :param holders: number of holders that determines the cap of that capacity.
    """

    epoch: int = 0
    instance: str = ""
    offset: int = -1
    released: bool = True
    roster: tuple[str, ...] = ()
    holders: int = 1


@attrs.frozen(slots=True)
class JobEntry:
    """A job and the zone that places it.

    :param offset: offset of its acceptance.
    :param accepted_at: wall-clock time of its acceptance, in seconds.
    :param ended: how it ended, ``done`` or ``cancelled``; empty before.
    """

    job: JobSpec
    zone: str
    offset: int
    cancelled: bool = False
    accepted_at: float = 0.0
    ended: str = ""


class CellState(StreamState):
    """The cell-wide state, the same at every instance.

    :param zones: all availability zones of the cell.
    :ivar leads: the lead of each zone.
    :ivar moved: by team, the tokens of its limit that a zone other than their home
        owns; ``firhook.decide._tokens`` explains tokens.
    :ivar jobs: open jobs and recently ended ones, by key.
    :ivar pruned_jobs: digests of older ended jobs, by key.
    """

    def __init__(self, zones: tuple[str, ...]) -> None:
        super().__init__()
        self.zones = tuple(sorted(zones))
        self.leads: dict[str, LeadState] = {z: LeadState() for z in self.zones}
        self.moved: dict[str, tuple[Span, ...]] = {}
        self.jobs: dict[str, JobEntry] = {}
        self.pruned_jobs: dict[str, str] = {}
        self._open_by_zone: dict[str, dict[str, JobEntry]] = {}
        self._ended_jobs: dict[str, bool] = {}

    def apply_body(self, offset: int, lane: str, body: Any) -> Verdict:
        """Apply a claim of a lead, a transfer or a job."""
        if isinstance(body, LeadClaimed):
            return self._apply_claim(offset, body)
        if isinstance(body, (LeadRenewed, LeadReleased)):
            return self._apply_renewal(offset, body)
        if isinstance(body, LimitMoved):
            return self._apply_transfer(body)
        if isinstance(body, JobAccepted):
            return self._apply_job(offset, body)
        if isinstance(body, JobCancelled):
            return self._apply_cancel(body)
        if isinstance(body, JobsEnded):
            return self._apply_job_ends(body)
        if isinstance(body, JobsAdopted):
            return self._apply_adoption(body)
        return Verdict.IGNORED

    def _apply_claim(self, offset: int, claim: LeadClaimed) -> Verdict:
        lead = self.leads.get(claim.zone)
        if lead is None or claim.epoch != lead.epoch + 1:
            return Verdict.CONFLICT
        if claim.seen != lead.offset:
            return Verdict.CONFLICT
        roster = tuple(sorted({*lead.roster, claim.instance}))
        self.leads[claim.zone] = LeadState(
            claim.epoch, claim.instance, offset, False, roster, lead.holders
        )
        return Verdict.APPLIED

    def _apply_renewal(self, offset: int, body: LeadRenewed | LeadReleased) -> Verdict:
        lead = self.leads.get(body.zone)
        if lead is None or (lead.epoch, lead.instance) != (body.epoch, body.instance):
            return Verdict.CONFLICT
        released = isinstance(body, LeadReleased)
        if lead.released and not released:
            return Verdict.CONFLICT
        holders = lead.holders if isinstance(body, LeadReleased) else body.holders
        self.leads[body.zone] = attrs.evolve(
            lead,
            offset=offset,
            released=released,
            roster=body.roster,
            holders=holders,
        )
        return Verdict.APPLIED

    def _apply_transfer(self, transfer: LimitMoved) -> Verdict:
        lead = self.leads.get(transfer.giver)
        if lead is None or lead.epoch != transfer.epoch or lead.released:
            return Verdict.CONFLICT
        moved = move_tokens(
            self.moved.get(transfer.team, ()),
            self.zones,
            transfer.limit,
            transfer.giver,
            transfer.receiver,
            transfer.amount,
        )
        if moved is None:
            return Verdict.CONFLICT
        self.moved[transfer.team] = moved
        return Verdict.APPLIED

    def _apply_job(self, offset: int, accepted: JobAccepted) -> Verdict:
        key = accepted.job.key
        if key in self.jobs:
            same = self.jobs[key].job == accepted.job
            return Verdict.REPEATED if same else Verdict.CONFLICT
        if key in self.pruned_jobs:
            same = self.pruned_jobs[key] == job_digest(accepted.job)
            return Verdict.REPEATED if same else Verdict.CONFLICT
        if accepted.zone not in self.leads:
            return Verdict.IGNORED
        entry = JobEntry(
            accepted.job, accepted.zone, offset, accepted_at=accepted.accepted_at
        )
        self._store_job(key, entry)
        return Verdict.APPLIED

    def _store_job(self, key: str, entry: JobEntry) -> None:
        """Store a job and update the index of open jobs."""
        last = self.jobs.get(key)
        if last is not None and (last.zone != entry.zone or entry.ended):
            self._open_by_zone.get(last.zone, {}).pop(key, None)
        self.jobs[key] = entry
        if entry.ended:
            self._ended_jobs[key] = True
        else:
            self._open_by_zone.setdefault(entry.zone, {})[key] = entry

    def _apply_cancel(self, cancel: JobCancelled) -> Verdict:
        applied = False
        for key in cancel.job_ids:
            entry = self.jobs.get(key)
            if entry is not None and not entry.cancelled and not entry.ended:
                self._store_job(key, attrs.evolve(entry, cancelled=True))
                applied = True
        return Verdict.APPLIED if applied else Verdict.REPEATED

    def _apply_job_ends(self, body: JobsEnded) -> Verdict:
        lead = self.leads.get(body.zone)
        if lead is None or lead.epoch != body.epoch:
            return Verdict.CONFLICT
        for item in body.items:
            entry = self.jobs.get(item.job_id)
            if entry is None or entry.ended or entry.zone != body.zone:
                continue
            self._store_job(item.job_id, attrs.evolve(entry, ended=item.outcome))
        self._delete_oldest_ended()
        return Verdict.APPLIED

    def _delete_oldest_ended(self) -> None:
        """Delete the jobs that ended longest ago, in record order at every reader."""
        while len(self._ended_jobs) > MAX_ENDED:
            oldest = next(iter(self._ended_jobs))
            del self._ended_jobs[oldest]
            self.pruned_jobs[oldest] = job_digest(self.jobs.pop(oldest).job)
        while len(self.pruned_jobs) > MAX_PRUNED:
            del self.pruned_jobs[next(iter(self.pruned_jobs))]

    def _apply_adoption(self, adoption: JobsAdopted) -> Verdict:
        giver = self.leads.get(adoption.giver)
        receiver = self.leads.get(adoption.receiver)
        if giver is None or receiver is None or receiver.epoch != adoption.epoch:
            return Verdict.CONFLICT
        if giver.offset != adoption.seen:
            return Verdict.CONFLICT
        for entry in self.open_jobs(adoption.giver):
            self._store_job(entry.job.key, attrs.evolve(entry, zone=adoption.receiver))
        return Verdict.APPLIED

    def open_jobs(self, zone: str) -> list[JobEntry]:
        """Return the jobs of a zone that have not ended."""
        return list(self._open_by_zone.get(zone, {}).values())

    def dump(self) -> Any:
        """Return the state as plain data."""
        return to_builtins(
            {
                "leads": self.leads,
                "moved": self.moved,
                "jobs": self.jobs,
                "ended": list(self._ended_jobs),
                "known": self.pruned_jobs,
            }
        )

    def load(self, data: Any) -> None:
        """Replace the state by dumped plain data, or leave it unchanged on errors."""
        leads = msgspec.convert(data["leads"], dict[str, LeadState])
        moved = msgspec.convert(data["moved"], dict[str, tuple[Span, ...]])
        jobs = msgspec.convert(data["jobs"], dict[str, JobEntry])
        ended = msgspec.convert(data["ended"], list[str])
        known = msgspec.convert(data["known"], dict[str, str])
        # Zones added after the snapshot have no lead yet.
        self.leads = {z: leads.get(z, LeadState()) for z in self.zones}
        self.moved, self.pruned_jobs = moved, known
        self.jobs, self._open_by_zone = {}, {}
        self._ended_jobs = dict.fromkeys(ended, True)
        for key, entry in jobs.items():
            self._store_job(key, entry)

    def has_applied(self, lane: str, body: Any) -> bool:
        """Return whether a claim or renewal of a lead, or a job, is in effect."""
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
