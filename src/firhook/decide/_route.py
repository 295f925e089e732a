"""Load balancing over runners: least expected wait, own zone preferred."""

from collections import Counter
from collections.abc import Collection, Mapping

import attrs

from firhook.model import Endpoint

#: Weight of the newest answer in the moving average of a runner's slowness.
_ALPHA = 0.1
#: Cost factor of runners in other zones.  The network latency to them is about as
#: long as the wait of a short request.
_CROSS_ZONE_FACTOR = 1.25
#: Consecutive failures that eject a runner.  Every restart causes one or two.
_MAX_CONSECUTIVE_FAILURES = 3
#: A runner is ejected once it takes this many times as long as its peers for the
#: same requests, over at least ``_MIN_SAMPLES`` of them.
_OUTLIER_RATIO = 4.0
_MIN_SAMPLES = 10
#: Maximum fraction of a zone's runners of a service that is ejected at a time.  If
#: more look bad, the cause is probably the load or the network, and the remaining
#: runners would collapse under the additional work.
_MAX_EJECTED_FRACTION = 1 / 3
_INITIAL_EJECTION_S = 1.0
_MAX_EJECTION_S = 30.0
#: Time after which a slot that moved here is certainly free: by then its old holder
#: has announced by gossip whether it still uses it.
_SETTLE_S = 2.0
#: Initial number of concurrent requests for a new or returned runner; each answer
#: adds one.  A cold runner would time out under its full part at once.
_SLOW_START = 2


@attrs.define(slots=True, eq=False)
class RunnerView:
    """State of a runner at one address, as this instance sees it.

    :ivar part: slots of the runner that this instance may use.
    :ivar settled: slots of the part that no peer can still be using.
    :ivar gained_at: when the part last grew, in seconds.
    :ivar in_flight: requests of this instance at the runner.
    :ivar peer_excess: requests that its peers report there beyond their parts.
    :ivar slowness: moving average of the ratio of the runner's answer times to the
        usual times of such requests.
    :ivar ejected_until: time before which it gets no work, in seconds.
    :ivar ramp_limit: maximum number of concurrent requests during slow start.
    :ivar key: name and address; at a new address it counts as a new runner.
    """

    endpoint: Endpoint
    part: int = 0
    settled: int = 0
    gained_at: float = 0.0
    in_flight: int = 0
    peer_excess: int = 0
    slowness: float = 1.0
    samples: int = 0
    failures: int = 0
    ejections: int = 0
    ejected_until: float = 0.0
    ramp_limit: int = _SLOW_START
    leaving: bool = False

    key: str = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Set the key from name and address."""
        self.key = f"{self.endpoint.name}@{self.endpoint.address}"

    def headroom(self, now: float) -> int:
        """Return how many more requests this instance may send to it."""
        if self.leaving or now < self.ejected_until:
            return 0
        # The old holder may still use a slot that recently moved here.
        doubtful = min(self.peer_excess, self.part - self.settled)
        return max(min(self.part - doubtful, self.ramp_limit) - self.in_flight, 0)

    def set_part(self, part: int, now: float) -> None:
        """Set this instance's part."""
        if part > self.part:
            self.gained_at = now
        self.part = part
        if part < self.settled or (
            self.peer_excess == 0 and now - self.gained_at > _SETTLE_S
        ):
            self.settled = part

    def cost(self, zone: str) -> float:
        """Return the expected wait, in units of the usual request time."""
        load = self.in_flight / max(self.part, 1)
        zone_factor = 1.0 if self.endpoint.zone == zone else _CROSS_ZONE_FACTOR
        return self.slowness * (1.0 + load) * zone_factor


