"""Simulates the request decisions of several instances in virtual time.

The simulation has no sockets.  It models only what the decisions depend on: arrivals,
runners that hold a request for its true service time, and gossip at fixed intervals.
All random values come from seeded generators.
"""

import heapq
import itertools
import random
from collections import Counter, deque
from collections.abc import Callable, Iterable
from functools import partial
from typing import Any

import attrs

from firhook.decide.admit import (
    REBALANCE_S,
    DispatchedRequest,
    Dispatcher,
    QueueLimits,
    RefusedRequest,
    make_queued_request,
)
from firhook.decide.limits import Account
from firhook.decide.parts import FleetUse
from firhook.errors import FirhookError
from firhook.model import Endpoint

GOSSIP_INTERVAL_S = 0.5
TICK_INTERVAL_S = 0.05
SERVED_HALF_LIFE_S = 5.0


@attrs.define(slots=True, eq=False)
class Req:
    """A request with its true service time, which only the oracle may use.

    :ivar at: arrival time.
    :ivar klass: priority class.
    :ivar instance: index of the instance that it reaches.
    :ivar wait_s: time in the queue; negative if it was never dispatched.
    :ivar done_at: negative if it was not answered.
    :ivar refused_at: negative if it was not refused.
    :ivar code: error code of the refusal or failure.
    """

    at: float
    team: str
    klass: str
    service_s: float
    deadline_s: float = 30.0
    instance: int = 0
    path: str = ""
    wait_s: float = -1.0
    done_at: float = -1.0
    refused_at: float = -1.0
    code: str = ""

    @property
    def in_time(self) -> bool:
        """Whether it was answered before its deadline."""
        return 0 <= self.done_at <= self.at + self.deadline_s


def make_runners(count: int, zones: int = 4) -> list[Endpoint]:
    """Return runners of eight slots each, spread evenly over a number of zones."""
    return [
        Endpoint(f"r{i:04}", "runner", f"z{i % zones}", f"10.0.{i // 250}.{i % 250}:80")
        for i in range(count)
    ]


class Clock:
    """An event queue with a virtual clock."""

    def __init__(self) -> None:
        self.now = 0.0
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._count = itertools.count()

    def at(self, when: float, func: Callable[[], None]) -> None:
        """Schedule a call of a function."""
        heapq.heappush(self._heap, (when, next(self._count), func))

    def run(self, until: float) -> None:
        """Run all events up to a time, in order."""
        while self._heap and self._heap[0][0] <= until:
            self.now, _, func = heapq.heappop(self._heap)
            func()


class Fleet:
    """The instances of firhook in front of the runners of a service.

    :param shares: share of each team.
    :param count: number of runners.
    :param instances: number of instances.
    :param slow: factor on the service time of some runners, by name.
    :param failing: names of runners that fail every request at once.
    :param limits: upper limit of each team at each instance.
    :param waiting: limit on the queue of each instance.
    :ivar load: requests in progress at each runner.
    :ivar max_load: the largest load that any runner had.
    :ivar sent: requests sent to each runner.
    :ivar used_s: slot seconds used by each team.
    """

    def __init__(
        self,
        shares: dict[str, float],
        count: int = 24,
        instances: int = 9,
        slow: dict[str, float] | None = None,
        failing: Iterable[str] = (),
        limits: dict[str, int] | None = None,
        waiting: int = 2000,
    ) -> None:
        self.clock = Clock()
        self.shares = shares
        self.endpoints = make_runners(count)
        self.slow = slow or {}
        self.failing = set(failing)
        self.load: Counter[str] = Counter()
        self.max_load = 0
        self.overload_s = 0.0
        self.sent: Counter[str] = Counter()
        self.used_s: Counter[str] = Counter()
        self.busy_since: dict[int, tuple[str, float]] = {}
        self.instances = [Instance(self, i, limits, waiting) for i in range(instances)]

    def run(self, reqs: list[Req], until: float) -> list[Req]:
        """Run requests until a time and return them with their outcomes."""
        for req in reqs:
            inst = self.instances[req.instance % len(self.instances)]
            self.clock.at(req.at, lambda r=req, i=inst: i.arrive(r))
        for inst in self.instances:
            inst.start()
        self.clock.run(until)
        return reqs

    def read_gossip(self, asker: "Instance") -> FleetUse:
        """Return the use of the fleet according to the last gossip of each instance."""
        served: Counter[str] = Counter()
        for inst in self.instances:
            served.update(inst.gossiped_served)
        return FleetUse({i.name: i.gossiped_demand for i in self.instances}, served)


