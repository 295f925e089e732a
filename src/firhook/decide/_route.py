"""Routing: the runner with the least expected wait, own zone first."""

from collections.abc import Collection, Mapping

import attrs

from firhook.model import Endpoint

#: Weight of the newest latency in the moving average.
_ALPHA = 0.2


@attrs.define(slots=True)
class RunnerView:
    """What this instance knows of a runner.

    :ivar in_flight: requests this instance has there.
    :ivar elsewhere: requests its peers say they have there.
    :ivar latency_s: moving average of its answers' time.
    """

    endpoint: Endpoint
    in_flight: int = 0
    elsewhere: int = 0
    latency_s: float = 0.01
    leaving: bool = False


class Router:
    """Chooses runners by in-flight count and latency."""

    def __init__(self, zone: str) -> None:
        self._zone = zone
        self.views: dict[str, RunnerView] = {}

    def update(self, endpoints: Collection[Endpoint]) -> None:
        """Take over a fresh list of runners."""
        names = {e.name for e in endpoints}
        for name in [n for n, v in self.views.items() if n not in names]:
            if self.views[name].in_flight == 0:
                del self.views[name]
            else:
                self.views[name].leaving = True
        for endpoint in endpoints:
            view = self.views.get(endpoint.name)
            if view is None or view.endpoint.address != endpoint.address:
                view = self.views[endpoint.name] = RunnerView(endpoint)
            view.endpoint = endpoint
            view.leaving = view.leaving or endpoint.leaving

    def pick(self, service: str, tried: Collection[str] = ()) -> RunnerView | None:
        """Return the runner to send to and count the request there.

        :param tried: runners that failed this request already.
        :return: ``None`` if every runner of the service is full or leaving.
        """
        best, best_cost = None, float("inf")
        for view in self.views.values():
            endpoint = view.endpoint
            load = view.in_flight + view.elsewhere
            if (
                endpoint.service != service
                or view.leaving
                or endpoint.name in tried
                or load >= endpoint.slots
            ):
                continue
            cost = view.latency_s * (1 + load / endpoint.slots)
            cost *= 1.0 if endpoint.zone == self._zone else 1.5
            if cost < best_cost:
                best, best_cost = view, cost
        if best is not None:
            best.in_flight += 1
        return best

    def done(self, view: RunnerView, latency_s: float | None) -> None:
        """Count a request as ended; ``None`` if it taught nothing of latency."""
        view.in_flight -= 1
        if latency_s is not None:
            view.latency_s += _ALPHA * (latency_s - view.latency_s)

    def set_elsewhere(self, counts: Mapping[str, int]) -> None:
        """Take over what the peers have in flight at each runner."""
        for name, view in self.views.items():
            view.elsewhere = counts.get(name, 0)