class Router:
    """Chooses among the runners of one service.

    Handles slow, failing and leaving runners among healthy ones at any load.

    :param zone: this instance's zone.
    """

    def __init__(self, zone: str) -> None:
        self._zone = zone
        self.views: dict[str, RunnerView] = {}

    def update(self, endpoints: Collection[Endpoint]) -> None:
        """Replace the list of runners."""
        listed = {}
        for endpoint in endpoints:
            # Runners on the first list are not new; only this instance is.
            ramp_limit = _SLOW_START if self.views else endpoint.slots
            fresh = RunnerView(endpoint, ramp_limit=ramp_limit)
            view = self.views.get(fresh.key, fresh)
            view.endpoint = endpoint
            # A runner that announced that it is leaving stays so at its address:
            # the list lags and may not show it yet.
            view.leaving = view.leaving or endpoint.leaving
            listed[view.key] = view
        self.views = listed

    def slots(self) -> dict[str, int]:
        """Return the slots of each runner that accepts new work."""
        return {k: v.endpoint.slots for k, v in self.views.items() if not v.leaving}

    def has_untried(self, tried: Collection[str]) -> bool:
        """Return whether a runner that was not tried accepts new work."""
        return any(not v.leaving and k not in tried for k, v in self.views.items())

    def set_parts(
        self, parts: Mapping[str, int], sharing_instances: int, now: float
    ) -> None:
        """Set this instance's part of each runner's slots.

        :param sharing_instances: number of instances that share a runner's
            connections.
        """
        for key, view in self.views.items():
            conns = max(view.endpoint.connections // max(sharing_instances, 1), 1)
            view.set_part(min(parts.get(key, 0), conns), now)

    def capacity(self, now: float) -> int:
        """Return how many slots this instance may use in total."""
        return sum(
            min(v.part, v.ramp_limit)
            for v in self.views.values()
            if not v.leaving and now >= v.ejected_until
        )

    def pick(self, now: float, tried: Collection[str] = ()) -> RunnerView | None:
        """Return the runner to send to and count the request there.

        :param tried: keys of the runners that failed this request.
        :return: ``None`` if no runner has a free slot.
        """
        best, best_cost = None, float("inf")
        for view in self.views.values():
            # In a large fleet most runners have no part here, so check this first.
            if view.in_flight >= view.part or view.key in tried:
                continue
            if view.headroom(now) <= 0:
                continue
            cost = view.cost(self._zone)
            if cost < best_cost:
                best, best_cost = view, cost
        if best is not None:
            best.in_flight += 1
        return best

    def release(self, view: RunnerView) -> None:
        """Record that a request at a runner has ended."""
        view.in_flight -= 1

    def note_answer(
        self, view: RunnerView, took_s: float, expected_s: float, now: float
    ) -> None:
        """Update a runner's slowness and slow start after an answer.

        :param expected_s: usual time of such a request, in seconds.
        """
        view.failures = 0
        view.ramp_limit = min(view.ramp_limit + 1, view.endpoint.slots)
        ratio = min(took_s / max(expected_s, 1e-4), 100.0)
        view.samples += 1
        view.slowness += max(_ALPHA, 1 / view.samples) * (ratio - view.slowness)
        if view.samples < _MIN_SAMPLES:
            return
        if view.slowness > _OUTLIER_RATIO and self._is_outlier(view):
            self._eject(view, now)
        else:
            view.ejections = 0

    def note_failure(self, view: RunnerView, now: float) -> None:
        """Record an exchange that was refused, interrupted or too late."""
        view.failures += 1
        # After an ejection the first failure ejects it again.
        if view.failures >= (1 if view.ejections else _MAX_CONSECUTIVE_FAILURES):
            self._eject(view, now)

    def _peers(self, view: RunnerView) -> list[RunnerView]:
        zone = view.endpoint.zone
        return [v for v in self.views.values() if v.endpoint.zone == zone]

    def _is_outlier(self, view: RunnerView) -> bool:
        others = sorted(v.slowness for v in self.views.values() if v is not view)
        return (
            bool(others) and view.slowness > _OUTLIER_RATIO * others[len(others) // 2]
        )

    def _eject(self, view: RunnerView, now: float) -> None:
        peers = self._peers(view)
        ejected = sum(1 for v in peers if v is not view and now < v.ejected_until)
        if ejected + 1 > len(peers) * _MAX_EJECTED_FRACTION:
            return
        pause_s = min(_INITIAL_EJECTION_S * 2**view.ejections, _MAX_EJECTION_S)
        view.ejections += 1
        view.ejected_until = now + pause_s
        # It returns with one request at a time and without history.
        view.ramp_limit = 1
        view.samples = 0
        view.slowness = 1.0
        view.failures = 0

    def set_peer_excess(self, counts: Mapping[str, int]) -> None:
        """Set what the peers have at each runner beyond their parts."""
        for key, view in self.views.items():
            view.peer_excess = counts.get(key, 0)

    def set_leaving(self, keys: Collection[str]) -> None:
        """Mark the runners that announced to a peer that they are leaving."""
        for key in keys:
            if key in self.views:
                self.views[key].leaving = True

    def excess_by_runner(self) -> Counter[str]:
        """Return what this instance has in flight beyond its part, by runner.

        Peers compute this instance's parts themselves, and requests within them
        take nothing from theirs.  Sending only the excess keeps gossip small
        regardless of the number of runners.
        """
        return Counter(
            {
                key: view.in_flight - view.part
                for key, view in self.views.items()
                if view.in_flight > view.part
            }
        )

    def in_flight(self) -> dict[str, int]:
        """Return what this instance has in flight at each runner."""
        return {k: v.in_flight for k, v in self.views.items() if v.in_flight}
