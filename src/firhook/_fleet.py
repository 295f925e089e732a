"""View of the peers' requests, and the load that this instance publishes."""

from collections.abc import Iterable, Mapping

import attrs

from firhook._kernel import Load
from firhook.decide.admit import Dispatcher
from firhook.decide.limits import Account
from firhook.decide.parts import FleetUse
from firhook.model import Endpoint, Gossip

#: Half-life of the slot time that counts as recently served.  It is long enough to
#: smooth single requests, and short enough that a team gets no credit for a long
#: idle period.
_SERVED_HALF_LIFE_S = 5.0
#: A peer is ignored after this many missed gossip messages.  The gossip interval
#: grows with the fleet, so a fixed timeout alone would be too short.
_MAX_MISSED_GOSSIP = 3
_MIN_SERVED_S = 1e-3


@attrs.define(slots=True, eq=False)
class _ReceivedGossip:
    """The latest gossip message of a peer and its arrival time in seconds."""

    received_at: float
    gossip: Gossip


class FleetView:
    """The load of the peers by their latest gossip, and of this instance.

    :param name: name of this instance.
    :param gossip_timeout_s: minimum time after which a peer without gossip is
        ignored, in seconds.
    :param now: the current time, in seconds.
    """

    def __init__(self, name: str, gossip_timeout_s: float, now: float) -> None:
        self._name = name
        self._gossip_timeout_s = gossip_timeout_s
        self._entry_instances: set[str] = {name}
        self._received: dict[str, _ReceivedGossip] = {}
        self._served_s: dict[str, float] = {}
        self._updated_at = now

    def set_instances(self, instances: Iterable[Endpoint]) -> None:
        """Set the instances that the platform lists."""
        self._entry_instances = {e.name for e in instances if e.kind == "entry"}
        self._received = {
            n: h for n, h in self._received.items() if n in self._entry_instances
        }

    def add_gossip(self, peer: str, gossip: Gossip, now: float) -> None:
        """Record a gossip message of a peer."""
        self._received[peer] = _ReceivedGossip(now, gossip)

    def excess_by_runner(self, now: float) -> dict[str, int]:
        """Return the peers' requests at each runner beyond their parts of its slots."""
        counts: dict[str, int] = {}
        for gossip in self._live_gossip(now).values():
            for load in gossip.runners:
                counts[load.runner] = counts.get(load.runner, 0) + load.in_flight
        return counts

    def fleet_use(self, account: Account, load: Load, now: float) -> FleetUse:
        """Return the usage of the fleet as known to this instance."""
        # A listed instance without recent gossip may still be serving requests
        # behind a network partition, so it keeps the minimum part.
        demand: dict[str, Mapping[str, float]] = {
            name: {} for name in self._entry_instances
        }
        demand[self._name] = {
            team: float(account.running.get(team, 0) + load.waiting.get(team, 0))
            for team in {*account.running, *load.waiting}
        }
        served = dict(load.served_s)
        for name, gossip in self._live_gossip(now).items():
            demand[name] = {t.team: float(t.running + t.waiting) for t in gossip.teams}
            for team in gossip.teams:
                served[team.team] = served.get(team.team, 0.0) + team.served_s
        return FleetUse(demand, served)

    def update_load(
        self, account: Account, services: Iterable[Dispatcher], load: Load, now: float
    ) -> None:
        """Update the load that this instance publishes to its peers."""
        self._update_served(account.running, now)
        load.served_s = dict(self._served_s)
        load.waiting = {}
        load.excess_in_flight = {}
        load.local_in_flight = {}
        known: set[str] = set()
        for service in services:
            known |= set(service.router.views)
            load.excess_in_flight.update(service.router.excess_by_runner())
            load.local_in_flight.update(service.router.in_flight())
            for team in service.queue.teams():
                n = service.queue.waiting(team)
                load.waiting[team] = load.waiting.get(team, 0) + n
        load.leaving &= known

    def _update_served(self, running: Mapping[str, int], now: float) -> None:
        elapsed_s, self._updated_at = now - self._updated_at, now
        decay = 0.5 ** (elapsed_s / _SERVED_HALF_LIFE_S)
        for team in {*self._served_s, *running}:
            served = self._served_s.get(team, 0.0) * decay
            self._served_s[team] = served + running.get(team, 0) * elapsed_s
            if self._served_s[team] < _MIN_SERVED_S:
                del self._served_s[team]

    def _live_gossip(self, now: float) -> dict[str, Gossip]:
        return {
            name: received.gossip
            for name, received in self._received.items()
            if now - received.received_at
            <= max(self._gossip_timeout_s, _MAX_MISSED_GOSSIP * received.gossip.every_s)
        }
