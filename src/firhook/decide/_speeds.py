"""Estimates the speed of workers from tasks of one step on several of them."""

import math

import attrs

#: The weight of the newest comparison in a worker's mean, so that about the last ten
#: count.  Tasks of one step differ by a fifth; ten comparisons reduce that to a
#: fifteenth, well below the third by which workers differ.
_WEIGHT = 0.1
#: A worker that takes this many times as long as the mean is slow.  If a third of
#: the workers takes 1.3 times as long as the others, each takes 1.18 times the mean.
SLOW_FACTOR = 1.1
#: Comparisons before a worker may count as slow.
_MIN_COMPARISONS = 5
#: Limit of a single comparison, as a logarithm, for example when a worker stalled.
_MAX_OFFSET = 1.5


@attrs.define(slots=True, eq=False)
class _Speed:
    """The mean of the logarithms of a worker's slowdown factors."""

    mean: float = 0.0
    count: int = 0


class SpeedEstimator:
    """Estimates how slow each worker is, relative to the mean of the workers.

    Short work has half a second of slack.  On workers that take 1.3 times as long
    it loses a sixth of that slack, and a gang is as slow as its slowest member.
    Callers' estimates are off by up to 90%, but by the same factor for all tasks of
    a step.  So only tasks of the same step are compared with each other.
    """

    def __init__(self) -> None:
        self._speeds: dict[str, _Speed] = {}
        self._steps: dict[str, list[tuple[str, float]]] = {}

    def record_run(self, step: str, worker: str, ran_s: float) -> None:
        """Record how long a completed task of a step ran on a worker."""
        if ran_s > 0:
            self._steps.setdefault(step, []).append((worker, math.log(ran_s)))

    def close_step(self, step: str) -> None:
        """Compare the tasks of a step that has ended."""
        rows = self._steps.pop(step, [])
        if len({worker for worker, _ in rows}) < 2:
            return
        mean = sum(value for _, value in rows) / len(rows)
        for worker, value in rows:
            speed = self._speeds.setdefault(worker, _Speed())
            offset = min(max(value - mean, -_MAX_OFFSET), _MAX_OFFSET)
            # Corrects for the known speeds of the workers it is compared with.
            known = sum(self._mean(w) for w, _ in rows) / len(rows)
            speed.count += 1
            weight = max(_WEIGHT, 1 / speed.count)
            speed.mean += weight * (offset + known - speed.mean)

    def _mean(self, worker: str) -> float:
        speed = self._speeds.get(worker)
        return speed.mean if speed is not None else 0.0

    def slowdown(self, worker: str) -> float:
        """Return how many times as long as the mean a worker takes."""
        return math.exp(self._mean(worker))

    def is_slow(self, worker: str) -> bool:
        """Return whether a worker is known to be slow."""
        speed = self._speeds.get(worker)
        if speed is None or speed.count < _MIN_COMPARISONS:
            return False
        return self.slowdown(worker) > SLOW_FACTOR

    def remove(self, worker: str) -> None:
        """Remove a worker, whose next incarnation may differ in speed."""
        self._speeds.pop(worker, None)
