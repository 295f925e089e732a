"""Estimates the speed of workers from tasks of one step on several of them."""

import math
from collections.abc import Callable, Sequence

import attrs

from firhook._peer_messages import HintRow
from firhook.cell import Run
from firhook.decide._hints import HintSource

#: Variance of the logarithms of the speeds before anything is known: a quarter of the
#: workers at 0.55 and the others at 1.2 give a deviation of a third.
_PRIOR_VARIANCE = 0.1
#: Lower limit of a worker's variance, so that about its last twenty comparisons count.
#: A machine that is throttled must be noticed within seconds.
_MIN_VARIANCE = 0.0025
#: Variance added when a worker restarts.  It usually runs on the same machine.
_RESTART_VARIANCE = 0.04
#: Variance added to what an earlier lead learned.
_HINT_VARIANCE = 0.01
#: Variance of the logarithms of the durations of tasks of one step at equal speed,
#: before it is learned, and its limits.  Tasks of one step differ by a fifth.
_NOISE_VARIANCE = 0.04
_NOISE_LIMITS = (0.01, 0.5)
_NOISE_WEIGHT = 0.02
#: The noise is learned from comparisons in which both sides are known this well.
_NOISE_SAMPLE_VARIANCE = 0.05
#: The mean offset from which all offsets are moved back.  Fast tasks show progress
#: first, so that later ones seem slow beside them and all offsets drift down.
_MAX_DRIFT = 0.02
#: Fewer workers may well all be fast.
_MIN_RECENTRED = 8
#: A comparison counts from this much progress on; percentages are whole numbers.
_MIN_PERCENT = 20.0
#: The same for a run that has run as long as a sibling that was recorded.
_MIN_SIBLING_PERCENT = 3.0
#: Error of a measured duration: polls report an end up to a tenth of a second late.
_TIME_ERROR_S = 0.05
#: The longest answer to a start order after which the time of the start is known.
_MAX_START_S = 0.25
#: A comparison that differs from the worker's speed by more than a factor of three, or
#: by this many deviations, counts only if the worker's next one, of another step, is
#: alike.  Heavy-tailed work takes seven times as long in 3% of the cases; a worker of
#: a seventh of the speed, or one that is throttled, takes longer every time.
_OUTLIER = math.log(3.0)
_SURPRISING = 3.0
#: Stragglers before one that counts.  Two in a row on one worker are expected every
#: twenty seconds if 3% of 60 tasks a second straggle; three every ten minutes.
_STRAGGLERS_HELD = 2
#: Decay of the evidence that workers differ: about the last 200 comparisons count.
_EVIDENCE_DECAY = 0.995
#: Deviations of the evidence above which speeds are used, and below which no longer.
#: Once they are used, siblings run on workers of like speed, which adds little
#: evidence.  Without any difference the evidence soon falls below 0.
DIFFERS_FROM = 4.0
_DIFFERS_UNTIL = 0.0
#: Deviations above which the speed of a single worker is used, whatever the others do,
#: and the least difference that matters.
_WORKER_DIFFERS_FROM = 4.0
_WORKER_MIN_OFFSET = 0.1
#: Upper limits for steps that never close, such as those of cancelled jobs, and for
#: workers that never return.
_MAX_STEPS = 2000
_MAX_WORKERS = 4000
#: Upper limit of the rows that are passed to the next lead.
MAX_HINTS = 512
_MAX_OFFSET = 2.5


@attrs.define(slots=True, eq=False)
class _Worker:
    """What is known of a worker.

    :ivar offset: the logarithm of its speed.
    :ivar variance: of the offset.
    :ivar outliers: how many comparisons before this one did not count.
    :ivar outlier: the sign and the step of the last of them.
    """

    offset: float = 0.0
    variance: float = _PRIOR_VARIANCE
    count: int = 0
    outliers: int = 0
    outlier: tuple[bool, str] = (False, "")


@attrs.define(slots=True, eq=False)
class _Row:
    """One run of a step: the logarithm of its duration, and the error's variance."""

    worker: str
    value: float
    error: float
    straggles: bool


@attrs.define(slots=True, eq=False)
class _Siblings:
    """The runs of a step that were recorded so far.

    :ivar compared: the workers that were compared by one of them.  Further ones on
        the same worker would repeat the errors of what they are compared with.
    :ivar after_s: how long the first of them had run by then.
    """

    rows: dict[object, _Row] = attrs.field(factory=dict)
    compared: set[str] = attrs.field(factory=set)
    after_s: float = math.inf


