"""Spreads the headroom for urgent work over the workers of each pool."""

import itertools
from collections.abc import Iterable, Mapping

from firhook.decide._worker_views import WorkerView, urgent_headroom_m


class UrgentHeadroom:
    """Decides on which workers how much is kept free for urgent work.

    Where an urgent task needs 5 cores on average, a tenth of each worker of 32 cores
    holds none: it kept a tenth of the cell idle in vain, and in a burst short jobs
    waited for a bulk task to end.  If an urgent task needs more than a tenth of a
    worker, the same part of the pool's cores is kept free in whole tasks, each on
    another worker, and none on the remaining workers.  The workers are spread evenly
    over the racks, so that a rack or its switch takes its share only, and within a rack
    the fastest go first.
    """

    def __init__(self) -> None:
        self._orders: dict[str, tuple[tuple[tuple[str, int], ...], list[str]]] = {}

    def apply(
        self, views: Iterable[WorkerView], capacity_m: Mapping[str, int], need_m: int
    ) -> None:
        """Set the headroom of each worker.

        :param capacity_m: the workers' capacity, in millicores, by name.
        :param need_m: what recent urgent tasks needed, in millicores; 0 if there were
            none.
        """
        pools: dict[str, list[WorkerView]] = {}
        for view in views:
            capacity = capacity_m[view.name]
            view.urgent_cpu_m = urgent_headroom_m(capacity, need_m)
            if view.urgent_cpu_m < need_m:
                pools.setdefault(view.pool, []).append(view)
        for pool, workers in pools.items():
            part_m = sum(worker.urgent_cpu_m for worker in workers)
            for worker in workers:
                worker.urgent_cpu_m = 0
            by_name = {worker.name: worker for worker in workers}
            fits = (
                by_name[name]
                for name in self._spread_order(pool, workers)
                if capacity_m[name] >= need_m
            )
            for worker in itertools.islice(fits, round(part_m / need_m)):
                worker.urgent_cpu_m = need_m

    def _spread_order(self, pool: str, workers: list[WorkerView]) -> list[str]:
        """Return the workers' names, one of each rack after the other.

        The order is kept until a worker comes, goes or changes its speed, as there are
        hundreds of workers and up to a hundred rounds a second.
        """
        key = tuple((worker.name, worker.speed_class) for worker in workers)
        known = self._orders.get(pool)
        if known is None or known[0] != key:
            racks: dict[str, list[WorkerView]] = {}
            for worker in sorted(workers, key=lambda w: (-w.speed_class, w.name)):
                racks.setdefault(worker.rack, []).append(worker)
            rounds = itertools.zip_longest(*(racks[rack] for rack in sorted(racks)))
            order = [w.name for row in rounds for w in row if w is not None]
            known = self._orders[pool] = (key, order)
        return known[1]
