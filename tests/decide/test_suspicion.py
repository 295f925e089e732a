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
