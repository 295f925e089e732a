"""Admission control, queueing and dispatch of requests to runners."""

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

#: A request counts as long if it is expected to hold its slot for this many
#: times the mean, since shorter requests behind it would be visibly delayed.
_LONG_RATIO = 3.0
#: Requests shorter than this never count as long: users do not notice the delay.
_MIN_LONG_S = 0.02
#: Long requests leave this many standard deviations of the slots used by short
#: requests free, computed for Poisson arrivals.  One would suffice for these, but
#: web pages send several requests at once, which increases the variance.
_SHORT_STDDEVS = 3.0
#: Largest fraction of the slots that is kept free for short requests.
_MAX_SHORT_FRACTION = 0.4
#: Long requests may always hold this fraction of the slots.  Otherwise they
#: would never find enough free slots on a fleet that is full of short requests.
_MIN_LONG_FRACTION = 0.3
#: Long requests may use every slot after this long without a short request.
_SHORT_IDLE_S = 10.0
#: Expected times are rough: half of all requests take longer.  If the queue could
#: grow until the expected end meets the deadline, it would be full of requests
#: that end just too late and waste their slots.
_WAIT_MARGIN = 1.25
_SERVICE_MARGIN = 1.5
#: A waiting request is refused once its expected end is past its deadline by this
#: fraction of its total time.  Expected times are rough, so refusing earlier
#: would hit requests that could have been served.
_REFUSAL_SLACK = 0.1
#: The lead answers within milliseconds.  A team without capacity for this long is
#: at its limit elsewhere, or the lead is unreachable, and its requests are refused.
CAPACITY_WAIT_S = 2.0
#: Interval at which the slot parts are recomputed.
REBALANCE_S = 0.1
#: Consecutive results that must agree before a slot that moved here is used.
#: They span two rounds, or 0.2 s; gossip between zones takes a few ms.
_STABLE_ROUNDS = 3
#: Time constant of the smoothed demand.  Without smoothing, the noise of single
#: requests would move slots in every round, and a slot that moves is idle until
#: consecutive results agree.
_DEMAND_SMOOTHING_S = 8.0
_MAX_RETRY_AFTER_S = 30.0
_MIN_RETRY_AFTER_S = 0.1


@attrs.frozen(slots=True)
class QueueLimits:
    """Bounds of the queue.

    :param waiting: maximum number of requests waiting at this instance.
    :param team_waiting: maximum number of one team's requests waiting here.
    """

    waiting: int
    team_waiting: int


@attrs.define(slots=True, eq=False)
class DispatchedRequest:
    """A request that holds a slot.

    :param view: the runner that serves it.
    :param started: time of dispatch, in seconds.
    """

    item: QueuedRequest
    view: RunnerView
    started: float


@attrs.frozen(slots=True)
class RefusedRequest:
    """A waiting request that must be refused now, and the error for its caller."""

    item: QueuedRequest
    exc: FirhookError


