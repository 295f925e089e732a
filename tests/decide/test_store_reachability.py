"""Whether an instance can reach the store, by its own calls."""

from firhook.decide.store_reachability import MIN_ANSWER_TIMEOUT_S, StoreReachability


def test_way_is_lost_only_when_no_partition_serves():
    """The store may lose some of its partitions and serve the others."""
    reach = StoreReachability((0, 1))
    reach.note_failed(0, reach.note_sent(0, 10.0))
    assert reach.is_doubtful(10.0)
    assert not reach.is_unreachable(10.0)
    reach.note_failed(1, reach.note_sent(1, 10.0))
    assert reach.is_unreachable(10.0)
    reach.note_answered(0, reach.note_sent(0, 11.0), 11.005)
    assert not reach.is_unreachable(11.005)


def test_call_without_an_answer_is_told_long_before_its_time_out():
    reach = StoreReachability((0,))
    reach.note_sent(0, 10.0)
    assert not reach.is_unreachable(10.0 + MIN_ANSWER_TIMEOUT_S)
    assert reach.is_unreachable(10.01 + MIN_ANSWER_TIMEOUT_S)


def test_store_that_is_slow_for_all_is_not_out_of_reach():
    """An answer takes 60 times as long as usual for some seconds."""
    reach = StoreReachability((0,))
    now = 10.0
    for _ in range(50):
        reach.note_answered(0, reach.note_sent(0, now), now + 0.005)
        now += 0.1
    for _ in range(20):
        call = reach.note_sent(0, now)
        now += 0.24
        assert not reach.is_unreachable(now)
        reach.note_answered(0, call, now)
    call = reach.note_sent(0, now)
    assert not reach.is_unreachable(now + 0.6)
