"""An instance infers from its own calls whether it can reach the store."""

from firhook.decide.store_reachability import MIN_ANSWER_TIMEOUT_S, StoreReachability


def test_store_is_unreachable_only_when_no_partition_serves():
    """The store may lose some partitions while it serves the others."""
    reachability = StoreReachability((0, 1))
    reachability.note_failed(0, reachability.note_sent(0, 10.0))
    assert reachability.is_doubtful(10.0)
    assert not reachability.is_unreachable(10.0)
    reachability.note_failed(1, reachability.note_sent(1, 10.0))
    assert reachability.is_unreachable(10.0)
    reachability.note_answered(0, reachability.note_sent(0, 11.0), 11.005)
    assert not reachability.is_unreachable(11.005)


def test_unanswered_call_is_detected_before_it_times_out():
    reachability = StoreReachability((0,))
    reachability.note_sent(0, 10.0)
    assert not reachability.is_unreachable(10.0 + MIN_ANSWER_TIMEOUT_S)
    assert reachability.is_unreachable(10.01 + MIN_ANSWER_TIMEOUT_S)


def test_slow_store_is_not_unreachable():
    """Answers take 60 times as long as usual for some seconds."""
    reachability = StoreReachability((0,))
    now = 10.0
    for _ in range(50):
        reachability.note_answered(0, reachability.note_sent(0, now), now + 0.005)
        now += 0.1
    for _ in range(20):
        call = reachability.note_sent(0, now)
        now += 0.24
        assert not reachability.is_unreachable(now)
        reachability.note_answered(0, call, now)
    call = reachability.note_sent(0, now)
    assert not reachability.is_unreachable(now + 0.6)
