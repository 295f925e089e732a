"""Admission and dispatch: which request goes where, which waits, which never will."""

import math
from collections.abc import Collection, Mapping
from typing import Any

import attrs

from firhook.decide._limits import Account
from firhook.decide._parts import (
    FleetUse,
    corrected_shares,
    instance_parts,
    local_weights,
    runner_parts,
    slot_row,
    usable_parts,
)
from firhook.decide._queue import FairQueue, QueuedRequest
from firhook.decide._retry import RetryBudget
from firhook.decide._route import Router, RunnerView
from firhook.decide._times import ServiceTimes
from firhook.errors import (
    DeadlineUnmeetableError,
    FirhookError,
    NoEndpointError,
    OverloadedError,
    TeamQueueFullError,
)
from firhook.model import Endpoint

#: A request that holds a slot for so many times as long as the mean request
#: counts as long: the others would feel it if it were before them.
_LONG_RATIO = 3.0
#: But none does that is shorter than this, which nobody on a page notices.
_LONG_LEAST_S = 0.02
#: Long work leaves free as many slots as this many standard deviations of the
#: slots that short work uses, were it to come one by one.  One would do then;
#: pages ask for several things at once, which spreads it more.
_SHORT_SPREAD = 3.0
#: But never more than this part.
_SHORT_MOST = 0.4
#: Long work may hold this part of the slots however much short work there is;
#: beside a fleet full of short work it would else never find that many free.
_LONG_LEAST = 0.3
#: Without a short request for so long, long work may have every slot.
_SHORT_GONE_S = 10.0
#: Expected times are rough: half of all requests take longer.  A queue that is
#: let grow until the expected end meets the deadline is full of requests that
#: end just too late, each having used a slot for nobody.
_WAIT_MARGIN = 1.25
_SERVICE_MARGIN = 1.5
#: A waiting request is given up once its expected end is past its deadline by
#: this part of its whole time; expectations are rough, and giving up at the
#: first doubt would refuse requests that could have been served.
_GIVE_UP_SLACK = 0.1
#: The lead answers within milliseconds.  A team that got no room for so long
#: is at its limit elsewhere, or the lead is away, and its requests are told.
CAPACITY_WAIT_S = 2.0
#: How often the parts are worked out anew, in seconds.
REBALANCE_S = 0.1
#: Parts that must agree before a slot that moved here is used: two rounds, or
#: 0.2 s, of which a gossip between zones takes a few ms.
_PARTS_AGREE = 3
#: Demand is followed over about eight seconds.  Followed at once, the noise of
#: single requests moves slots at every round, and a moving slot is idle until
#: its parts agree.
_DEMAND_S = 8.0
_RETRY_MOST_S = 30.0
_RETRY_LEAST_S = 0.1


@attrs.frozen(slots=True)
class QueueLimits:
    """Bounds of the queue.

    :param waiting: most requests waiting at this instance.
    :param team_waiting: most of one team.
    """

    waiting: int
    team_waiting: int


@attrs.define(slots=True, eq=False)
class DispatchedRequest:
    """A request that got a slot.

    :param view: the runner it goes to.
    :param started: when, in seconds.
    """

    item: QueuedRequest
    view: RunnerView
    started: float


@attrs.frozen(slots=True)
class RefusedRequest:
    """A waiting request that is to be refused now."""

    item: QueuedRequest
    exc: FirhookError