class Instance:
    """An instance: makes decisions with its dispatcher and carries them out.

    :ivar gossiped_demand: waiting and running requests of each team.
    :ivar gossiped_served: recently used slot seconds of each team.
    :ivar gossiped_excess: requests in flight beyond its part, by runner.
    """

    def __init__(
        self, fleet: Fleet, index: int, limits: dict[str, int] | None, waiting: int
    ) -> None:
        self.name = f"i{index}"
        self.zone = f"z{index % 4}"
        self.fleet = fleet
        self.account = Account()
        self.account.capacity = dict(limits or dict.fromkeys(fleet.shares, 10**6))
        self.dispatcher = Dispatcher(
            self.name, self.zone, self.account, QueueLimits(waiting, waiting)
        )
        self.gossiped_demand: dict[str, float] = {}
        self.gossiped_served: dict[str, float] = {}
        self.gossiped_excess: Counter[str] = Counter()
        self._served: Counter[str] = Counter()
        self._rng = random.Random(index)

    def start(self) -> None:
        """Set the runners and start the periodic events."""
        self.dispatcher.update(self.fleet.endpoints, 0.0)
        phase = GOSSIP_INTERVAL_S * (self.fleet.instances.index(self) % 7) / 7
        self.fleet.clock.at(phase, self._gossip)
        self.fleet.clock.at(0.0, self._rebalance)
        self._tick()

    def _gossip(self) -> None:
        clock = self.fleet.clock
        waiting = {t: self.dispatcher.queue.waiting(t) for t in self.fleet.shares}
        running = self.account.running
        self.gossiped_demand = {
            t: float(n + running.get(t, 0)) for t, n in waiting.items()
        }
        self.gossiped_served = dict(self._served)
        self.gossiped_excess = self.dispatcher.router.excess_by_runner()
        clock.at(clock.now + GOSSIP_INTERVAL_S, self._gossip)

    def _rebalance(self) -> None:
        fleet = self.fleet
        now = fleet.clock.now
        self.dispatcher.rebalance(fleet.read_gossip(self), fleet.shares, now)
        peer_excess: Counter[str] = Counter()
        for inst in fleet.instances:
            if inst is not self:
                peer_excess.update(inst.gossiped_excess)
        self.dispatcher.router.set_peer_excess(peer_excess)
        self._dispatch()
        fleet.clock.at(now + REBALANCE_S, self._rebalance)

    def _tick(self) -> None:
        clock = self.fleet.clock
        decay = 0.5 ** (TICK_INTERVAL_S / SERVED_HALF_LIFE_S)
        for team in self.fleet.shares:
            used_slot_s = self.account.running.get(team, 0) * TICK_INTERVAL_S
            self._served[team] = self._served[team] * decay + used_slot_s
        for refused in self.dispatcher.refuse_hopeless(clock.now, self._rng.random()):
            self._refuse(refused.item.token, refused.exc)
        self._dispatch()
        clock.at(clock.now + TICK_INTERVAL_S, self._tick)

    def arrive(self, req: Req) -> None:
        """Admit or refuse a request."""
        now = self.fleet.clock.now
        kind = (req.team, req.klass, req.path)
        item = make_queued_request(
            self.dispatcher.times,
            kind,
            req.team,
            req.klass,
            now,
            req.at + req.deadline_s,
            req,
        )
        try:
            self.dispatcher.admit(item, now, self._rng.random())
        except FirhookError as exc:
            self._refuse(req, exc)
        self._dispatch()

    def _refuse(self, req: Req, exc: FirhookError) -> None:
        req.refused_at = self.fleet.clock.now
        req.code = exc.code

    def _dispatch(self) -> None:
        while (
            decision := self.dispatcher.dispatch_next(self.fleet.clock.now)
        ) is not None:
            if isinstance(decision, RefusedRequest):
                self._refuse(decision.item.token, decision.exc)
            else:
                self._start_request(decision)

    def _start_request(self, dispatched: DispatchedRequest) -> None:
        fleet = self.fleet
        now = fleet.clock.now
        req: Req = dispatched.item.token
        name = dispatched.view.endpoint.name
        req.wait_s = now - req.at
        fleet.sent[name] += 1
        fleet.load[name] += 1
        fleet.max_load = max(fleet.max_load, fleet.load[name])
        duration_s = req.service_s * fleet.slow.get(name, 1.0)
        failing = name in fleet.failing
        end = now + (0.001 if failing else duration_s)
        fleet.clock.at(end, lambda: self._finish(dispatched, name, failing))

    def _finish(self, dispatched: DispatchedRequest, name: str, failing: bool) -> None:
        fleet = self.fleet
        now = fleet.clock.now
        req: Req = dispatched.item.token
        duration_s = now - dispatched.started
        fleet.load[name] -= 1
        fleet.used_s[req.team] += duration_s
        dispatcher = self.dispatcher
        kind = (req.team, req.klass, req.path)
        if failing:
            dispatcher.router.note_failure(dispatched.view, now)
            req.code = "endpoint.failed"
        else:
            expected_s = dispatcher.times.expected_s(kind)
            dispatcher.router.note_answer(dispatched.view, duration_s, expected_s, now)
            dispatcher.times.record(kind, duration_s, now)
            req.done_at = now
        dispatcher.end(dispatched, now)
        self._dispatch()


