"""Sends the load table with the lead's heartbeat, and refuses what is too late."""

import math
import random
from collections import Counter
from collections.abc import Mapping
from typing import Any, Protocol

import attrs

from firhook.cell import NO_RESOURCES, Job, JobSpec, JobTable, Queue
from firhook.cell.load import (
    LoadTable,
    decode_load_table,
    encode_load_table,
)
from firhook.clock import boot_time
from firhook.decide.load_table import (
    LoadRates,
    Shares,
    build_load_table,
    task_core_s,
    waiting_by_team,
)
from firhook.decide.submission_limits import Refusal, SubmissionLimits
from firhook.decide.tickets import AdviceRequest
from firhook.errors import (
    FirhookError,
    OverloadedTeamError,
    QueueLateError,
    RecordMalformedError,
)
from firhook.instance import InstanceService
from firhook.logs import log
from firhook.services._events import CountRefused, LeadHeard

#: The shortest interval between two tables.
TABLE_INTERVAL_S = 0.25
#: The most lines about refused submissions, or about malformed tables, in a second.
_MAX_LINES_PER_SECOND = 4
#: The most teams of which refusals are counted, and that are described.
_MAX_TEAMS = 500


class RoundSource(Protocol):
    """What the lead's reporter needs of the placement rounds.

    :ivar rates: the rates at which work starts and arrives.
    :ivar placed_at: when the last round took place.
    :ivar shares: the shares of the teams in the last round, if it computed them.
    """

    rates: LoadRates
    placed_at: float

    @property
    def shares(self) -> Shares | None:
        """The shares of the teams in the last round, if it computed them."""

    def due_advice(self) -> list[AdviceRequest]:
        """Return the requests of the last round that wait for an adviser slot."""


class LoadReporter:
    """Makes the load tables of one term of the lead.

    :param epoch: the term's epoch.
    """

    def __init__(self, epoch: int, job_table: JobTable, rounds: RoundSource) -> None:
        self._epoch = epoch
        self._job_table = job_table
        self._rounds = rounds
        self._arrivals = 0
        self._sequence = 0
        self._made_at = float("-inf")
        self.table: LoadTable | None = None

    def note_arrival(self, job: Job, now: float) -> None:
        """Record that an instance accepted a job."""
        self._arrivals += 1
        spec = job.accepted.spec
        if spec.periodic:
            return
        work = sum(
            s.count * task_core_s(s.need.cpu_m, s.estimate_s)
            for s in spec.steps
            if not s.long_running
        )
        self._rounds.rates.inflow.record((job.team, job.queue.address), work, now)

    def next_table(self, adviser_slots: int, now: float) -> bytes:
        """Return the encoded table, or nothing if the last one is recent enough."""
        if now - self._made_at < TABLE_INTERVAL_S:
            return b""
        self._made_at = now
        self._sequence += 1
        backlog: dict[tuple[str, str], float] = {}
        for request in self._rounds.due_advice():
            job = request.step.job
            key = (job.team, job.queue.address)
            backlog[key] = backlog.get(key, 0.0) + request.cost_s
        rounds = self._rounds
        table = build_load_table(
            self._job_table, rounds.shares, backlog, rounds.rates, now
        )
        self.table = attrs.evolve(
            table,
            epoch=self._epoch,
            sequence=self._sequence,
            age_s=max(now - rounds.placed_at, 0.0) if table.rows else 0.0,
            arrivals=self._arrivals,
            adviser_slots=max(adviser_slots, 1),
        )
        return encode_load_table(self.table)

    def describe_teams(self) -> dict[str, Any]:
        """Return the share, use, waiting work and drain of each team, for queries."""
        shares, now = self._rounds.shares, boot_time()
        waiting = waiting_by_team(self._job_table)
        usage = self._job_table.team_usage
        config = self._job_table.config
        names = sorted(config.team_by_name.keys() | waiting.keys() | usage.keys())
        names.sort(key=lambda name: -waiting.get(name, (0.0, 0))[0])
        rows = []
        for name in names[:_MAX_TEAMS]:
            team = config.team_by_name.get(name)
            core_s, steps = waiting.get(name, (0.0, 0))
            drain = self._rounds.rates.drain.rate((name,), now)
            rows.append(
                {
                    "team": name,
                    "weight": team.weight if team is not None else 0.0,
                    "limit_cores": team.limit.cpu_m / 1000 if team else 0.0,
                    "share_cores": _share_cores(shares, name),
                    "over": shares is not None and shares.is_over(name),
                    "use_cores": usage.get(name, NO_RESOURCES).cpu_m / 1000,
                    "waiting_core_s": round(core_s, 1),
                    "steps": steps,
                    "drain_cores": round(drain, 2),
                }
            )
        return {"crowded": shares is not None and shares.is_crowded, "rows": rows}


def _share_cores(shares: Shares | None, team: str) -> float | None:
    """Return the cores that a team may count on, if the last round computed them."""
    if shares is None:
        return None
    share = shares.entitlement_m(team) / 1000
    return round(share, 2) if math.isfinite(share) else None


