"""Routing: the runner with the least expected wait, own zone first."""

from collections import Counter
from collections.abc import Collection, Mapping

import attrs

from firhook.model import Endpoint

#: Weight of the newest answer in a runner's moving slowness.
_ALPHA = 0.1
#: A runner of another zone is taken once those of this zone look this much
#: worse: the way there costs about as much as a short request's wait.
_OTHER_ZONE = 1.25
#: Failures in a row that eject a runner.  One or two happen with every restart.
_FAILURES = 3
#: A runner is ejected once it takes this many times as long as its peers do
#: for the same requests, seen over at least ``_SAMPLES`` of them.
_SLOW_RATIO = 4.0
_SAMPLES = 10
#: At most this part of a zone's runners of a service is ejected at a time.
#: When more look bad the cause is likelier the load or the network than the
#: runners, and the rest would fall over under the work of those ejected.
_EJECT_PART = 1 / 3
_EJECT_S = 1.0
_EJECT_MAX_S = 30.0
#: A slot that moved here is doubtful for so long: by then its old holder has
#: said by gossip if it still uses it.
_SETTLE_S = 2.0
#: Requests at once that a new or returned runner gets at first; each answer
#: adds one.  A cold runner given its full part at once would time out.
_SLOW_START = 2


@attrs.define(slots=True, eq=False)
class RunnerView:
    """What this instance knows of a runner at one address.

    :ivar settled: slots of the part that no peer can still be using.
    :ivar in_flight: requests this instance has there.
    :ivar elsewhere: requests its peers say they have there beyond their parts.
    :ivar key: name and address; one that comes back elsewhere is a new runner.
    :ivar part: slots of it that this instance may use.
    :ivar slowness: moving ratio of the time its answers took to the time that
        such requests take elsewhere.
    :ivar ramp: requests at once that it may have while it starts slowly.
    :ivar ejected_until: gets no work before, in seconds.
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
        """Return how many more requests it may get from here."""
        if self.leaving or now < self.ejected_until:
            return 0
        # A slot that moved here lately may still be in use by its old holder.
        doubtful = min(self.peer_excess, self.part - self.settled)
        return max(min(self.part - doubtful, self.ramp_limit) - self.in_flight, 0)

    def set_part(self, part: int, now: float) -> None:
        """Take over this instance's part."""
        if part > self.part:
            self.gained_at = now
        self.part = part
        if part < self.settled or (
            self.peer_excess == 0 and now - self.gained_at > _SETTLE_S
        ):
            self.settled = part

    def cost(self, zone: str) -> float:
        """Return the expected wait there, in units of a usual request."""
        load = self.in_flight / max(self.part, 1)
        away = 1.0 if self.endpoint.zone == zone else _OTHER_ZONE
        return self.slowness * (1.0 + load) * away


