"""Workers with overdue replies are suspected before a timeout proves a failure."""

from firhook.decide.suspicion import OVERDUE_S, ReplyTracker, suspected_zones


def test_worker_is_suspected_from_its_first_overdue_reply_until_it_answers():
    tracker = ReplyTracker()
    call = tracker.note_sent(10.0)
    assert tracker.overdue_since(10.0 + OVERDUE_S) is None
    assert tracker.overdue_since(10.01 + OVERDUE_S) == 10.0
    tracker.note_finished(call)
    assert tracker.overdue_since(20.0) is None


def test_reply_is_not_overdue_before_it_is_due():
    tracker = ReplyTracker()
    tracker.note_sent(11.0)
    assert tracker.overdue_since(11.1) is None


def test_two_overdue_workers_make_only_their_zone_suspected():
    late = [("a", 10.0), ("a", 9.9), ("a", None), ("b", 9.0), ("b", None)]
    assert suspected_zones(late) == {"a": 9.9}


def test_workers_that_are_gone_for_good_count_until_the_others_have_answered():
    tracker = ReplyTracker()
    for sent_at in (10.0, 10.75, 11.5):
        call = tracker.note_sent(sent_at)
        tracker.note_unanswered(call, sent_at + 0.5)
        assert tracker.silent_since(sent_at + 0.6) == 10.0
    assert suspected_zones([("a", 10.0), ("a", 10.1)]) == {"a": 10.0}
    tracker.note_reply()
    assert tracker.silent_since(12.1) is None


def test_refused_calls_are_no_silence():
    tracker = ReplyTracker()
    tracker.note_unanswered(tracker.note_sent(10.0), 10.001)
    assert tracker.silent_since(10.3) is None


def test_workers_gone_long_ago_do_not_hide_that_others_fall_silent():
    gone = [("a", 10.0), ("a", 10.1), ("a", 10.2)]
    assert suspected_zones([*gone, ("a", 50.0)]) == {"a": 10.2}
    assert suspected_zones([*gone, ("a", 50.0), ("a", 50.3)]) == {"a": 50.0}


def test_zone_whose_workers_answer_is_not_isolated_while_calls_get_lost():
    """Two single lost calls kept the idle workers of a zone off work all the time."""
    silent = [("a", 10.0), ("a", 10.1), ("b", 10.0), ("b", 10.1)]
    before = [("a", 9.9), ("a", 9.9), ("a", 9.5), ("b", 9.9)]
    assert suspected_zones(silent, before) == {"a": 10.0, "b": 10.0}
    since = [("a", 10.2), ("a", 10.2), ("a", 9.5), ("b", 10.2)]
    assert suspected_zones(silent, since) == {"b": 10.0}