def run_fifo_random(reqs: list[Req], count: int, until: float, seed: int = 1) -> None:
    """Run requests on random runners, each with a FIFO queue."""
    clock = Clock()
    rng = random.Random(seed)
    queues: list[deque[Req]] = [deque() for _ in range(count)]
    free = [8] * count

    def dispatch(i: int) -> None:
        while queues[i] and free[i]:
            req = queues[i].popleft()
            free[i] -= 1
            req.wait_s = clock.now - req.at
            clock.at(clock.now + req.service_s, partial(finish, i, req))

    def finish(i: int, req: Req) -> None:
        req.done_at = clock.now
        free[i] += 1
        dispatch(i)

    def arrive(req: Req) -> None:
        i = rng.randrange(count)
        queues[i].append(req)
        dispatch(i)

    for req in reqs:
        clock.at(req.at, lambda r=req: arrive(r))
    clock.run(until)


def run_oracle(reqs: list[Req], count: int, until: float) -> None:
    """Run requests from one queue for all slots, with known service times.

    Orders requests by priority class, then the shortest first.  It ignores the shares
    of the teams, which only makes it a stricter baseline.
    """
    clock = Clock()
    heap: list[tuple[Any, ...]] = []
    order = ("interactive", "standard", "bulk")
    sequence = itertools.count()
    free = 8 * count

    def dispatch() -> None:
        nonlocal free
        while heap and free:
            req = heapq.heappop(heap)[-1]
            free -= 1
            req.wait_s = clock.now - req.at
            clock.at(clock.now + req.service_s, partial(finish, req))

    def finish(req: Req) -> None:
        nonlocal free
        req.done_at = clock.now
        free += 1
        dispatch()

    def arrive(req: Req) -> None:
        rank = order.index(req.klass)
        heapq.heappush(heap, (rank, req.service_s, next(sequence), req))
        dispatch()

    for req in reqs:
        clock.at(req.at, lambda r=req: arrive(r))
    clock.run(until)


def percentile(values: list[float], q: float) -> float:
    """Return a percentile of values; NaN if there are none.

    :param q: from 0 to 100.
    """
    ordered = sorted(values)
    if not ordered:
        return float("nan")
    return ordered[min(int(len(ordered) * q / 100), len(ordered) - 1)]


@attrs.frozen(slots=True)
class Stream:
    """A stream of similar requests with exponential times between arrivals.

    :param klass: priority class.
    :param rate: requests per second.
    :param mean_s: mean service time.
    :param burst: requests that arrive together.
    :param instances: indexes of the instances that they reach.
    :param sigma: standard deviation of the logarithm of the service time.
    """

    team: str
    klass: str
    rate: float
    mean_s: float
    deadline_s: float = 30.0
    burst: int = 1
    instances: tuple[int, ...] = tuple(range(9))
    path: str = ""
    sigma: float = 0.3

    def generate(self, seconds: float, rng: random.Random) -> list[Req]:
        """Return the requests of the stream over a duration."""
        reqs, now = [], 0.0
        while True:
            now += rng.expovariate(self.rate / self.burst)
            if now >= seconds:
                return reqs
            for _ in range(self.burst):
                service_s = self.mean_s * rng.lognormvariate(
                    -(self.sigma**2) / 2, self.sigma
                )
                instance = rng.choice(self.instances)
                reqs.append(
                    Req(
                        now,
                        self.team,
                        self.klass,
                        service_s,
                        self.deadline_s,
                        instance,
                        self.path,
                    )
                )


def generate_requests(streams: list[Stream], seconds: float, seed: int) -> list[Req]:
    """Return the requests of all streams in order of arrival."""
    rng = random.Random(seed)
    reqs = [req for stream in streams for req in stream.generate(seconds, rng)]
    return sorted(reqs, key=lambda r: r.at)
