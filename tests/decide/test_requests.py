"""Effects of queueing, admission and routing on callers, in virtual time."""

from collections import Counter

import attrs
import pytest

from bench._simulation import Fleet, Req, Stream, generate_requests, percentile
from firhook.decide.admit import (
    DispatchedRequest,
    Dispatcher,
    QueueLimits,
    RefusedRequest,
    make_queued_request,
)
from firhook.decide.limits import Account
from firhook.decide.parts import FleetUse
from firhook.decide.queue import FairQueue, QueuedRequest
from firhook.errors import DeadlineUnmeetableError, NoEndpointError
from firhook.model import Endpoint

HERE = (0,)
FLEET_OF_ONE = FleetUse({"i0": {}})


def waits(reqs, team, klass="standard"):
    return [r.wait_s for r in reqs if (r.team, r.klass) == (team, klass)]


def runner(name, address="10.0.0.1:80", **kw):
    return Endpoint(name, "runner", "z0", address, service="s", **kw)


def dispatcher(*endpoints, capacity=100):
    account = Account()
    account.capacity = {"a": capacity, "b": capacity}
    result = Dispatcher("i0", "z0", account, QueueLimits(50, 40))
    result.update(endpoints, 0.0)
    result.rebalance(FLEET_OF_ONE, {"a": 1.0, "b": 1.0}, 0.0)
    return result


def admit(disp, now=0.0, deadline=30.0, team="a", expected_s=None, allowed_s=0.0):
    item = make_queued_request(disp.times, (team,), team, "standard", now, deadline)
    if expected_s is not None:
        item.expected_s = expected_s
    item.allowed_s = allowed_s
    disp.admit(item, now, 0.5)
    return item


def test_team_of_long_requests_gets_no_more_slot_time_than_its_share():
    """Of two teams with equal shares, one sends requests that take ten times as long.

    If the queue counted requests instead of slot time, the other team would get a
    tenth of the slots and refusals although it is within its share.
    """
    queue, used = FairQueue(), Counter()
    weights = {"short": 1.0, "long": 1.0}
    for i in range(6000):
        for team in weights:
            queue.push(QueuedRequest(team, "standard", 0.1 * i, 1e9))
    running = []
    for step in range(400):
        while len(running) < 24 and (item := queue.pop(weights, ())) is not None:
            took_s = 0.05 if item.team == "short" else 0.5
            running.append((0.05 * step + took_s, took_s, item))
        for end in [r for r in running if r[0] <= 0.05 * (step + 1)]:
            running.remove(end)
            used[end[2].team] += end[1]
            queue.settle(end[2], end[1], weights)
    assert abs(used["short"] / used["long"] - 1) < 0.05


def test_small_team_never_waits_behind_a_large_one():
    """A large team sends hundreds of requests just before a small team sends a few.

    In order of arrival the small team would wait for all of them.
    """
    burst = [Req(0.0, "large", "standard", 0.1, 30.0) for _ in range(400)]
    small = [Req(0.5 + 0.3 * i, "small", "standard", 0.1, 30.0) for i in range(10)]
    fleet = Fleet({"large": 1.0, "small": 1.0}, count=1, instances=1)
    fleet.run([*burst, *small], 10.0)
    assert max(r.wait_s for r in small) < 0.15
    assert all(r.in_time for r in small)


def test_short_requests_do_not_wait_for_long_ones_to_end():
    """Bulk requests of two seconds could fill every slot.

    An interactive request of 20 ms would then wait for one of them to end.
    """
    streams = [
        Stream("a", "interactive", 60, 0.02, 2.0, 3, HERE),
        Stream("b", "bulk", 30, 2.0, 20.0, 1, HERE),
    ]
    reqs = generate_requests(streams, 20.0, 2)
    Fleet({"a": 1.0, "b": 1.0}, count=3, instances=1).run(reqs, 20.0)
    assert percentile(waits(reqs, "a", "interactive"), 95) < 0.05
    assert sum(r.in_time for r in reqs if r.team == "b") > 100