class Router:
    """Chooses among the runners of one service.

    Made for a service with one slow, one failing and one leaving runner among
    good ones, at any load.

    :param zone: this instance's zone.
    """

    def __init__(self, zone: str) -> None:
        self._zone = zone
        self.views: dict[str, RunnerView] = {}

    def update(self, endpoints: Collection[Endpoint]) -> None:
        """Take over a fresh list of runners."""
        listed = {}
        for endpoint in endpoints:
            # On the first list the runners are not new, only this instance is.
            ramp_limit = _SLOW_START if self.views else endpoint.slots
            fresh = RunnerView(endpoint, ramp_limit=ramp_limit)
            view = self.views.get(fresh.key, fresh)
            view.endpoint = endpoint
            # A runner said to be leaving stays so at its address: the list
            # lags, and may still show it as it was before it said so.
            view.leaving = view.leaving or endpoint.leaving
            listed[view.key] = view
        self.views = listed

    def slots(self) -> dict[str, int]:
        """Return the slots of each runner that takes new work."""
        return {k: v.endpoint.slots for k, v in self.views.items() if not v.leaving}

    def has_untried(self, tried: Collection[str]) -> bool:
        """Return whether a runner takes new work that is not among those tried."""
        return any(not v.leaving and k not in tried for k, v in self.views.items())

    def set_parts(
        self, parts: Mapping[str, int], connection_part: int, now: float
    ) -> None:
        """Take over this instance's part of each runner's slots.

        :param connection_part: how many instances share a runner's connections.
        """
        for key, view in self.views.items():
            conns = max(view.endpoint.connections // max(connection_part, 1), 1)
            view.set_part(min(parts.get(key, 0), conns), now)

    def capacity(self, now: float) -> int:
        """Return how many slots this instance may use in all."""
        return sum(
            min(v.part, v.ramp_limit)
            for v in self.views.values()
            if not v.leaving and now >= v.ejected_until
        )

    def pick(self, now: float, tried: Collection[str] = ()) -> RunnerView | None:
        """Return the runner to send to and count the request there.

        :param tried: keys of runners that failed this request already.
        :return: ``None`` if no runner has room.
        """
        best, best_cost = None, float("inf")
        for view in self.views.values():
            # Most have no part here at the two-year size; ask that first.
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
        """Count a request as ended at its runner."""
        view.in_flight -= 1

    def note_answer(
        self, view: RunnerView, took_s: float, expected_s: float, now: float
    ) -> None:
        """Learn from an answer.

        :param expected_s: how long such a request usually takes.
        """
        view.failures = 0
        view.ramp_limit = min(view.ramp_limit + 1, view.endpoint.slots)
        ratio = min(took_s / max(expected_s, 1e-4), 100.0)
        view.samples += 1
        view.slowness += max(_ALPHA, 1 / view.samples) * (ratio - view.slowness)
        if view.samples < _SAMPLES:
            return
        if view.slowness > _SLOW_RATIO and self._is_outlier(view):
            self._eject(view, now)
        else:
            view.ejections = 0

    def note_failure(self, view: RunnerView, now: float) -> None:
        """Learn from an exchange that was refused, cut or too late."""
        view.failures += 1
        # Back from an ejection, its first failure tells that it is not well.
        if view.failures >= (1 if view.ejections else _FAILURES):
            self._eject(view, now)

    def _peers(self, view: RunnerView) -> list[RunnerView]:
        zone = view.endpoint.zone
        return [v for v in self.views.values() if v.endpoint.zone == zone]

    def _is_outlier(self, view: RunnerView) -> bool:
        others = sorted(v.slowness for v in self.views.values() if v is not view)
        return bool(others) and view.slowness > _SLOW_RATIO * others[len(others) // 2]

    def _eject(self, view: RunnerView, now: float) -> None:
        peers = self._peers(view)
        out = sum(1 for v in peers if v is not view and now < v.ejected_until)
        if out + 1 > len(peers) * _EJECT_PART:
            return
        pause_s = min(_EJECT_S * 2**view.ejections, _EJECT_MAX_S)
        view.ejections += 1
        view.ejected_until = now + pause_s
        # It comes back with one request at a time, judged afresh.
        view.ramp_limit = 1
        view.samples = 0
        view.slowness = 1.0
        view.failures = 0

    def set_peer_excess(self, counts: Mapping[str, int]) -> None:
        """Take over what the peers have at each runner beyond their parts."""
        for key, view in self.views.items():
            view.peer_excess = counts.get(key, 0)

    def set_leaving(self, keys: Collection[str]) -> None:
        """Take over which runners told a peer that they are leaving."""
        for key in keys:
            if key in self.views:
                self.views[key].leaving = True

    def excess_by_runner(self) -> Counter[str]:
        """Return what this instance has in flight beyond its part, by runner.

        Peers work out its parts by themselves, and what is within them takes
        nothing from theirs.  Telling the rest alone keeps gossip small however
        many runners there are.
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
