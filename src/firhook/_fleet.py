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
_SERVED_HALF_S = 5.0
#: Words get rarer as the fleet grows; so many missed make a peer silent.
_WORDS_MISSED = 3
_LEAST_SERVED_S = 1e-3


@attrs.define(slots=True, eq=False)
class _Heard:
    """A peer's latest word."""

    at: float
    gossip: Gossip


class FleetView:
    """The peers' latest words, and this instance's own use.

    :param name: this instance.
    :param silent_s: a peer not heard for so long counts as silent.
    :param now: the time, in seconds.
    """

    def __init__(self, name: str, silent_s: float, now: float) -> None:
        self._name = name
        self._silent_s = silent_s
        self._entries: set[str] = {name}
        self._heard: dict[str, _Heard] = {}
        self._served_s: dict[str, float] = {}
        self._noted_at = now

    def set_instances(self, instances: Iterable[Endpoint]) -> None:
        """Take over the instances that the platform lists."""
        self._entries = {e.name for e in instances if e.kind == "entry"}
        self._heard = {n: h for n, h in self._heard.items() if n in self._entries}

    def add_gossip(self, peer: str, word: Gossip, now: float) -> None:
        """Take in a peer's word."""
        self._heard[peer] = _Heard(now, word)

    def beyond_parts(self, now: float) -> dict[str, int]:
        """Return what the peers have at each runner beyond their parts."""
        counts: dict[str, int] = {}
        for word in self._live(now).values():
            for load in word.runners:
                counts[load.runner] = counts.get(load.runner, 0) + load.in_flight
        return counts

    def fleet_use(self, account: Account, load: Load, now: float) -> FleetUse:
        """Return the fleet's use as far as it is known here."""
        # Listed instances that were not heard may be serving all the same, cut
        # off from here; they keep the least part.
        demand: dict[str, Mapping[str, float]] = {name: {} for name in self._entries}
        demand[self._name] = {
            team: float(account.running.get(team, 0) + load.waiting.get(team, 0))
            for team in {*account.running, *load.waiting}
        }
        served = dict(load.served_s)
        for name, word in self._live(now).items():
            demand[name] = {t.team: float(t.running + t.waiting) for t in word.teams}
            for team in word.teams:
                served[team.team] = served.get(team.team, 0.0) + team.served_s
        return FleetUse(demand, served)

    def update_load(
        self, account: Account, services: Iterable[Dispatcher], load: Load, now: float
    ) -> None:
        """Fill in what the peers are told of this instance."""
        self._note_served(account.running, now)
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

    def _note_served(self, running: Mapping[str, int], now: float) -> None:
        passed_s, self._noted_at = now - self._noted_at, now
        fade = 0.5 ** (passed_s / _SERVED_HALF_S)
        for team in {*self._served_s, *running}:
            served = self._served_s.get(team, 0.0) * fade
            self._served_s[team] = served + running.get(team, 0) * passed_s
            if self._served_s[team] < _LEAST_SERVED_S:
                del self._served_s[team]

    def _live(self, now: float) -> dict[str, Gossip]:
        return {
            name: heard.gossip
            for name, heard in self._heard.items()
            if now - heard.at
            <= max(self._silent_s, _WORDS_MISSED * heard.gossip.every_s)
        }