def test_double_load_is_refused_at_once_and_costs_no_goodput():
    """Twice as many requests arrive as the fleet can serve.

    The excess must be refused at once, and the fleet must deliver as many answers in
    time as at full load.
    """

    def run(factor):
        stream = Stream("a", "standard", factor * 24 / 0.1, 0.1, 1.0, 1, HERE)
        reqs = generate_requests([stream], 10.0, 3)
        Fleet({"a": 1.0}, count=3, instances=1).run(reqs, 12.0)
        return reqs

    once, twice = run(1.0), run(2.0)
    assert sum(r.in_time for r in twice) >= 0.95 * sum(r.in_time for r in once)
    refused = [r.refused_at - r.at for r in twice if r.refused_at >= 0]
    assert refused and percentile(refused, 95) < 0.1
    late = [r for r in twice if r.done_at >= 0 and not r.in_time]
    assert len(late) < 0.02 * len(twice)


def test_slow_and_failing_runners_cost_few_requests():
    """One runner of a zone takes ten times as long and one fails everything.

    Outlier detection must keep nearly all requests away from both.
    """
    stream = Stream("a", "standard", 240, 0.1, 5.0, 1, HERE)
    reqs = generate_requests([stream], 15.0, 4)
    fleet = Fleet(
        {"a": 1.0},
        count=12,
        instances=1,
        slow={"r0000": 10.0},
        failing=["r0005"],
    )
    fleet.run(reqs, 30.0)
    assert sum(r.in_time for r in reqs) > 0.97 * len(reqs)
    assert fleet.sent["r0005"] < 0.01 * len(reqs)
    assert fleet.sent["r0000"] < 0.03 * len(reqs)


def test_most_of_a_zone_is_never_ejected():
    """The network to a zone is faulty, so every runner there seems to fail.

    If all were ejected, none would be left for the requests that still get through.
    """
    endpoints = [runner(f"r{i}", f"10.0.0.{i}:80") for i in range(6)]
    disp = dispatcher(*endpoints)
    for view in disp.router.views.values():
        for _ in range(10):
            disp.router.note_failure(view, 1.0)
    ejected = [v for v in disp.router.views.values() if v.ejected_until > 1.0]
    assert len(ejected) == 2


def test_ejected_runner_is_probed_and_ramps_up_again():
    """A restarted runner fails briefly and is then healthy.

    It must get its work back, but only gradually.
    """
    endpoints = [runner(f"r{i}", f"10.0.0.{i}:80") for i in range(3)]
    disp = dispatcher(*endpoints)
    view = next(iter(disp.router.views.values()))
    for _ in range(3):
        disp.router.note_failure(view, 1.0)
    assert view.headroom(1.5) == 0
    assert view.headroom(3.0) == 1
    for _ in range(8):
        disp.router.note_answer(view, 0.1, 0.1, 3.0)
    assert view.headroom(3.0) == 8


def test_runner_back_at_a_new_address_is_a_new_runner():
    """A leaving runner is replaced by one of the same name at another address.

    If it were taken for the old one, it would never get any work.
    """
    disp = dispatcher(runner("r", "10.0.0.1:80", leaving=True))
    assert disp.router.capacity(0.0) == 0
    disp.update([runner("r", "10.0.0.2:80")], 1.0)
    disp.rebalance(FLEET_OF_ONE, {"a": 1.0}, 1.0)
    disp.router.set_leaving(["r@10.0.0.1:80"])
    assert disp.router.capacity(1.0) == 2


def test_runner_that_announced_leaving_gets_no_new_work():
    """A runner announces that it is leaving before the platform's list shows it.

    Work that is sent there would be interrupted.
    """
    disp = dispatcher(runner("r1", "10.0.0.1:80"), runner("r2", "10.0.0.2:80"))
    disp.router.views["r1@10.0.0.1:80"].leaving = True
    disp.update([runner("r1", "10.0.0.1:80"), runner("r2", "10.0.0.2:80")], 1.0)
    picked = [disp.router.pick(1.0) for _ in range(9)]
    assert {v.endpoint.name for v in picked if v} == {"r2"}