class Dispatcher:
    """Admits, queues and sends the requests of one service.

    Made for a full fleet with far more work than it can do.  The harm it
    prevents: requests that wait only to be refused at their deadline, or that
    take a slot though their caller can no longer use the answer.  Both turn an
    overload into an outage, since work is done for nobody.

    :param name: this instance, as it is called in its gossip.
    :param zone: its zone.
    :param account: room under the teams' limits, shared by all services.
    """

    def __init__(
        self, name: str, zone: str, account: Account, limits: QueueLimits
    ) -> None:
        self._name = name
        self._account = account
        self._limits = limits
        self.router = Router(zone)
        self.queue = FairQueue()
        self.times = ServiceTimes()
        self.budget = RetryBudget()
        self.running = 0
        self.weights: dict[str, float] = {}
        self._long_running = 0
        self._placed: dict[tuple[str, ...], dict[DispatchedRequest, None]] = {}
        self._capacity = 0
        self._short_seen = -math.inf
        self._short_load = 0.0
        self._short_at = 0.0
        self._row: list[str] = []
        self._use: FleetUse | None = None
        self._parts: list[dict[str, int]] = []
        self._no_capacity_since: dict[str, float] = {}

    # -- what is known of the runners and of the fleet --------------------

    def update(self, endpoints: Collection[Endpoint], now: float) -> None:
        """Take over a fresh list of the service's runners."""
        self.router.update(endpoints)
        self._row = slot_row(self.router.slots())
        self._capacity = self.router.capacity(now)

    def rebalance(self, use: FleetUse, shares: Mapping[str, float], now: float) -> None:
        """Take over the fleet's use: this instance's slots and its teams' weights.

        Called every ``REBALANCE_S``.
        """
        use = use.smoothed(self._use or use, REBALANCE_S / _DEMAND_S)
        self._use = use
        total = len(self._row)
        shares = corrected_shares(total, use, shares)
        parts = instance_parts(total, use, shares)
        mine = runner_parts(self._name, parts, self._row)
        if not self._parts or len(use.demand) == 1:
            self._parts = [mine] * _PARTS_AGREE
        self._parts = [*self._parts[1 - _PARTS_AGREE :], mine]
        self.router.set_parts(usable_parts(self._parts), len(use.demand), now)
        self.weights = local_weights(self._name, use, shares)
        self._capacity = self.router.capacity(now)

    # -- admission --------------------------------------------------------

    def admit(self, item: QueuedRequest, now: float, jitter: float) -> None:
        """Queue a request, or refuse it at once if waiting cannot help it.

        :param jitter: 0 to 1, at random, so that callers refused together do
            not come back together.
        :raises NoEndpointError: if the service has no runner.
        :raises OverloadedError: if the queue is full.
        :raises TeamQueueFullError: if the team's part of it is full.
        :raises DeadlineUnmeetableError: if its turn would come too late.
        """
        self._expire_short(now)
        if not item.long:
            self._note_short(item, now)
        wait_s = self.expected_wait_s(item, now)
        back_s = _come_back(self._drain_s(item.team), jitter)
        if not self.router.has_untried(()):
            raise NoEndpointError("no runner is known", retry_after_s=back_s)
        if len(self.queue) >= self._limits.waiting:
            raise OverloadedError("too many requests wait", retry_after_s=back_s)
        if self.queue.waiting(item.team) >= self._limits.team_waiting:
            raise TeamQueueFullError(
                f"{self._limits.team_waiting} requests of the team wait",
                retry_after_s=back_s,
            )
        need_s = _WAIT_MARGIN * wait_s + _SERVICE_MARGIN * item.min_service_s
        need_s = max(need_s, wait_s + self._keep_s(item, now))
        if now + need_s > item.deadline:
            raise DeadlineUnmeetableError(
                f"it would wait {wait_s:.2f} s and run {item.min_service_s:.2f} s",
                retry_after_s=back_s,
            )
        self.queue.push(item)

    def _keep_s(self, item: QueuedRequest, now: float) -> float:
        if not item.allowed_s:
            return 0.0
        running = self._placed.get(item.kind)
        running_s = now - next(iter(running)).started if running else 0.0
        return self.times.min_remaining_s(item.kind, item.allowed_s, running_s, now)

    def expected_wait_s(self, item: QueuedRequest, now: float) -> float:
        """Return how long a new request would wait for its turn."""
        if not len(self.queue) and self.running < self._capacity:
            return 0.0
        ahead_s = self.queue.work_ahead_s(item.team, item.klass) + self.times.mean_s
        return ahead_s / self._rate(item.team)

    def _rate(self, team: str) -> float:
        """Return how many slots serve a team while others wait as well."""
        busy = set(self.queue.teams()) | {team}
        total = sum(self.weights.get(t, 1.0) for t in busy)
        # An instance whose part is none yet gets one once its peers have heard
        # that it has requests.
        slots = max(self._capacity, 1)
        rate = slots * self.weights.get(team, 1.0) / total
        room = self._account.capacity.get(team, 0)
        # Room not lent yet is asked for when the request is queued; until it
        # is known, only the slots bound the rate.
        return min(rate, room) if room > 0 else rate

    def _drain_s(self, team: str) -> float:
        """Return how long the team's backlog takes."""
        work_s = self.queue.work_ahead_s(team, "bulk") + self.times.mean_s
        return work_s / self._rate(team)

    # -- dispatch ---------------------------------------------------------

    def dispatch_next(
        self, now: float, jitter: float = 0.5
    ) -> DispatchedRequest | RefusedRequest | None:
        """Give the next request a slot, or give it up if its turn came too late.

        :return: ``None`` if none can have a slot.
        """
        blocked: set[str] = set()
        while len(self.queue):
            item = self.queue.pop(self.weights, blocked, self._long_allowed(now))
            if item is None:
                return None
            if now + self._keep_s(item, now) > item.deadline:
                self._put_back(item)
                self.queue.remove(item)
                return RefusedRequest(item, self._too_late(item, jitter))
            if not self._account.acquire(item.team):
                self._put_back(item)
                blocked.add(item.team)
                self._no_capacity_since.setdefault(item.team, now)
                continue
            self._no_capacity_since.pop(item.team, None)
            view = self.router.pick(now, item.tried)
            if view is None:
                self._account.release(item.team)
                self._put_back(item)
                if not item.tried:
                    return None
                # Only runners that failed this one have room; others may use
                # them meanwhile.
                blocked.add(item.team)
                continue
            self.running += 1
            self._long_running += item.long
            placed = DispatchedRequest(item, view, now)
            # In order of their start: the first is the oldest.
            self._placed.setdefault(item.kind, {})[placed] = None
            return placed
        return None

    def _put_back(self, item: QueuedRequest) -> None:
        self.queue.put_back(item, self.weights)

    def has_untried(self, tried: Collection[str]) -> bool:
        """Return whether a runner is left that did not fail a request yet."""
        return self.router.has_untried(tried)

    def teams_awaiting_capacity(self) -> list[str]:
        """Return the teams that wait for room under their limit."""
        return list(self._no_capacity_since)

    def _long_allowed(self, now: float) -> bool:
        """Return whether a long request may take a slot.

        Without this, a few teams' long work fills every slot and a quote that
        comes next waits until one of them ends, however urgent its class.
        """
        if now - self._short_seen > _SHORT_GONE_S:
            return True
        if self._long_running < _LONG_LEAST * self._capacity:
            return True
        keep = min(
            math.ceil(_SHORT_SPREAD * math.sqrt(self._short_load)),
            int(_SHORT_MOST * self._capacity),
        )
        return self._capacity - self.running > keep

    def _note_short(self, item: QueuedRequest, now: float) -> None:
        """Follow how many slots short work uses, over about a second."""
        self._short_load += item.expected_s
        self._short_seen = now

    def _expire_short(self, now: float) -> None:
        self._short_load *= math.exp(min(self._short_at - now, 0.0))
        self._short_at = now

    def end(self, placed: DispatchedRequest, now: float) -> None:
        """Count a request as ended for certain, or as past the bound."""
        self.running -= 1
        self._long_running -= placed.item.long
        of_kind = self._placed[placed.item.kind]
        del of_kind[placed]
        if not of_kind:
            del self._placed[placed.item.kind]
        self.router.release(placed.view)
        self._account.release(placed.item.team)
        self.queue.settle(placed.item, now - placed.started, self.weights)

    # -- giving up --------------------------------------------------------

    def refuse_hopeless(self, now: float, jitter: float) -> list[RefusedRequest]:
        """Take out the requests whose deadline can no longer be met.

        A runner that dies, or a large team's return, makes the queue slower
        than it was when they were admitted.  Told now, their callers can still
        do something; told at the deadline, they cannot.
        """
        self._capacity = self.router.capacity(now)
        given_up = []
        for team in self.queue.teams():
            outlook = _Outlook(self._rate(team), self._has_no_room(team, now))
            for item in self.queue.items(team):
                exc = self._hopeless(item, outlook, now, jitter)
                if exc is None:
                    outlook.ahead_s += item.expected_s
                else:
                    self.queue.remove(item)
                    given_up.append(RefusedRequest(item, exc))
        for team in self.teams_awaiting_capacity():
            if not self.queue.waiting(team):
                del self._no_capacity_since[team]
        return given_up

    def _has_no_room(self, team: str, now: float) -> bool:
        """Return whether a team waits for room that does not come.

        While some of its requests run here, their ends make room for others.
        """
        waited_s = now - self._no_capacity_since.get(team, now)
        held = self._account.capacity.get(team, 0) + self._account.running.get(team, 0)
        return waited_s > CAPACITY_WAIT_S and held == 0

    def _hopeless(
        self, item: QueuedRequest, outlook: "_Outlook", now: float, jitter: float
    ) -> FirhookError | None:
        """Return why a waiting request is to be refused now, if it is."""
        if outlook.no_room:
            back_s = max(_come_back(self._drain_s(item.team), jitter), CAPACITY_WAIT_S)
            return TeamQueueFullError(
                f"the team had no room under its limit for {CAPACITY_WAIT_S:g} s",
                retry_after_s=back_s,
            )
        if not self.has_untried(item.tried):
            back_s = _come_back(self._drain_s(item.team), jitter)
            return NoEndpointError("no runner is left", retry_after_s=back_s)
        service_s = _SERVICE_MARGIN * item.min_service_s
        end = now + outlook.ahead_s / outlook.rate + service_s
        slack = _GIVE_UP_SLACK * (item.deadline - item.arrived)
        least_s = max(service_s, self._keep_s(item, now))
        if now + least_s <= item.deadline and end <= item.deadline + slack:
            return None
        return self._too_late(item, jitter)

    def _too_late(self, item: QueuedRequest, jitter: float) -> FirhookError:
        back_s = _come_back(self._drain_s(item.team), jitter)
        return DeadlineUnmeetableError(
            "its turn would come too late", retry_after_s=back_s
        )


@attrs.define(slots=True)
class _Outlook:
    """What a team's waiting requests can expect.

    :ivar rate: slots that serve the team.
    :ivar ahead_s: slot seconds of its requests that go first.
    """

    rate: float
    no_room: bool
    ahead_s: float = 0.0


def _come_back(drain_s: float, jitter: float) -> float:
    """Return when a refused caller should come back, in seconds."""
    bounded = min(max(drain_s, _RETRY_LEAST_S), _RETRY_MOST_S)
    return bounded * (0.75 + 0.5 * jitter)


def make_queued_request(
    times: ServiceTimes,
    kind: tuple[str, ...],
    team: str,
    klass: str,
    now: float,
    deadline: float,
    token: Any = None,
) -> QueuedRequest:
    """Return a request to queue, with what is expected of it."""
    expected_s = times.expected_s(kind)
    long = expected_s > max(_LONG_RATIO * times.mean_s, _LONG_LEAST_S)
    # Bulk work of a kind not seen yet is likelier long than not.
    long = long or (klass == "bulk" and not times.has_seen(kind))
    min_service_s = times.min_service_s(kind, now)
    return QueuedRequest(
        team, klass, now, deadline, token, expected_s, min_service_s, long, kind=kind
    )
