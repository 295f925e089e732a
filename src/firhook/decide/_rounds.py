"""One scheduling round of a zone's lead: placement, preemption and stops."""

from collections.abc import Mapping

import attrs

from firhook.decide._endings import Endings
from firhook.decide._failure_tracker import FailureTracker, pending_tasks
from firhook.decide._fair_share import (
    GANG_RESERVE_AFTER_S,
    PlacementPlan,
    Reservation,
    TaskRequest,
    dominant_share,
    plan_placements,
)
from firhook.decide._orders import LeadTerm, WorkerView
from firhook.decide._place import CapacityIndex, ResourceNeed, WorkerCapacity
from firhook.decide._preempt import (
    PREEMPT_BURST,
    PREEMPT_PER_S,
    choose_victims,
    tasks_of_broken_gangs,
    tasks_on_leaving_workers,
    tasks_over_limit,
)
from firhook.decide._token_bucket import TokenBucket
from firhook.model import (
    Assignment,
    JobNote,
    Report,
)
from firhook.state import CellState, ConfigState, JobEntry, Ref, ZoneState

#: Minimum interval between notes that tell why a job waits.  If the reason changes
#: every round, a record per change would use up the append rate of task starts.
NOTE_INTERVAL_S = 30.0
#: Maximum number of notes in one record, about 20 kB; the rest follow later.
MAX_NOTES_PER_ROUND = 200


@attrs.frozen(slots=True)
class _Reserved:
    """Resources assigned on a worker, and the share of the zone by team."""

    cpus: float
    memory_mb: int
    accelerators: int
    by_team: Mapping[str, float]


_NO_RESERVATION = _Reserved(0.0, 0, 0, {})


