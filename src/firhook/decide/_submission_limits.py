"""Decides whether an instance refuses a submission that would end too late.

Made for cells in which more work arrives than they can run in time: bursts of up to
1.36 times the capacity, and teams at five to seven times their usual rate.  Work that
is accepted must run in any case, so what is accepted too much delays all that follows.
"""

import math

import attrs

from firhook.cell import AcceptedJob, JobSpec, Queue
from firhook.cell.job_table import Job
from firhook.cell.load import LoadRow, LoadTable
from firhook.decide.load_table import AMPLE_SLACK_S, task_core_s
from firhook.decide.return_order import (
    HEADER_STEP_S,
    MAX_RETRIES,
    RefusedCaller,
    ReturnOrder,
)
from firhook.decide.schedule import LATE_FACTOR

#: Nothing is refused on the basis of figures that are older than this.
MAX_TABLE_AGE_S = 1.5
#: After a refusal, submissions of the team to the queue are accepted again once the
#: wait is below this fraction of the longest one.  Otherwise every second decision
#: would differ from the one before it while the wait is near its limit.
_RESUME_FRACTION = 0.75
#: An accepted job counts as listed in tables whose figures were taken this long after
#: its append, within which the lead reads it.
_LISTED_AFTER_S = 0.05
#: Weight of the earlier arrivals at each new table.  About the last two seconds count.
_ARRIVAL_DECAY = 0.9
#: How many arrivals the assumption counts that all instances get equally many.
_EQUAL_ARRIVALS = 8.0
#: The smallest part of the arrivals that an instance assumes for itself, as a fraction
#: of an equal part.  Without it, one that refused everything for a while would assume
#: that others accept without limit.
_MIN_PART = 0.25
#: The most admissions that are counted.
_MAX_ADMISSIONS = 4096
#: The most ids of which it is remembered that their append began.  After that many
#: others the store has listed them.
_MAX_BEGUN = 8192


@attrs.frozen(slots=True)
class Refusal:
    """Why a submission is refused, and when to retry.

    :param is_over: whether the refusal rests on the team being above its share.
    :param wait_s: how long the submission would wait.
    :param path_s: duration of its critical path.
    :param objective_s: time in which it should be done.
    :param elapsed_s: time since it was first submitted here.
    :param refusals: how often it was refused here, with this one.
    :param work_core_s: the team's work that goes before it.
    :param drain_cores: the rate at which that work drains.
    :param advice_s: waiting seconds of adviser answers.
    :param age_s: age of the table's figures.
    :param table: epoch and sequence number of the table.
    """

    is_over: bool
    retry_after_s: float
    wait_s: float
    path_s: float
    objective_s: float
    elapsed_s: float
    refusals: int
    work_core_s: float
    drain_cores: float
    advice_s: float
    age_s: float
    table: tuple[int, int]


@attrs.frozen(slots=True)
class _Demand:
    """A submission's work and times, in core-seconds and seconds."""

    work_core_s: float
    path_s: float
    objective_s: float
    answer_s: float


@attrs.frozen(slots=True)
class _Forecast:
    """What is ahead of a submission, and how long it would wait for that.

    A round places work that can be in time before late work.

    :param wait_s: the wait if it can be in time.
    :param late_wait_s: the wait if it cannot.
    """

    wait_s: float
    late_wait_s: float
    work_core_s: float
    drain_cores: float
    advice_s: float


@attrs.define(slots=True)
class _Admission:
    """A submission that this instance accepted.

    :ivar is_late: whether it was accepted although it cannot be in time.
    :ivar settled_at: when its append ended; infinite before that.
    """

    team: str
    priority: int
    demand: _Demand
    is_late: bool
    settled_at: float = math.inf


