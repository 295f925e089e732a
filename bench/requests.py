"""Measures the request path in simulation, against baselines."""

import random
import time
from collections import Counter
from collections.abc import Iterable
from typing import Any

import attrs
from hdrh.histogram import HdrHistogram

from bench._registry import measure
from bench._simulation import (
    Fleet,
    Req,
    Stream,
    generate_requests,
    percentile,
    run_fifo_random,
    run_oracle,
)
from firhook.decide.admit import make_queued_request
from firhook.decide.parts import fair_amounts

SLOTS = 192
#: Shorter waits count as this long: a caller would not notice the ratio of two waits
#: of microseconds.
_MIN_WAIT_S = 0.001


def mixed_load(utilisation: float) -> list[Stream]:
    """Return streams of short and long requests of six teams.

    :param utilisation: fraction of the slots that they fill.
    """
    scale = utilisation * SLOTS
    return [
        # A third of the slots: quotes and checks of small and large teams.  They come
        # in bursts because a page requests several at once.
        *(
            Stream(f"t{i}", "interactive", scale * 0.05 / 0.02, 0.02, 2.0, 10)
            for i in range(6)
        ),
        # Standard requests of two teams and bulk requests of one, much longer than
        # the quotes.
        Stream("t0", "standard", scale * 0.25 / 0.2, 0.2, 10.0, path="s"),
        Stream("t1", "standard", scale * 0.15 / 0.1, 0.1, 10.0, path="s"),
        Stream("t0", "bulk", scale * 0.30 / 2.0, 2.0, 30.0, path="b"),
    ]


def _copy_requests(reqs: list[Req]) -> list[Req]:
    return [attrs.evolve(r, wait_s=-1.0, done_at=-1.0) for r in reqs]


def _interactive_waits(reqs: list[Req]) -> list[float]:
    return [r.wait_s for r in reqs if r.klass == "interactive" and r.wait_s >= 0]


def _median_bulk_wait(reqs: list[Req]) -> float:
    """Return the median wait of bulk requests, which lets the others go first."""
    return percentile([r.wait_s for r in reqs if r.klass == "bulk"], 50)


@measure("requests_wait")
def wait() -> Iterable[dict[str, Any]]:
    """Compare wait times with FIFO queues on random runners and with the oracle."""
    reqs = generate_requests(mixed_load(0.9), 20.0, 7)
    shares = {f"t{i}": 1.0 for i in range(6)}
    with_firhook, fifo, oracle = (
        _copy_requests(reqs),
        _copy_requests(reqs),
        _copy_requests(reqs),
    )
    fleet = Fleet(shares)
    fleet.run(with_firhook, 40.0)
    run_fifo_random(fifo, 24, 40.0)
    run_oracle(oracle, 24, 40.0)
    waits = {
        "firhook": percentile(_interactive_waits(with_firhook), 99),
        "fifo": percentile(_interactive_waits(fifo), 99),
        "oracle": percentile(_interactive_waits(oracle), 99),
    }
    oracle_wait_s = max(waits["oracle"], _MIN_WAIT_S)
    yield {
        "what": "p99 wait of interactive requests, mixed load, 90% utilisation",
        "unit": "s",
        "requests": len(_interactive_waits(with_firhook)),
        **{k: round(v, 4) for k, v in waits.items()},
        "p50_firhook": round(percentile(_interactive_waits(with_firhook), 50), 4),
        "ratio_to_oracle": round(max(waits["firhook"], _MIN_WAIT_S) / oracle_wait_s, 3),
        "ratio_to_fifo": round(waits["firhook"] / waits["fifo"], 4),
        "target_ratio_to_oracle": 1.5,
        "refused": sum(1 for r in with_firhook if r.refused_at >= 0),
        "p50_bulk": {
            "firhook": round(_median_bulk_wait(with_firhook), 3),
            "fifo": round(_median_bulk_wait(fifo), 3),
            "oracle": round(_median_bulk_wait(oracle), 3),
        },
        "most_at_one_runner": fleet.max_load,
    }


