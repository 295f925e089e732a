"""What an instance knows of its peers' requests, and tells them of its own."""

from collections.abc import Iterable, Mapping

import attrs

from firhook._kernel import Load
from firhook.decide.admit import Dispatcher
from firhook.decide.limits import Account
from firhook.decide.parts import FleetUse
from firhook.model import Endpoint, Gossip

#: Slot seconds served lose half their weight in so many seconds: long enough
#: to even out single requests, short enough that a team which was idle over
#: lunch is not paid back for it.
_SERVED_HALF_LIFE_S = 5.0
#: Words get rarer as the fleet grows; so many missed make a peer silent.
_MAX_MISSED_GOSSIP = 3
_MIN_SERVED_S = 1e-3


@attrs.define(slots=True, eq=False)
class _ReceivedGossip:
    """A peer's latest gossip."""

    received_at: float
    gossip: Gossip


class FleetView:
    """The peers' latest words, and this instance's own use.

    :param name: this instance.
    :param gossip_timeout_s: a peer not received for so long counts as silent.
    :param now: the time, in seconds.
    """

    def __init__(self, name: str, gossip_timeout_s: float, now: float) -> None:
        self._name = name
        self._gossip_timeout_s = gossip_timeout_s
        self._entry_instances: set[str] = {name}
        self._received: dict[str, _ReceivedGossip] = {}
        self._served_s: dict[str, float] = {}
        self._updated_at = now

    def set_instances(self, instances: Iterable[Endpoint]) -> None:
        """Take over the instances that the platform lists."""
        self._entry_instances = {e.name for e in instances if e.kind == "entry"}
        self._received = {
            n: h for n, h in self._received.items() if n in self._entry_instances
        }

    def add_gossip(self, peer: str, gossip: Gossip, now: float) -> None:
        """Take in a peer's gossip."""
        self._received[peer] = _ReceivedGossip(now, gossip)

    def excess_by_runner(self, now: float) -> dict[str, int]:
        """Return what the peers have at each runner beyond their parts."""
        counts: dict[str, int] = {}
        for gossip in self._live_gossip(now).values():
            for load in gossip.runners:
                counts[load.runner] = counts.get(load.runner, 0) + load.in_flight
        return counts

    def fleet_use(self, account: Account, load: Load, now: float) -> FleetUse:
        """Return the fleet's use as far as it is known here."""
        # Listed instances that were not heard may be serving all the same, cut
        # off from here; they keep the least part.
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
        """Fill in what the peers are told of this instance."""
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