class SubmissionLimits:
    """Predicts when submissions would end, and refuses those that would be too late.

    Several instances admit on the basis of the same table.  Each estimates what all of
    them admitted since: from the recent rate of the team's accepted work, and from what
    it admitted itself, which is its part of the whole.

    :ivar order: the order in which refused callers retry.
    """

    def __init__(self) -> None:
        self.order = ReturnOrder()
        self._table: LoadTable | None = None
        self._rows: dict[str, list[LoadRow]] = {}
        self._epoch = 0
        self._offset_s = math.inf
        self._figures_at = -math.inf
        self._admissions: dict[str, _Admission] = {}
        # Teams and queues whose submissions miss their objective, and those whose
        # submissions would be of no value.
        self._refusing: set[tuple[str, str]] = set()
        self._refusing_late: set[tuple[str, str]] = set()
        self._own_arrivals = self._all_arrivals = 0.0
        self._own_since_table = 0
        self._begun: dict[str, None] = {}

    # Tables.

    def note_epoch(self, epoch: int) -> None:
        """Drop the table of an earlier lead.

        A new lead does not know its backlog until it has taken over.
        """
        if epoch > self._epoch:
            self._epoch, self._offset_s = epoch, math.inf
            self._table, self._rows = None, {}
            self._refusing.clear()
            self._refusing_late.clear()

    def update(self, table: LoadTable, now: float) -> bool:
        """Apply a table; return whether it is newer than the present one.

        The time on its way is its delay beyond that of the fastest table of the epoch,
        so that a table that waited at a busy link counts with its true age.
        """
        known = self._table
        if table.epoch < self._epoch:
            return False
        if known is not None and table.epoch == known.epoch:
            if table.sequence <= known.sequence:
                return False
            self._count_arrivals(table.arrivals - known.arrivals)
        self.note_epoch(table.epoch)
        self._offset_s = min(self._offset_s, now - table.made_at - table.age_s)
        self._table = table
        self._figures_at = min(table.made_at + self._offset_s, now - table.age_s)
        self._rows = {}
        for row in table.rows:
            self._rows.setdefault(row.team, []).append(row)
        listed = {(row.team, row.queue) for row in table.rows}
        self._refusing &= listed
        self._refusing_late &= listed
        self._drop_listed()
        return True

    def age_s(self, now: float) -> float:
        """Return the age of the table's figures; infinite without a table."""
        return math.inf if self._table is None else now - self._figures_at

    @property
    def table(self) -> LoadTable | None:
        """The newest table."""
        return self._table

    def _count_arrivals(self, count: int) -> None:
        own, self._own_since_table = self._own_since_table, 0
        self._own_arrivals = _ARRIVAL_DECAY * self._own_arrivals + own
        self._all_arrivals = _ARRIVAL_DECAY * self._all_arrivals + max(count, own)

    def _part(self, table: LoadTable) -> float:
        """Return this instance's part of the recent arrivals."""
        equal = 1 / table.adviser_slots
        own = self._own_arrivals + _EQUAL_ARRIVALS * equal
        part = own / (self._all_arrivals + _EQUAL_ARRIVALS)
        return min(max(part, _MIN_PART * equal), 1.0)

    def _drop_listed(self) -> None:
        """Drop the admissions that the table lists."""
        listed_before = self._figures_at - _LISTED_AFTER_S
        self._admissions = {
            job_id: admission
            for job_id, admission in self._admissions.items()
            if admission.settled_at >= listed_before
        }

    # Decisions.

    def decide(
        self,
        job_id: str,
        queue: Queue,
        team: str,
        spec: JobSpec,
        now: float,
        random: float,
    ) -> Refusal | None:
        """Decide on a submission; return ``None`` if it is accepted.

        An accepted submission counts until :meth:`settle` was called and a newer table
        has arrived.

        :param random: a number from 0 to 1, for the time of the retry.
        """
        if spec.periodic or any(step.long_running for step in spec.steps):
            self._note_begun(job_id)
            return None
        demand = _demand(queue, team, spec)
        if job_id in self._begun:
            self._admit(job_id, team, queue, demand)
            return None
        if not demand.objective_s - demand.path_s <= AMPLE_SLACK_S:
            self._note_begun(job_id)
            return None
        table = self._table
        forecast = None
        if table is not None and self.age_s(now) <= MAX_TABLE_AGE_S:
            forecast = self._forecast(table, queue, team, demand, now)
        if table is None or forecast is None:
            self._admit(job_id, team, queue, demand)
            return None
        caller = self.order.find(job_id)
        is_over = any(row.is_over for row in self._rows.get(team, ()))
        if self._is_in_time(queue, team, demand, forecast, caller, now):
            self._admit(job_id, team, queue, demand)
            return None
        if self._is_accepted_late(queue, team, demand, forecast, caller, is_over, now):
            self._admit(job_id, team, queue, demand, is_late=True)
            return None
        factor = 1 if is_over else LATE_FACTOR
        longest_s = factor * demand.objective_s - demand.path_s
        wait_s = forecast.wait_s if is_over else forecast.late_wait_s
        elapsed_s = 0.0 if caller is None else now - caller.first_at
        retry_after_s = self.order.refuse(
            job_id,
            team,
            queue.priority,
            demand.work_core_s,
            forecast.drain_cores * self._part(table),
            max(wait_s - _RESUME_FRACTION * longest_s, 0.0),
            LATE_FACTOR * demand.objective_s - demand.path_s - elapsed_s,
            now,
            random,
        )
        refused = self.order.find(job_id)
        return Refusal(
            is_over,
            retry_after_s,
            wait_s,
            demand.path_s,
            demand.objective_s,
            elapsed_s,
            refused.refusals if refused is not None else 1,
            forecast.work_core_s,
            forecast.drain_cores,
            forecast.advice_s,
            self.age_s(now),
            (table.epoch, table.sequence),
        )

    def is_in_force(self, job_id: str, refusal: Refusal, now: float) -> bool:
        """Return whether a refusal that was decided before may still be answered.

        It may not if the leader was lost since, or if the append of the id has begun.
        """
        is_recent = self.age_s(now) <= MAX_TABLE_AGE_S
        is_current = is_recent and refusal.table[0] == self._epoch
        return is_current and job_id not in self._begun

    def accept(self, job_id: str, queue: Queue, team: str, spec: JobSpec) -> None:
        """Accept a submission that was to be refused."""
        self._admit(job_id, team, queue, _demand(queue, team, spec))

    def settle(self, job_id: str, now: float) -> None:
        """Record that the append of an accepted submission ended."""
        admission = self._admissions.get(job_id)
        if admission is not None:
            admission.settled_at = now

    def _admit(
        self,
        job_id: str,
        team: str,
        queue: Queue,
        demand: _Demand,
        is_late: bool = False,
    ) -> None:
        self.order.remove(job_id)
        self._own_since_table += job_id not in self._begun
        self._note_begun(job_id)
        self._admissions.pop(job_id, None)
        self._admissions[job_id] = _Admission(team, queue.priority, demand, is_late)
        if len(self._admissions) > _MAX_ADMISSIONS:
            # No table arrives, so that nothing is refused either.
            self._admissions.pop(next(iter(self._admissions)))

    def _note_begun(self, job_id: str) -> None:
        """Record that the append of an id begins, after which it is never refused."""
        self._begun[job_id] = None
        if len(self._begun) > _MAX_BEGUN:
            self._begun.pop(next(iter(self._begun)))

    def _is_in_time(
        self,
        queue: Queue,
        team: str,
        demand: _Demand,
        forecast: _Forecast,
        caller: RefusedCaller | None,
        now: float,
    ) -> bool:
        """Return whether a submission would meet its objective, counted from now.

        A caller that returns is accepted whenever a new one would be, unless its work
        would be of no value any more: the time it was told is when there is room.
        """
        longest_s = demand.objective_s - demand.path_s
        if caller is not None:
            latest_s = LATE_FACTOR * demand.objective_s - demand.path_s
            is_worthless = now - caller.first_at + forecast.wait_s > latest_s
            return forecast.wait_s <= longest_s and not is_worthless
        # Callers that were told to retry before this one would start go before it.
        promised = self.order.promised_core_s(
            team, queue.priority, now + max(longest_s, 0.0), now
        )
        assert self._table is not None
        promised_s = promised / self._part(self._table) / forecast.drain_cores
        key = (team, queue.address)
        fraction = _RESUME_FRACTION if key in self._refusing else 1.0
        if forecast.wait_s + promised_s <= fraction * longest_s:
            self._refusing.discard(key)
            return True
        self._refusing.add(key)
        return False

    def _is_accepted_late(
        self,
        queue: Queue,
        team: str,
        demand: _Demand,
        forecast: _Forecast,
        caller: RefusedCaller | None,
        is_over: bool,
        now: float,
    ) -> bool:
        """Return whether a submission that misses its objective is accepted.

        It is if it can be done within :data:`LATE_FACTOR` times that, and its team is
        not above its share or it is the caller's last chance: it is better accepted
        late than lost.  The last chance is the last retry that callers make, or one
        after which the next would come too late.
        """
        latest_s = LATE_FACTOR * demand.objective_s - demand.path_s
        elapsed_s = 0.0 if caller is None else now - caller.first_at
        key = (team, queue.address)
        is_new = not is_over and caller is None
        fraction = _RESUME_FRACTION if is_new and key in self._refusing_late else 1.0
        if elapsed_s + forecast.late_wait_s > fraction * latest_s:
            if is_new:
                self._refusing_late.add(key)
            return False
        if is_new:
            self._refusing_late.discard(key)
        is_last = caller is not None and caller.refusals >= MAX_RETRIES
        return not is_over or is_last or elapsed_s + HEADER_STEP_S > latest_s

    def _forecast(
        self, table: LoadTable, queue: Queue, team: str, demand: _Demand, now: float
    ) -> _Forecast | None:
        """Return what a submission would wait for; ``None`` if that is not known."""
        rows = self._rows.get(team, [])
        drain_cores = max((row.drain_cores for row in rows), default=0.0)
        if not drain_cores > 0:
            return None
        ahead = [row for row in rows if row.priority <= queue.priority]
        since_s = max(now - self._figures_at, 0.0)
        expected = sum(row.inflow_cores for row in ahead) * since_s
        own = [
            a
            for a in self._admissions.values()
            if a.team == team and a.priority <= queue.priority
        ]
        own_core_s = sum(a.demand.work_core_s for a in own)
        admitted = _admitted_by_all(
            own_core_s, expected, self._part(table), demand.work_core_s
        )
        drained = drain_cores * since_s
        work = max(sum(row.work_core_s for row in ahead) + admitted - drained, 0.0)
        late = sum(row.late_core_s for row in ahead)
        late += sum(a.demand.work_core_s for a in own if a.is_late)
        in_time = max(work - late, 0.0)
        advice_s = 0.0
        if queue.advice is not None:
            same_kind = (r for r in table.rows if r.queue == queue.address)
            advice_s = sum(row.advice_s for row in same_kind)
            own_answers_s = sum(a.demand.answer_s for a in own)
            scale = admitted / own_core_s if own_core_s > 0 else 1.0
            advice_s += own_answers_s * scale - since_s * table.adviser_slots
            advice_s = max(advice_s, 0.0)
        # Work waits for cores and for advice at the same time.
        advice_wait_s = advice_s / table.adviser_slots
        return _Forecast(
            max(in_time / drain_cores, advice_wait_s),
            max(work / drain_cores, advice_wait_s),
            work,
            drain_cores,
            advice_s,
        )