class Dispatcher:
    """Admits, queues and dispatches the requests of one service.

    Designed for overload, when far more work arrives than the fleet can serve.
    Requests that wait only to be refused at their deadline, or that take a slot
    although their caller can no longer use the answer, waste capacity and turn
    the overload into an outage.

    :param name: this instance's name in its gossip.
    :param zone: this instance's zone.
    :param account: capacity under the teams' limits, shared by all services.
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
        self._dispatched: dict[tuple[str, ...], dict[DispatchedRequest, None]] = {}
        self._capacity = 0
        self._short_seen_at = -math.inf
        self._short_load = 0.0
        self._short_decayed_at = 0.0
        self._slot_row: list[str] = []
        self._use: FleetUse | None = None
        self._parts: list[dict[str, int]] = []
        self._no_capacity_since: dict[str, float] = {}

    # -- runners and fleet usage -------------------------------------------

    def update(self, endpoints: Collection[Endpoint], now: float) -> None:
        """Replace the list of the service's runners."""
        self.router.update(endpoints)
        self._slot_row = slot_row(self.router.slots())
        self._capacity = self.router.capacity(now)

    def rebalance(self, use: FleetUse, shares: Mapping[str, float], now: float) -> None:
        """Recompute this instance's slots and team weights from the fleet's use.

        Called every :data:`REBALANCE_S`.
        """
        use = use.smoothed(self._use or use, REBALANCE_S / _DEMAND_SMOOTHING_S)
        self._use = use
        total = len(self._slot_row)
        shares = corrected_shares(total, use, shares)
        parts = instance_parts(total, use, shares)
        own = runner_parts(self._name, parts, self._slot_row)
        if not self._parts or len(use.demand) == 1:
            self._parts = [own] * _STABLE_ROUNDS
        self._parts = [*self._parts[1 - _STABLE_ROUNDS :], own]
        self.router.set_parts(usable_parts(self._parts), len(use.demand), now)
        self.weights = local_weights(self._name, use, shares)
        self._capacity = self.router.capacity(now)

    # -- admission --------------------------------------------------------

    def admit(self, item: QueuedRequest, now: float, jitter: float) -> None:
        """Queue a request, or refuse it at once if it cannot be served in time.

        :param jitter: random number from 0 to 1 that spreads the retries of
            callers that are refused together.
        :raises NoEndpointError: if the service has no runner.
        :raises OverloadedError: if the queue is full.
        :raises TeamQueueFullError: if the team's share of the queue is full.
        :raises DeadlineUnmeetableError: if it would be dispatched too late.
        """
        self._decay_short_load(now)
        if not item.long:
            self._count_short(item, now)
        wait_s = self.expected_wait_s(item, now)
        retry_after_s = _retry_after_s(self._backlog_s(item.team), jitter)
        if not self.router.has_untried(()):
            raise NoEndpointError(
                "the service has no known runner", retry_after_s=retry_after_s
            )
        if len(self.queue) >= self._limits.waiting:
            raise OverloadedError(
                "too many requests are waiting", retry_after_s=retry_after_s
            )
        if self.queue.waiting(item.team) >= self._limits.team_waiting:
            raise TeamQueueFullError(
                f"{self._limits.team_waiting} requests of the team are waiting",
                retry_after_s=retry_after_s,
            )
        need_s = _WAIT_MARGIN * wait_s + _SERVICE_MARGIN * item.min_service_s
        need_s = max(need_s, wait_s + self._min_remaining_s(item, now))
        if now + need_s > item.deadline:
            raise DeadlineUnmeetableError(
                f"expected to wait {wait_s:.2f} s and run {item.min_service_s:.2f} s",
                retry_after_s=retry_after_s,
            )
        self.queue.push(item)

    def _min_remaining_s(self, item: QueuedRequest, now: float) -> float:
        if not item.allowed_s:
            return 0.0
        running = self._dispatched.get(item.kind)
        running_s = now - next(iter(running)).started if running else 0.0
        return self.times.min_remaining_s(item.kind, item.allowed_s, running_s, now)

    def expected_wait_s(self, item: QueuedRequest, now: float) -> float:
        """Return how long a new request is expected to wait for a slot."""
        if not len(self.queue) and self.running < self._capacity:
            return 0.0
        ahead_s = self.queue.work_ahead_s(item.team, item.klass) + self.times.mean_s
        return ahead_s / self._rate(item.team)

    def _rate(self, team: str) -> float:
        """Return how many slots serve a team, given the other teams that wait."""
        busy = set(self.queue.teams()) | {team}
        total = sum(self.weights.get(t, 1.0) for t in busy)
        # An instance without slots gets some once its peers have received gossip
        # that it has requests.
        slots = max(self._capacity, 1)
        rate = slots * self.weights.get(team, 1.0) / total
        capacity = self._account.capacity.get(team, 0)
        # Capacity that is not lent yet is requested when the request is queued;
        # until the lead answers, only the slots bound the rate.
        return min(rate, capacity) if capacity > 0 else rate

    def _backlog_s(self, team: str) -> float:
        """Return how long it takes to serve the team's backlog."""
        work_s = self.queue.work_ahead_s(team, "bulk") + self.times.mean_s
        return work_s / self._rate(team)

    # -- dispatch ---------------------------------------------------------

    def dispatch_next(
        self, now: float, jitter: float = 0.5
    ) -> DispatchedRequest | RefusedRequest | None:
        """Dispatch the next request, or refuse it if too little time is left.

        :return: ``None`` if no request can get a slot.
        """
        blocked: set[str] = set()
        while len(self.queue):
            item = self.queue.pop(self.weights, blocked, self._long_allowed(now))
            if item is None:
                return None
            if now + self._min_remaining_s(item, now) > item.deadline:
                self._put_back(item)
                self.queue.remove(item)
                return RefusedRequest(item, self._deadline_error(item, jitter))
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
                # Only runners that failed this request have free slots; requests
                # of other teams may use them.
                blocked.add(item.team)
                continue
            self.running += 1
            self._long_running += item.long
            dispatched = DispatchedRequest(item, view, now)
            # Ordered by start time: the first is the oldest.
            self._dispatched.setdefault(item.kind, {})[dispatched] = None
            return dispatched
        return None

    def _put_back(self, item: QueuedRequest) -> None:
        self.queue.put_back(item, self.weights)

    def has_untried(self, tried: Collection[str]) -> bool:
        """Return whether any runner has not yet failed a request."""
        return self.router.has_untried(tried)

    def teams_awaiting_capacity(self) -> list[str]:
        """Return the teams that wait for capacity under their limit."""
        return list(self._no_capacity_since)

    def _long_allowed(self, now: float) -> bool:
        """Return whether a long request may take a slot.

        Without this check, the long requests of a few teams fill every slot, and
        a short request that arrives next waits for one of them to end, however
        urgent its class is.
        """
        if now - self._short_seen_at > _SHORT_IDLE_S:
            return True
        if self._long_running < _MIN_LONG_FRACTION * self._capacity:
            return True
        keep = min(
            math.ceil(_SHORT_STDDEVS * math.sqrt(self._short_load)),
            int(_MAX_SHORT_FRACTION * self._capacity),
        )
        return self._capacity - self.running > keep

    def _count_short(self, item: QueuedRequest, now: float) -> None:
        """Track the slots that short requests use, averaged over about a second."""
        self._short_load += item.expected_s
        self._short_seen_at = now

    def _decay_short_load(self, now: float) -> None:
        self._short_load *= math.exp(min(self._short_decayed_at - now, 0.0))
        self._short_decayed_at = now

    def end(self, dispatched: DispatchedRequest, now: float) -> None:
        """Release a request's slot once it has certainly ended or timed out."""
        self.running -= 1
        self._long_running -= dispatched.item.long
        of_kind = self._dispatched[dispatched.item.kind]
        del of_kind[dispatched]
        if not of_kind:
            del self._dispatched[dispatched.item.kind]
        self.router.release(dispatched.view)
        self._account.release(dispatched.item.team)
        self.queue.settle(dispatched.item, now - dispatched.started, self.weights)

    # -- refusal of waiting requests ---------------------------------------

    def refuse_hopeless(self, now: float, jitter: float) -> list[RefusedRequest]:
        """Remove and return the requests that can no longer meet their deadline.

        The queue becomes slower than it was at their admission when a runner dies
        or a large team sends requests again.  Callers that are refused before the
        deadline still have time to react.
        """
        self._capacity = self.router.capacity(now)
        refused = []
        for team in self.queue.teams():
            outlook = _TeamOutlook(self._rate(team), self._lacks_capacity(team, now))
            for item in self.queue.items(team):
                exc = self._refusal(item, outlook, now, jitter)
                if exc is None:
                    outlook.ahead_s += item.expected_s
                else:
                    self.queue.remove(item)
                    refused.append(RefusedRequest(item, exc))
        for team in self.teams_awaiting_capacity():
            if not self.queue.waiting(team):
                del self._no_capacity_since[team]
        return refused

    def _lacks_capacity(self, team: str, now: float) -> bool:
        """Return whether a team has waited too long for capacity.

        While some of its requests run here, their ends free capacity for others.
        """
        waiting_s = now - self._no_capacity_since.get(team, now)
        held = self._account.capacity.get(team, 0) + self._account.running.get(team, 0)
        return waiting_s > CAPACITY_WAIT_S and held == 0

    def _refusal(
        self, item: QueuedRequest, outlook: "_TeamOutlook", now: float, jitter: float
    ) -> FirhookError | None:
        """Return the error to refuse a waiting request with, or ``None``."""
        if outlook.lacks_capacity:
            retry_after_s = max(
                _retry_after_s(self._backlog_s(item.team), jitter), CAPACITY_WAIT_S
            )
            return TeamQueueFullError(
                f"the team had no capacity under its limit for {CAPACITY_WAIT_S:g} s",
                retry_after_s=retry_after_s,
            )
        if not self.has_untried(item.tried):
            retry_after_s = _retry_after_s(self._backlog_s(item.team), jitter)
            return NoEndpointError(
                "no runner is left that has not failed the request",
                retry_after_s=retry_after_s,
            )
        service_s = _SERVICE_MARGIN * item.min_service_s
        end = now + outlook.ahead_s / outlook.rate + service_s
        slack = _REFUSAL_SLACK * (item.deadline - item.arrived)
        least_s = max(service_s, self._min_remaining_s(item, now))
        if now + least_s <= item.deadline and end <= item.deadline + slack:
            return None
        return self._deadline_error(item, jitter)

    def _deadline_error(self, item: QueuedRequest, jitter: float) -> FirhookError:
        retry_after_s = _retry_after_s(self._backlog_s(item.team), jitter)
        return DeadlineUnmeetableError(
            "the request would be dispatched too late", retry_after_s=retry_after_s
        )


@attrs.define(slots=True)
class _TeamOutlook:
    """Estimates for a team's waiting requests.

    :ivar rate: slots that serve the team.
    :ivar lacks_capacity: whether the team waits in vain for capacity.
    :ivar ahead_s: slot seconds of its requests that are dispatched first.
    """

    rate: float
    lacks_capacity: bool
    ahead_s: float = 0.0


def _retry_after_s(backlog_s: float, jitter: float) -> float:
    """Return after how many seconds a refused caller should retry."""
    bounded = min(max(backlog_s, _MIN_RETRY_AFTER_S), _MAX_RETRY_AFTER_S)
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
    """Return a request to queue, with its expected and minimum service times."""
    expected_s = times.expected_s(kind)
    long = expected_s > max(_LONG_RATIO * times.mean_s, _MIN_LONG_S)
    # Bulk requests of an unknown kind are probably long.
    long = long or (klass == "bulk" and not times.has_seen(kind))
    min_service_s = times.min_service_s(kind, now)
    return QueuedRequest(
        team, klass, now, deadline, token, expected_s, min_service_s, long, kind=kind
    )
