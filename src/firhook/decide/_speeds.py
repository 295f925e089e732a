"""How fast workers are, learned from tasks of one step on several of them."""

import math

import attrs

#: The weight of the newest comparison in a worker's mean: the last ten or so
#: count.  Tasks of one step differ by a fifth; ten comparisons bring that down
#: to a fifteenth, and workers differ by a third.
_WEIGHT = 0.1
#: A worker that takes so much longer than the mean is slow.  Where a third of
#: the workers takes 1.3 times as long, these are 1.18 times the mean.
SLOW_FACTOR = 1.1
#: Comparisons before a worker is called slow.
_MIN_COMPARISONS = 5
#: No single comparison counts for more, as when a worker stood still.
_MAX_OFFSET = 1.5


@attrs.define(slots=True, eq=False)
class _Speed:
    """The mean of the logarithms of a worker's factors."""

    mean: float = 0.0
    count: int = 0


class SpeedEstimator:
    """The speeds of workers.

    Load: short work with half a second of slack on workers of which some take
    1.3 times as long.  Harm: on these it takes a sixth of its slack more, and
    a gang is as slow as its slowest member.  Estimates are off by up to 90%, but
    alike for all tasks of a step, so that tasks of one step are compared with
    each other.
    """

    def __init__(self) -> None:
        self._speeds: dict[str, _Speed] = {}
        self._steps: dict[str, list[tuple[str, float]]] = {}

    def record_run(self, step: str, worker: str, ran_s: float) -> None:
        """Take note of how long a task of a step ran that was done."""
        if ran_s > 0:
            self._steps.setdefault(step, []).append((worker, math.log(ran_s)))

    def close_step(self, step: str) -> None:
        """Compare the tasks of a step, which has ended."""
        rows = self._steps.pop(step, [])
        if len({worker for worker, _ in rows}) < 2:
            return
        mean = sum(value for _, value in rows) / len(rows)
        for worker, value in rows:
            speed = self._speeds.setdefault(worker, _Speed())
            off = min(max(value - mean, -_MAX_OFFSET), _MAX_OFFSET)
            # What the others in the step are known for is not held against it.
            known = sum(self._mean(w) for w, _ in rows) / len(rows)
            speed.count += 1
            weight = max(_WEIGHT, 1 / speed.count)
            speed.mean += weight * (off + known - speed.mean)

    def _mean(self, worker: str) -> float:
        speed = self._speeds.get(worker)
        return speed.mean if speed is not None else 0.0

    def slowdown(self, worker: str) -> float:
        """Return how much longer than the mean a worker takes."""
        return math.exp(self._mean(worker))

    def is_slow(self, worker: str) -> bool:
        """Return whether a worker is known to be slow."""
        speed = self._speeds.get(worker)
        if speed is None or speed.count < _MIN_COMPARISONS:
            return False
        return self.slowdown(worker) > SLOW_FACTOR

    def remove(self, worker: str) -> None:
        """Forget a worker, whose next life may be of another kind."""
        self._speeds.pop(worker, None)