def _admitted_by_all(
    own_core_s: float, expected_core_s: float, part: float, unit_core_s: float
) -> float:
    """Return an estimate of the work that all instances admitted since the table.

    With 40 instances most admit none or one job of a team between two tables.  Scaling
    that by the instance's part alone would count one job as forty and refuse the next.
    So the recent rate of the team's work counts as well, as much as one submission.

    :param own_core_s: what this instance admitted.
    :param expected_core_s: what all admit at the recent rate in the same time.
    :param part: this instance's part of all arrivals.
    :param unit_core_s: the work of one submission.
    """
    if expected_core_s <= 0 or unit_core_s <= 0:
        return max(own_core_s, expected_core_s, 0.0)
    estimate = (unit_core_s + own_core_s) / (unit_core_s / expected_core_s + part)
    return max(estimate, own_core_s)


def _demand(queue: Queue, team: str, spec: JobSpec) -> _Demand:
    job = Job(AcceptedJob("", team, queue, 0.0, spec), queue, 0.0)
    path_s = max(job.critical_paths_s(), default=0.0)
    work = sum(s.count * task_core_s(s.need.cpu_m, s.estimate_s) for s in spec.steps)
    advice = queue.advice
    answer_s = 0.0 if advice is None else advice.base_s * len(spec.steps)
    return _Demand(work, path_s, queue.slack_factor * path_s + queue.target_s, answer_s)