class SpeedEstimator(HintSource):
    """Estimates the speed of each worker; 1.0 is the mean of the known workers.

    A short job of 0.68 s has half a second of slack.  With a quarter of the workers at
    0.55, a third of such jobs was late because one task ran on a slow worker, and a
    gang is as slow as its slowest member.  A worker must be known after its first
    tasks: those that run while it is still unknown are late.

    Callers' estimates are off by up to 90%, but by the same factor for all tasks of
    a step.  So tasks of the same step are compared with each other, by their progress
    while they run or by their durations.  Each comparison is weighted by how much is
    known of both sides, as in a Kalman filter.  The estimate starts at 1.0 and moves
    away from it with the number of comparisons, so it includes its own confidence.

    Where all workers are equally fast, estimates differ by chance only.  They would
    change the order in which workers are filled without any use.  So all speeds
    are 1.0 until earlier comparisons have predicted later ones.

    :ivar compared: number of comparisons that counted.
    :ivar outliers: number of those that did not, as they were too surprising.
    """

    name = "speeds"

    def __init__(self) -> None:
        self._workers: dict[str, _Worker] = {}
        self._steps: dict[str, _Siblings] = {}
        self._noise = _NOISE_VARIANCE
        self._evidence = 0.0
        self._evidence_variance = 0.0
        self._differ = False
        self._total_offset = 0.0
        self.compared = 0
        self.outliers = 0

    # Observations.

    def record_progress(
        self, run: Run, is_straggler: Callable[[Run], bool] = lambda _: False
    ) -> None:
        """Record the progress of a run that has not ended.

        Resumed runs spend some time to restore, the members of a gang progress at the
        rate of the slowest, and stalled or stopped runs at none.  None of them shows
        the speed of its worker.

        :param is_straggler: tells whether it takes far longer than such work does.
        """
        step = run.task.step
        if not is_comparable(run) or run.percent >= 99:
            return
        siblings = self._steps.get(step.name)
        if siblings is not None and run.key in siblings.rows:
            return
        gained, took_s = run.percent - run.first_percent, 0.0
        if run.first_percent >= 0 and gained >= _MIN_PERCENT:
            took_s = run.percent_at - run.first_percent_at
        elif has_known_start(run):
            gained, took_s = run.percent + 0.5, run.percent_at - run.started_at
        # Waiting for the same progress of all would compare the fast ones first.
        after_s = siblings.after_s if siblings is not None else math.inf
        least = _MIN_SIBLING_PERCENT if took_s >= after_s else _MIN_PERCENT
        if took_s > 0 and gained >= least:
            error = (_TIME_ERROR_S / took_s) ** 2 + (0.5 / gained) ** 2
            value = math.log(100 * took_s / gained)
            row = _Row(run.worker, value, error, is_straggler(run))
            self._add(step.name, run.key, row, took_s)

    def record_run(
        self,
        step: str,
        worker: str,
        ran_s: float,
        key: object = None,
        straggles: bool = False,
    ) -> None:
        """Record how long a completed task of a step ran on a worker.

        :param key: the run's key; a run whose progress was compared is not compared
            again.
        :param straggles: whether it took far longer than such work does.
        """
        siblings = self._steps.get(step) or _Siblings()
        if ran_s <= 0 or (key is not None and key in siblings.rows):
            return
        error = (_TIME_ERROR_S / ran_s) ** 2
        row = _Row(worker, math.log(ran_s), error, straggles)
        key = len(siblings.rows) if key is None else key
        self._add(step, key, row, ran_s)

    def _add(self, step: str, key: object, row: _Row, after_s: float) -> None:
        if step not in self._steps and len(self._steps) >= _MAX_STEPS:
            del self._steps[next(iter(self._steps))]
        siblings = self._steps.setdefault(step, _Siblings())
        siblings.rows[key] = row
        siblings.after_s = min(siblings.after_s, after_s)
        self._compare(step, siblings)

    def close_step(
        self, step: str, expected_s: float = 0.0, variance: float = 0.0
    ) -> None:
        """Discard a step that has ended.

        A third of short work consists of one task, which has no sibling.  It is
        compared with what such work usually takes, which tells much less.

        :param expected_s: what a task of the step usually takes at speed 1; 0 if that
            is not known.
        :param variance: of the logarithm of the actual durations.
        """
        siblings = self._steps.pop(step, None)
        if siblings is None or siblings.compared or expected_s <= 0:
            return
        rows = list(siblings.rows.values())
        value = sum(row.value for row in rows) / len(rows)
        self._update(step, rows[0], math.log(expected_s) - value, variance)

    # Comparisons.

    def _compare(self, step: str, siblings: _Siblings) -> None:
        """Compare each worker that is new to a step with the others."""
        updates: list[tuple[_Row, float, float]] = []
        evidence = 0.0
        rows = siblings.rows.values()
        for row in {r.worker: r for r in rows}.values():
            if row.worker in siblings.compared:
                continue
            others = [other for other in rows if other.worker != row.worker]
            if not others:
                continue
            base, variance = self._base(others)
            updates.append((row, base - row.value, variance))
            evidence += self._predicted(row, others)
        # All comparisons are made before any is applied: two runs that are compared
        # with each other count the same difference once for each of them.
        for row, offset, variance in updates:
            siblings.compared.add(row.worker)
            self._update(step, row, offset, variance)
        if updates:
            # Large steps would otherwise outweigh all others.
            self._add_evidence(evidence / math.sqrt(len(updates)))

    def _base(self, rows: list[_Row]) -> tuple[float, float]:
        """Return the logarithm of the duration at speed 1, and its variance.

        The median keeps one straggler among three tasks from making the others fast.
        """
        known = [self._workers.get(row.worker) or _Worker() for row in rows]
        values = sorted(r.value + w.offset for r, w in zip(rows, known, strict=True))
        count = len(values)
        base = (values[(count - 1) // 2] + values[count // 2]) / 2
        errors = (
            r.error + w.variance + self._noise for r, w in zip(rows, known, strict=True)
        )
        variance = sum(errors) / count
        if count > 1:
            mean = sum(values) / count
            spread = sum((value - mean) ** 2 for value in values) / (count - 1)
            variance = max(variance, spread)
        return base, variance / count

    def _predicted(self, row: _Row, others: list[_Row]) -> float:
        """Return how far earlier comparisons predicted the one with other runs."""
        before = self._offset(row.worker)
        before -= sum(self._offset(other.worker) for other in others) / len(others)
        offset = sum(other.value for other in others) / len(others) - row.value
        return before * min(max(offset, -_OUTLIER), _OUTLIER)

    def _add_evidence(self, term: float) -> None:
        self._evidence = self._evidence * _EVIDENCE_DECAY + term
        self._evidence_variance *= _EVIDENCE_DECAY**2
        self._evidence_variance += term * term
        self._update_differ()

    def _update_differ(self) -> None:
        deviation = math.sqrt(self._evidence_variance)
        limit = _DIFFERS_UNTIL if self._differ else DIFFERS_FROM
        self._differ = deviation > 0 and self._evidence > limit * deviation

    def _update(self, step: str, row: _Row, offset: float, variance: float) -> None:
        """Update a worker's speed by one comparison.

        :param offset: the logarithm of the speed as the comparison shows it.
        :param variance: of what the run is compared with.
        """
        worker = self._worker(row.worker)
        innovation = offset - worker.offset
        error = variance + self._noise + row.error
        limit = min(_OUTLIER, _SURPRISING * math.sqrt(worker.variance + error))
        if abs(innovation) > limit:
            if not self._is_confirmed(worker, innovation > 0, step, row.straggles):
                self.outliers += 1
                return
            # Its speed has changed, or it is far from that of all others.
            worker.variance = _PRIOR_VARIANCE
        else:
            worker.outliers = 0
            self._learn_noise(innovation**2 - row.error, worker.variance + variance)
        gain = worker.variance / (worker.variance + error)
        before_offset = worker.offset
        worker.offset += gain * innovation
        worker.offset = min(max(worker.offset, -_MAX_OFFSET), _MAX_OFFSET)
        self._total_offset += worker.offset - before_offset
        worker.variance = max(worker.variance * (1 - gain), _MIN_VARIANCE)
        worker.count += 1
        self.compared += 1
        if abs(self._total_offset) > _MAX_DRIFT * len(self._workers):
            self._recentre()

    def _is_confirmed(
        self, worker: _Worker, is_fast: bool, step: str, straggles: bool
    ) -> bool:
        """Return whether a surprising comparison counts, given those before it."""
        before, worker.outlier = worker.outlier, (is_fast, step)
        if worker.outliers and before[0] != is_fast:
            worker.outliers = 0
        if worker.outliers and before[1] == step:
            return False
        worker.outliers += 1
        return worker.outliers > (_STRAGGLERS_HELD if straggles else 1)

    def _learn_noise(self, square: float, known_variance: float) -> None:
        if known_variance < _NOISE_SAMPLE_VARIANCE:
            low, high = _NOISE_LIMITS
            sample = square - known_variance
            noise = self._noise + _NOISE_WEIGHT * (sample - self._noise)
            self._noise = min(max(noise, low), high)

    def _recentre(self) -> None:
        """Move all offsets so that their mean is 0."""
        if len(self._workers) < _MIN_RECENTRED:
            return
        mean = self._total_offset / len(self._workers)
        for worker in self._workers.values():
            worker.offset -= mean
        self._total_offset = 0.0

    def _worker(self, name: str) -> _Worker:
        worker = self._workers.get(name)
        if worker is None:
            if len(self._workers) >= _MAX_WORKERS:
                self.remove(next(iter(self._workers)))
            worker = self._workers[name] = _Worker()
        return worker

    def _offset(self, name: str) -> float:
        worker = self._workers.get(name)
        return worker.offset if worker is not None else 0.0

    # Results.

    @property
    def differ(self) -> bool:
        """Whether the workers are known to differ in speed."""
        return self._differ

    def speed(self, worker: str) -> float:
        """Return the speed of a worker; 1.0 if it is unknown or no different."""
        known = self._workers.get(worker)
        if known is None or not known.count:
            return 1.0
        offset = abs(known.offset)
        if not self._differ and (
            offset < _WORKER_MIN_OFFSET
            or offset < _WORKER_DIFFERS_FROM * math.sqrt(known.variance)
        ):
            return 1.0
        return math.exp(known.offset)

    def comparisons(self, worker: str) -> int:
        """Return by how many comparisons the speed of a worker is known."""
        known = self._workers.get(worker)
        return known.count if known is not None else 0

    def restart(self, worker: str) -> None:
        """Give less weight to what is known of a worker that has restarted."""
        known = self._workers.get(worker)
        if known is not None:
            variance = known.variance + _RESTART_VARIANCE
            known.variance = min(variance, _PRIOR_VARIANCE)
            known.outliers = 0

    def remove(self, worker: str) -> None:
        """Remove a worker that will not return."""
        known = self._workers.pop(worker, None)
        if known is not None:
            self._total_offset -= known.offset

    # Hints for the next lead.

    def to_hints(self) -> Sequence[HintRow]:
        """Return what is known, with the workers that differ most first.

        The first row has no name and holds the evidence, its variance and the noise.
        The others hold the offset, its variance and the number of comparisons.
        """
        ranked = sorted(self._workers.items(), key=lambda row: -abs(row[1].offset))
        head = (
            "",
            round(self._evidence, 4),
            round(self._evidence_variance, 5),
            round(self._noise, 4),
        )
        rows = [
            (name, round(w.offset, 3), round(w.variance, 4), float(w.count))
            for name, w in ranked
            if w.count
        ]
        return (head, *rows[: MAX_HINTS - 1])

    def apply_hints(self, rows: Sequence[HintRow]) -> None:
        """Use what an earlier lead learned of workers that are not known yet.

        Values out of range are limited; what this lead has seen itself is kept.
        """
        for row in rows[:MAX_HINTS]:
            match row:
                case (str(name), int() | float(), int() | float(), int() | float()):
                    first, second, third = map(float, row[1:])
                case _:
                    continue
            if not all(math.isfinite(value) for value in (first, second, third)):
                continue
            if not name:
                if not self._evidence_variance:
                    self._evidence_variance = min(max(second, 0.0), 1e3)
                    # A sum of n terms is at most the square root of n times their
                    # root sum of squares.
                    limit = math.sqrt(self._evidence_variance / (1 - _EVIDENCE_DECAY))
                    self._evidence = min(max(first, -limit), limit)
                    low, high = _NOISE_LIMITS
                    self._noise = min(max(third, low), high)
                    self._update_differ()
                continue
            if self.comparisons(name) or third < 1:
                continue
            worker = self._worker(name)
            worker.offset = min(max(first, -_MAX_OFFSET), _MAX_OFFSET)
            self._total_offset += worker.offset
            variance = max(second, _MIN_VARIANCE) + _HINT_VARIANCE
            worker.variance = min(variance, _PRIOR_VARIANCE)
            worker.count = int(min(third, 1e6))


def has_known_start(run: Run) -> bool:
    """Return whether it is known when a run began.

    It is not if the start order was sent by an earlier lead, more than once or with a
    late answer, or if the worker listed the run before that answer arrived.
    """
    if not run.confirmed or run.copies.count != 1:
        return False
    if not 0 <= run.started_at - run.copies.sent_at <= _MAX_START_S:
        return False
    return run.first_percent < 0 or run.first_percent_at >= run.started_at


def is_comparable(run: Run) -> bool:
    """Return whether a run shows the speed of its worker."""
    spec = run.task.step.spec
    may_be_resumed = spec.checkpoints and run.number > 1
    return not (spec.gang or spec.long_running or run.stop_reason or may_be_resumed)