def test_waiting_requests_are_refused_when_their_runners_go():
    """Every runner leaves while requests wait.

    If they were held until their deadline, their callers could no longer react.
    """
    disp = dispatcher(runner("r"))
    for _ in range(20):
        admit(disp)
    while disp.dispatch_next(0.0) is not None:
        pass
    disp.update([], 1.0)
    refused = disp.refuse_hopeless(1.0, 0.5)
    assert refused
    assert all(isinstance(g.exc, NoEndpointError) for g in refused)
    assert all(g.exc.ran == "no" and g.exc.retry_after_s > 0 for g in refused)
    assert len(disp.queue) == 0


def test_unmeetable_deadline_is_refused_on_arrival_with_the_time_to_come_back():
    """The backlog takes ten seconds, and the caller waits for only one."""
    disp = dispatcher(runner("r"))
    for _ in range(40):
        admit(disp, expected_s=2.0, team="a")
    while disp.dispatch_next(0.0) is not None:
        pass
    with pytest.raises(DeadlineUnmeetableError) as caught:
        admit(disp, deadline=1.0)
    assert caught.value.ran == "no"
    assert 2.0 < caught.value.retry_after_s < 16.0


def test_team_without_capacity_is_refused_well_before_its_deadline():
    """A team is at its limit elsewhere and gets no capacity here.

    Its requests must be refused soon and not held until their deadline.
    """
    disp = dispatcher(runner("r"), capacity=0)
    admit(disp)
    assert disp.dispatch_next(0.0) is None
    assert disp.refuse_hopeless(1.0, 0.5) == []
    refused = disp.refuse_hopeless(2.5, 0.5)
    assert [g.exc.code for g in refused] == ["queue.team_full"]


def test_slots_of_a_runner_are_hardly_ever_overcommitted():
    """Nine instances share each runner's eight slots without coordination.

    Requests beyond a runner's slots would queue at the runner unnoticed.
    """
    streams = [
        Stream("a", "standard", 900, 0.1, 2.0, 5, (0, 1)),
        Stream("b", "standard", 900, 0.1, 2.0, 5, (5, 6, 7)),
    ]
    fleet = Fleet({"a": 1.0, "b": 2.0}, count=12)
    reqs = generate_requests(streams, 6.0, 6)
    later = [attrs.evolve(r, at=r.at + 6, instance=r.instance + 2) for r in reqs]
    fleet.run([*reqs, *later], 14.0)
    assert fleet.max_load <= 10


def test_kind_that_was_slow_once_is_not_refused_forever():
    """During a slow minute all requests took longer than their callers wait.

    Refused requests yield no samples, so without decay of the estimate the service
    would never be called again.
    """
    disp = dispatcher(runner("r"))
    for _ in range(20):
        disp.times.record(("a",), 5.0, 1.0)
    with pytest.raises(DeadlineUnmeetableError):
        admit(disp, now=1.0, deadline=2.0)
    assert admit(disp, now=20.0, deadline=21.0).queued
    assert disp.dispatch_next(20.0) is not None
    assert admit(disp, now=20.0, deadline=20.01, team="b").queued


def dispatcher_with_rare_long_requests(longest_s=3.5):
    """Return a dispatcher at time 0 with samples of a kind that rarely takes long."""
    disp = dispatcher(runner("r"))
    for took_s in [longest_s, *[0.02] * 30]:
        disp.times.record(("a",), took_s, 0.0)
    return disp


def test_entry_with_too_little_time_left_is_refused_unsent():
    """One entry in thirty takes 3.5 s, and this one has 3 s left when dispatched.

    If it were sent, it could end after its caller received an unknown outcome.
    """
    disp = dispatcher_with_rare_long_requests()
    admit(disp, deadline=6.0, allowed_s=6.0)
    got = disp.dispatch_next(3.0)
    assert isinstance(got, RefusedRequest)
    assert isinstance(got.exc, DeadlineUnmeetableError)
    assert got.exc.ran == "no" and got.exc.retry_after_s > 0
    assert len(disp.queue) == disp.running == 0
    assert disp.dispatch_next(3.0) is None