@measure("requests_share")
def share() -> Iterable[dict[str, Any]]:
    """Measure the share error over nine instances with skewed arrivals."""
    shares = {"a": 1.0, "b": 1.0, "c": 2.0, "d": 4.0, "e": 1.0, "f": 3.0}
    saturation_rate = SLOTS / 0.1
    arrival_instances = ((0, 1, 2), (0,), (3, 4, 5, 6), (7, 8), tuple(range(9)), (2, 3))
    streams = [
        Stream(t, "standard", saturation_rate * 0.6, 0.1, 2.0, 1, instances)
        for t, instances in zip(shares, arrival_instances, strict=True)
        if t != "e"
    ]
    # One team demands less than its share and must get all that it demands.
    streams.append(Stream("e", "standard", saturation_rate * 0.04, 0.1, 2.0))
    # One team has long requests and would get more if turns were counted by request.
    streams[3] = attrs.evolve(streams[3], rate=saturation_rate * 0.12, mean_s=0.5)
    reqs = generate_requests(streams, 40.0, 3)
    fleet = Fleet(shares)
    used_at_start: dict[str, Counter[str]] = {}
    fleet.clock.at(10.0, lambda: used_at_start.update(start=Counter(fleet.used_s)))
    fleet.run(reqs, 40.0)
    used = fleet.used_s - used_at_start["start"]
    wanted_slots = dict.fromkeys(shares, 1000000000.0) | {"e": SLOTS * 0.04}
    fair_slots = fair_amounts(SLOTS, wanted_slots, shares)
    total = sum(used.values())
    errors = {t: used[t] / total * SLOTS / fair_slots[t] - 1 for t in shares}
    yield {
        "what": "share error over teams, 9 instances, skewed arrival, saturation",
        "worst": round(max(abs(e) for e in errors.values()), 4),
        "target": 0.05,
        "errors": {t: round(e, 4) for t, e in errors.items()},
        "slots_used": round(total / 30.0 / SLOTS, 4),
        "most_at_one_runner": fleet.max_load,
    }


def _measure_goodput(factor: float) -> tuple[float, Counter[str]]:
    streams = [
        attrs.evolve(s, rate=s.rate * factor, deadline_s=min(s.deadline_s, 4.0))
        for s in mixed_load(1.0)
    ]
    reqs = generate_requests(streams, 20.0, 5)
    fleet = Fleet({f"t{i}": 1.0 for i in range(6)})
    fleet.run(reqs, 26.0)
    measured = [r for r in reqs if 5.0 <= r.at < 20.0]
    codes = Counter(r.code or ("good" if r.in_time else "late") for r in measured)
    return sum(r.service_s for r in measured if r.in_time) / 15.0, codes


@measure("requests_goodput")
def goodput() -> Iterable[dict[str, Any]]:
    """Measure the goodput at twice the capacity, relative to that at capacity."""
    (at_1x, _), (at_2x, codes) = _measure_goodput(1.0), _measure_goodput(2.0)
    yield {
        "what": "slot seconds of answers in time a second, at 2x against 1x load",
        "at_1x": round(at_1x, 2),
        "at_2x": round(at_2x, 2),
        "ratio": round(at_2x / at_1x, 4),
        "target": 0.95,
        "outcomes_at_2x": dict(codes),
    }


def _time_decisions(count: int, teams: int, instances: int) -> dict[str, Any]:
    """Time the decisions of an instance with a long queue."""
    shares = {f"t{i}": 1.0 + i % 3 for i in range(teams)}
    fleet = Fleet(shares, count, instances)
    for inst in fleet.instances:
        inst.dispatcher.update(fleet.endpoints, 0.0)
    inst = fleet.instances[0]
    for peer in fleet.instances:
        peer.gossiped_demand = dict.fromkeys(shares, 10.0)
    inst.dispatcher.rebalance(fleet.read_gossip(inst), shares, 0.0)
    rng = random.Random(1)
    hist = HdrHistogram(1, 10_000_000, 3)
    dispatched = []
    backlog = 1000
    for i in range(4000):
        req = Req(0.0, f"t{rng.randrange(teams)}", "standard", 0.1)
        started = time.perf_counter_ns()
        item = make_queued_request(
            inst.dispatcher.times,
            (req.team, req.klass, ""),
            req.team,
            req.klass,
            0.001 * i,
            1e6,
            req,
        )
        inst.dispatcher.admit(item, 0.001 * i, 0.5)
        result = inst.dispatcher.dispatch_next(0.001 * i)
        took = time.perf_counter_ns() - started
        if i > backlog:
            hist.record_value(max(took // 1000, 1))
        if result is not None:
            dispatched.append(result)
        # From here on a request ends for each arrival, so the backlog stays constant.
        if i > backlog and dispatched:
            inst.dispatcher.end(dispatched.pop(0), 0.001 * i)
    started = time.perf_counter()
    inst.dispatcher.rebalance(fleet.read_gossip(inst), shares, 10.0)
    rebalance_s = time.perf_counter() - started
    started = time.perf_counter()
    inst.dispatcher.refuse_hopeless(10.0, 0.5)
    sweep_s = time.perf_counter() - started
    return {
        "p50": hist.get_value_at_percentile(50) / 1000,
        "p99": hist.get_value_at_percentile(99) / 1000,
        "waiting": len(inst.dispatcher.queue),
        "rebalance_ms": round(rebalance_s * 1000, 2),
        "sweep_ms": round(sweep_s * 1000, 2),
    }


@measure("requests_decision")
def decision() -> Iterable[dict[str, Any]]:
    """Time one admission and one dispatch, at today's size and that of two years on."""
    for count, teams, instances, target in ((24, 6, 9, 1.0), (1000, 120, 16, 3.0)):
        yield {
            "what": f"admit and dispatch, {count} runners, {teams} teams",
            "unit": "ms",
            **_time_decisions(count, teams, instances),
            "target_p99": target,
        }