class LoadKeeper:
    """Keeps the newest load table and checks submissions against it.

    :ivar refused: number of refusals by team.
    """

    def __init__(self, service: InstanceService) -> None:
        self._meters = service.meters
        self._limits = SubmissionLimits()
        # By name, so that instances differ and simulations can be repeated.
        self._random = random.Random(service.settings.name)
        self._refusal_lines = _LineLimiter()
        self._table_lines = _LineLimiter()
        self.refused: Counter[str] = Counter()
        service.bus.subscribe(LeadHeard, self._on_lead_heard)
        service.bus.register_handler(CountRefused, self._count_refused)

    def _on_lead_heard(self, event: LeadHeard) -> None:
        self._limits.note_epoch(event.epoch)
        if not event.load:
            return
        try:
            table = decode_load_table(event.load)
            if table.epoch != event.epoch:
                raise RecordMalformedError("LoadTable: of another epoch")
        except RecordMalformedError as exc:
            self._meters.count("load_tables", "malformed")
            suppressed = self._table_lines.next_line(boot_time())
            if suppressed is not None:
                log(
                    "load.malformed",
                    level="warning",
                    detail=exc.detail[:200],
                    suppressed=suppressed,
                )
            return
        is_newer = self._limits.update(table, boot_time())
        self._meters.count("load_tables", "applied" if is_newer else "outdated")

    async def _count_refused(self, query: CountRefused) -> Mapping[str, int]:
        return self.refused

    def check(
        self, job_id: str, queue: Queue, team: str, spec: JobSpec
    ) -> Refusal | None:
        """Return why a submission would be too late, or ``None`` if it is accepted.

        An accepted submission must be followed by :meth:`settle`.
        """
        now = boot_time()
        return self._limits.decide(
            job_id, queue, team, spec, now, self._random.random()
        )

    def is_in_force(self, job_id: str, refusal: Refusal) -> bool:
        """Return whether a refusal that was decided before may still be answered."""
        return self._limits.is_in_force(job_id, refusal, boot_time())

    def accept(self, job_id: str, queue: Queue, team: str, spec: JobSpec) -> None:
        """Accept a submission that was to be refused."""
        self._limits.accept(job_id, queue, team, spec)

    def forget(self, job_id: str) -> None:
        """Forget a submission that was to be refused; its id is known already."""
        self._limits.order.remove(job_id)

    def settle(self, job_id: str) -> None:
        """Record that the append of an accepted submission ended."""
        self._limits.settle(job_id, boot_time())

    def refusal_error(
        self, job_id: str, queue: Queue, team: str, refusal: Refusal
    ) -> FirhookError:
        """Count and log a refusal; return the error for the caller."""
        code = OverloadedTeamError if refusal.is_over else QueueLateError
        self._meters.count("submissions_refused", code.code)
        if refusal.refusals > 1:
            self._meters.count("submissions_refused_again", code.code)
        self._meters.record_duration("refusal_retry", "", refusal.retry_after_s)
        if team in self.refused or len(self.refused) < _MAX_TEAMS:
            self.refused[team] += 1
        suppressed = self._refusal_lines.next_line(boot_time())
        if suppressed is not None:
            log(
                "submission.refused",
                job=job_id,
                queue=queue.name,
                team=team,
                code=code.code,
                wait_s=round(refusal.wait_s, 2),
                path_s=round(refusal.path_s, 2),
                objective_s=round(refusal.objective_s, 2),
                elapsed_s=round(refusal.elapsed_s, 2),
                refusals=refusal.refusals,
                work_core_s=round(refusal.work_core_s, 1),
                drain_cores=round(refusal.drain_cores, 1),
                advice_s=round(refusal.advice_s, 2),
                age_s=round(refusal.age_s, 2),
                epoch=refusal.table[0],
                table=refusal.table[1],
                retry_after_s=round(refusal.retry_after_s, 2),
                suppressed=suppressed,
            )
        return code(
            f"it would wait {refusal.wait_s:.1f} s and end after"
            f" {refusal.elapsed_s + refusal.wait_s + refusal.path_s:.1f} s;"
            f" its objective is {refusal.objective_s:.1f} s",
            retry_after_s=refusal.retry_after_s,
        )


class _LineLimiter:
    """Limits the log lines of one cause, and counts the suppressed ones."""

    def __init__(self) -> None:
        self._second = 0
        self._lines = 0
        self._suppressed = 0

    def next_line(self, now: float) -> int | None:
        """Return how many lines were suppressed before this one.

        The result is ``None`` if this line is suppressed as well.
        """
        if int(now) != self._second:
            self._second, self._lines = int(now), 0
        if self._lines >= _MAX_LINES_PER_SECOND:
            self._suppressed += 1
            return None
        self._lines += 1
        suppressed, self._suppressed = self._suppressed, 0
        return suppressed