def test_request_is_not_sent_once_its_deadline_has_passed():
    """A deadline passes just before the dispatch, between two sweeps of the queue.

    If the request were sent, it would take a slot for a caller that has given up.
    """
    disp = dispatcher(runner("r"))
    admit(disp, deadline=1.0)
    assert isinstance(disp.dispatch_next(1.01), RefusedRequest)


def test_entry_that_waits_too_long_is_refused_early():
    disp = dispatcher_with_rare_long_requests()
    admit(disp, deadline=6.0, allowed_s=6.0)
    assert disp.refuse_hopeless(2.0, 0.5) == []
    assert [g.exc.code for g in disp.refuse_hopeless(3.0, 0.5)] == ["queue.deadline"]


def test_entry_whose_wait_would_leave_too_little_time_is_refused_on_arrival():
    disp = dispatcher_with_rare_long_requests()
    for _ in range(20):
        admit(disp, expected_s=2.0)
    while disp.dispatch_next(0.0) is not None:
        pass
    assert admit(disp, deadline=6.0).queued
    with pytest.raises(DeadlineUnmeetableError):
        admit(disp, deadline=6.0, allowed_s=6.0)


def test_entry_with_time_for_the_longest_sample_is_sent():
    disp = dispatcher_with_rare_long_requests()
    admit(disp, deadline=6.0, allowed_s=6.0)
    assert isinstance(disp.dispatch_next(2.0), DispatchedRequest)


def test_entry_without_a_wait_is_sent_however_long_its_kind_takes():
    """One entry in thirty takes nearly the total time that callers allow.

    A retry would give it no more time than it has now.
    """
    disp = dispatcher_with_rare_long_requests(longest_s=5.9)
    admit(disp, deadline=6.0, allowed_s=6.0)
    assert isinstance(disp.dispatch_next(1.0), DispatchedRequest)


def test_entry_with_less_total_time_than_the_longest_is_sent():
    """The caller allows one second in total.

    If the request were refused because some take 3.5 s, every retry would be refused,
    although nearly all of its kind take 20 ms.
    """
    disp = dispatcher_with_rare_long_requests()
    admit(disp, deadline=1.0, allowed_s=1.0)
    assert isinstance(disp.dispatch_next(0.8), DispatchedRequest)


def test_kind_refused_for_its_longest_sample_is_not_refused_forever():
    """The fleet stays full, and each entry has waited 3 s when it is dispatched.

    Refused entries yield no samples of how long they would have taken.
    """
    disp = dispatcher_with_rare_long_requests()
    admit(disp, deadline=6.0, allowed_s=6.0)
    assert isinstance(disp.dispatch_next(3.0), RefusedRequest)
    admit(disp, now=9.0, deadline=15.0, allowed_s=6.0)
    assert isinstance(disp.dispatch_next(12.0), DispatchedRequest)


def test_entry_behind_one_that_outlasts_all_samples_is_refused():
    """A freshly started instance has samples of 20 ms only.

    An earlier entry has been running for 2.5 s, so this one may take as long or longer.
    """
    disp = dispatcher_with_rare_long_requests(longest_s=0.02)
    admit(disp, deadline=6.0, allowed_s=6.0)
    assert isinstance(disp.dispatch_next(0.0), DispatchedRequest)
    admit(disp, deadline=6.0, allowed_s=6.0)
    assert isinstance(disp.dispatch_next(2.5), RefusedRequest)


def test_entry_of_an_unknown_kind_is_sent():
    disp = dispatcher(runner("r"))
    admit(disp, deadline=6.0, allowed_s=6.0)
    assert isinstance(disp.dispatch_next(5.9), DispatchedRequest)