class Scheduler:
    """Schedules one zone from the states and the lead's view of the workers.

    :ivar endings: processes ended attempts.
    """

    def __init__(self, zone: ZoneState, cell: CellState, config: ConfigState) -> None:
        self._zone = zone
        self._cell = cell
        self._config = config
        self._failures = FailureTracker()
        self.endings = Endings(zone, cell, self._failures, self._remove_notes)
        self._budget = TokenBucket(PREEMPT_PER_S, PREEMPT_BURST)
        self._reserved: dict[str, _Reserved] = {}
        self._used: dict[str, float] = {}
        self._total = ResourceNeed(0.0, 0, 0)
        self._waiting_since: dict[str, float] = {}
        self._last_progress: dict[Ref, tuple[float, float]] = {}
        self._last_notes: dict[str, tuple[str, float]] = {}
        self._slots_by_need: dict[ResourceNeed, int] = {}
        self._progress_read_at: dict[str, float] = {}
        self._seen_reports: dict[str, Report | None] = {}
        self._capacities = CapacityIndex(())
        self._rack_of: dict[str, str] = {}
        self._fleet_version = (0, -1)
        self._preemption_round = 0
        self._fresh = False

    def invalidate(self) -> None:
        """Discard everything derived from the states, after one was replaced."""
        self._fresh = False

    def _remove_notes(self, job_id: str) -> None:
        self._last_notes.pop(job_id, None)

    # -- free resources -------------------------------------------------------

    def _refresh(self, term: LeadTerm) -> None:
        """Update derived data incrementally from the log's state."""
        if self._fleet_version != (term.epoch, term.fleet_version) or not self._fresh:
            self._fleet_version = (term.epoch, term.fleet_version)
            self._rebuild_totals(term)
        for worker in self._zone.changed_workers:
            self._refresh_worker(worker)
        self._zone.changed_workers.clear()

    def _rebuild_totals(self, term: LeadTerm) -> None:
        """Recompute the fleet's total resources and reset derived data."""
        endpoints = [v.endpoint for v in term.workers.values() if v.endpoint]
        self._total = ResourceNeed(
            sum(e.cpus for e in endpoints),
            sum(e.memory_mb for e in endpoints),
            sum(e.accelerators for e in endpoints),
        )
        cpus, memory_mb = self._total.cpus, self._total.memory_mb
        self._capacities = CapacityIndex(
            (), memory_mb / cpus if cpus and memory_mb else 2048.0
        )
        self._rack_of = {e.name: e.rack for e in endpoints}
        self._seen_reports.clear()
        self._reserved.clear()
        self._used.clear()
        self._slots_by_need.clear()
        self._zone.changed_workers |= self._zone.live.keys()
        self._fresh = True

    def _refresh_worker(self, worker: str) -> None:
        self._seen_reports.pop(worker, None)
        for team, share in self._reserved.pop(worker, _NO_RESERVATION).by_team.items():
            self._used[team] -= share
        refs = self._zone.live.get(worker)
        if not refs:
            return
        cpus, memory_mb, accelerators = 0.0, 0, 0
        by_team: dict[str, float] = {}
        for ref in refs:
            entry = self._cell.jobs.get(ref[0])
            if entry is None:
                continue
            job = entry.job
            cpus += job.cpus
            memory_mb += job.memory_mb
            accelerators += job.accelerators
            share = dominant_share(ResourceNeed.of(job), self._total)
            by_team[job.team] = by_team.get(job.team, 0.0) + share
        self._reserved[worker] = _Reserved(cpus, memory_mb, accelerators, by_team)
        for team, share in by_team.items():
            self._used[team] = self._used.get(team, 0.0) + share

    def _refresh_capacities(self, term: LeadTerm, now: float) -> None:
        """Update the free resources from the log and the workers' last reports.

        Only changed workers are recomputed: with 910 workers a full recomputation
        would take longer than the placements of the round.
        """
        marks = self._zone.marks
        for name, view in term.workers.items():
            known = view.report is not None and name not in marks
            if known and self._seen_reports.get(name) is view.report:
                continue
            self._seen_reports[name] = view.report
            if self._usable(view, now):
                self._capacities.put(self._free_capacity(view))
            else:
                self._capacities.remove(name)

    def _usable(self, view: WorkerView, now: float) -> bool:
        """Return whether a worker may get tasks.

        A worker that does not answer may be dead, and one with orphaned runs has
        less free capacity than the log says.
        """
        if view.endpoint is None or view.endpoint.leaving or view.report is None:
            return False
        if view.name in self._zone.marks:
            if self._has_batch_tasks(view.name):
                return False
            return self._failures.may_probe(view.name, now)
        return not self._has_orphaned_runs(view.name, view.report)

    def _has_batch_tasks(self, worker: str) -> bool:
        """Return whether a worker has a task that is a probe or may be one.

        A service may run there from before the quarantine.  It never ends, and would
        keep the worker from being probed.
        """
        entries = (
            self._cell.jobs.get(ref[0]) for ref in self._zone.live.get(worker, ())
        )
        return any(e is None or e.job.priority != "service" for e in entries)

    def _has_orphaned_runs(self, worker: str, report: Report) -> bool:
        live = self._zone.live.get(worker, {})
        return any(
            t.state == "running" and (t.job_id, t.index, t.attempt) not in live
            for t in report.tasks
        )

    def _free_capacity(self, view: WorkerView) -> WorkerCapacity:
        e = view.endpoint
        assert e is not None
        used = self._reserved.get(view.name, _NO_RESERVATION)
        return WorkerCapacity(
            view.name,
            e.rack,
            e.cpus - used.cpus,
            e.memory_mb - used.memory_mb,
            e.accelerators - used.accelerators,
        )

    # -- pending work -----------------------------------------------------------

    def _pending_requests(self, now: float, wall: float) -> list[TaskRequest]:
        def may_retry(job_id: str, index: int, failures: int) -> bool:
            return self._failures.may_retry(job_id, index, failures, now)

        requests = []
        for entry in self._cell.open_jobs(self._zone.zone):
            key = entry.job.key
            if self._zone.live_tasks.get(key, 0) >= entry.job.tasks:
                self._waiting_since.pop(key, None)
                continue
            indexes = pending_tasks(entry, self._zone, may_retry)
            if indexes:
                requests.append(self._make_request(entry, indexes, now, wall))
            else:
                self._waiting_since.pop(key, None)
        return requests

    def _make_request(
        self, entry: JobEntry, indexes: tuple[int, ...], now: float, wall: float
    ) -> TaskRequest:
        job = entry.job
        since = self._waiting_since.setdefault(job.key, now)
        time_left_s = float("inf")
        if job.deadline_s is not None:
            time_left_s = entry.accepted_at + job.deadline_s - wall
        return TaskRequest(
            job,
            indexes,
            waited_s=now - since,
            time_left_s=time_left_s,
            avoid=self._failures.workers_to_avoid(job.key, now),
            racks=self._racks(job.key) if job.priority == "service" else {},
        )

    def _racks(self, job_id: str) -> dict[str, int]:
        racks: dict[str, int] = {}
        for task in self._zone.tasks.get(job_id, {}).values():
            rack = self._rack_of.get(task.worker) if task.live else None
            if rack is not None:
                racks[rack] = racks.get(rack, 0) + 1
        return racks

    # -- planning ---------------------------------------------------------------

    def plan(
        self, term: LeadTerm, left: Mapping[str, int], now: float, wall: float
    ) -> tuple[tuple[Assignment, ...], tuple[JobNote, ...]]:
        """Return the assignments of this round, and notes for jobs that wait.

        :param left: how many more tasks each team may start under its limit.
        :param wall: wall-clock time for deadlines, in seconds.
        """
        self._refresh(term)
        self._note_progress(term, now)
        requests = self._pending_requests(now, wall)
        if not requests:
            return (), ()
        self._refresh_capacities(term, now)
        reservation = self._reserve_for_gang(requests, now)
        shares = {w.job.team: self._share(w.job.team) for w in requests}
        plan = plan_placements(
            requests,
            self._capacities,
            self._used,
            shares,
            left,
            self._total,
            reservation,
        )
        for placement in plan.placements:
            # The log may still reject the assignment, so recompute the worker.
            self._seen_reports.pop(placement.worker, None)
        self._preempt(term, requests, plan, left, now)
        plan.placements = self._one_probe_each(plan)
        items = tuple(
            Assignment(p.job_id, p.index, self._attempt(p.job_id, p.index), p.worker)
            for p in plan.placements
        )
        return items, self._notes_for_held_jobs(plan, reservation, term, now)

    def _one_probe_each(self, plan: PlacementPlan) -> list:
        probed: set[str] = set()
        kept = []
        for placement in plan.placements:
            if placement.worker in self._zone.marks:
                job = self._cell.jobs[placement.job_id].job
                if placement.worker in probed or job.gang or job.priority != "batch":
                    continue
                probed.add(placement.worker)
            kept.append(placement)
        return kept

    def _attempt(self, job_id: str, index: int) -> int:
        last = self._zone.tasks.get(job_id, {}).get(index)
        return last.attempt + 1 if last else 1

    def _share(self, team: str) -> float:
        plan = self._config.plan_of(team)
        return plan.share if plan else 1.0

    def _note_progress(self, term: LeadTerm, now: float) -> None:
        for view in term.workers.values():
            if self._progress_read_at.get(view.name) == view.read_at:
                continue
            self._progress_read_at[view.name] = view.read_at
            for ref, progress in view.reported_progress.items():
                last = self._last_progress.get(ref)
                if last is None or progress > last[0]:
                    self._last_progress[ref] = (progress, now)
        if len(self._last_progress) > 2 * sum(self._zone.running.values()) + 100:
            live = self._zone.is_live
            self._last_progress = {
                r: p for r, p in self._last_progress.items() if live(r)
            }

    def _unsaved_work_s(self, ref: Ref, now: float) -> float:
        """Return the processor-seconds of a task since its last checkpoint."""
        last = self._last_progress.get(ref)
        entry = self._cell.jobs[ref[0]]
        return (now - last[1]) * entry.job.cpus if last else 0.0

    def _remaining_s(self, ref: Ref, now: float) -> float:
        job = self._cell.jobs[ref[0]].job
        progress, at = self._last_progress.get(ref, (0.0, now))
        return max(job.run_s * (1 - progress) - (now - at), 0.0)

    def _reserve_for_gang(
        self, requests: list[TaskRequest], now: float
    ) -> Reservation | None:
        """Reserve workers for the gang that has waited longest, if it is due.

        Only one gang has a reservation: two gangs that each hold half of what they
        need would deadlock.
        """
        due = [w for w in requests if w.job.gang and w.waited_s >= GANG_RESERVE_AFTER_S]
        if not due:
            return None
        request = max(due, key=lambda w: (w.waited_s, w.job.key))
        need = ResourceNeed.of(request.job)
        ranked = []
        for capacity in self._capacities.by_name.values():
            drained = attrs.evolve(capacity)
            free_in_s = 0.0
            for ref in self._zone.live.get(capacity.worker, {}):
                entry = self._cell.jobs.get(ref[0])
                if entry is None or entry.job.priority == "service":
                    continue
                drained.release(ResourceNeed.of(entry.job))
                free_in_s = max(free_in_s, self._remaining_s(ref, now))
            slots = drained.count_fitting(need)
            if slots:
                ranked.append((free_in_s / slots, free_in_s, slots, capacity.worker))
        ranked.sort()
        chosen, found, free_in_s = set(), 0, 0.0
        for _, ends_s, slots, worker in ranked:
            if found >= len(request.indexes):
                break
            found += slots
            free_in_s = max(free_in_s, ends_s)
            chosen.add(worker)
        if found < len(request.indexes):
            return None
        return Reservation(request.job.key, frozenset(chosen), free_in_s)

    def _preempt(
        self,
        term: LeadTerm,
        requests: list[TaskRequest],
        plan: PlacementPlan,
        left: Mapping[str, int],
        now: float,
    ) -> None:
        """Preempt batch tasks for urgent ones that no worker can take."""
        placed = {(p.job_id, p.index) for p in plan.placements}
        urgent = []
        for request in requests:
            if request.job.priority != "urgent":
                continue
            if plan.held.get(request.job.key) != "no worker has room for it now":
                continue
            rest = tuple(
                i for i in request.indexes if (request.job.key, i) not in placed
            )
            headroom = max(left.get(request.job.team, 0), 0)
            if rest and (not request.job.gang or headroom >= len(rest)):
                urgent.append(attrs.evolve(request, indexes=rest[:headroom]))
        if not urgent:
            return
        capacities = self._capacities.copy()
        for ref in term.stopping:
            if self._zone.is_live(ref):
                worker = self._zone.tasks[ref[0]][ref[1]].worker
                if worker in capacities.by_name:
                    capacities.release(
                        worker, ResourceNeed.of(self._cell.jobs[ref[0]].job)
                    )
        chosen = choose_victims(
            urgent,
            capacities,
            self._zone,
            self._cell,
            self._over_share(),
            lambda ref: self._unsaved_work_s(ref, now),
            term.stopping.keys(),
            self._budget.available(now),
            self._preemption_round,
        )
        self._preemption_round += 1
        self._budget.spend(len(chosen))
        term.stopping.update(chosen)

    def _over_share(self) -> set[str]:
        """Return the teams that use more than their share of the used resources."""
        shares = {team: self._share(team) for team in self._used}
        total_share = sum(shares.values()) or 1.0
        used = sum(self._used.values())
        return {t for t, u in self._used.items() if u > used * shares[t] / total_share}

    def _notes_for_held_jobs(
        self,
        plan: PlacementPlan,
        reservation: Reservation | None,
        term: LeadTerm,
        now: float,
    ) -> tuple[JobNote, ...]:
        """Return notes on changed reasons why jobs wait, at a limited rate."""
        notes = []
        for key, reason in plan.held.items():
            entry = self._cell.jobs[key]
            text = self._never_fits_reason(entry, term) or reason
            if reservation is not None and reservation.job_id == key:
                text = f"waits for {len(reservation.workers)} workers set aside for it"
            last, at = self._last_notes.get(key, ("", float("-inf")))
            if (
                last == text
                or now < at + NOTE_INTERVAL_S
                or len(notes) >= MAX_NOTES_PER_ROUND
            ):
                continue
            self._last_notes[key] = (text, now)
            notes.append(JobNote(key, f"held: {text}"))
        return tuple(notes)

    def _never_fits_reason(self, entry: JobEntry, term: LeadTerm) -> str:
        need = ResourceNeed.of(entry.job)
        if need not in self._slots_by_need:
            endpoints = [v.endpoint for v in term.workers.values() if v.endpoint]
            self._slots_by_need[need] = sum(
                WorkerCapacity(
                    e.name, "", e.cpus, e.memory_mb, e.accelerators
                ).count_fitting(need)
                for e in endpoints
            )
        slots = self._slots_by_need[need]
        if not slots:
            return "each task is larger than any worker of the zone"
        if entry.job.gang and slots < entry.job.tasks:
            return f"the zone has room for {slots} of its {entry.job.tasks} tasks"
        return ""

    def mark_stops(self, term: LeadTerm, parts: Mapping[str, int], now: float) -> None:
        """Mark the attempts in the term that must be checkpointed and stopped."""
        leaving_workers = {
            v.name for v in term.workers.values() if v.endpoint and v.endpoint.leaving
        }
        seen = {ref for view in term.workers.values() for ref in view.reported_progress}
        for chosen in (
            tasks_of_broken_gangs(self._zone, self._cell),
            tasks_on_leaving_workers(self._zone, self._cell, leaving_workers, seen)
            if leaving_workers
            else {},
            tasks_over_limit(self._zone, self._cell, parts),
        ):
            for ref, reason in chosen.items():
                term.stopping.setdefault(ref, reason)
