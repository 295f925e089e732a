"""Whether an instance can reach the store, by its own calls."""

from firhook.decide.reach import LEAST_LIMIT_S, StoreReach


def test_way_is_lost_only_when_no_partition_serves():
    """The store may lose some of its partitions and serve the others."""
    reach = StoreReach((0, 1))
    reach.failed(0, reach.sent(0, 10.0))
    assert reach.doubtful(10.0)
    assert not reach.lost(10.0)
    reach.failed(1, reach.sent(1, 10.0))
    assert reach.lost(10.0)
    reach.answered(0, reach.sent(0, 11.0), 11.005)
    assert not reach.lost(11.005)


def test_call_without_an_answer_is_told_long_before_its_time_out():
    reach = StoreReach((0,))
    reach.sent(0, 10.0)
    assert not reach.lost(10.0 + LEAST_LIMIT_S)
    assert reach.lost(10.01 + LEAST_LIMIT_S)


def test_store_that_is_slow_for_all_is_not_out_of_reach():
    """An answer takes 60 times as long as usual for some seconds."""
    reach = StoreReach((0,))
    now = 10.0
    for _ in range(50):
        reach.answered(0, reach.sent(0, now), now + 0.005)
        now += 0.1
    for _ in range(20):
        call = reach.sent(0, now)
        now += 0.24
        assert not reach.lost(now)
        reach.answered(0, call, now)
    call = reach.sent(0, now)
    assert not reach.lost(now + 0.6)
