"""Which workers may be gone, before it is certain."""

from firhook.decide.suspicion import OVERDUE_S, ReplyTracker, suspected_zones


def test_worker_is_suspect_from_its_first_late_answer_until_it_answers():
    watch = ReplyTracker()
    call = watch.note_sent(10.0)
    assert watch.overdue_since(10.0 + OVERDUE_S) is None
    assert watch.overdue_since(10.01 + OVERDUE_S) == 10.0
    watch.note_finished(call)
    assert watch.overdue_since(20.0) is None


def test_look_that_waits_for_an_end_is_late_only_after_that_time():
    watch = ReplyTracker()
    watch.note_sent(11.0)
    assert watch.overdue_since(11.1) is None


def test_two_late_workers_make_their_zone_doubtful_and_no_other():
    late = [("a", 10.0), ("a", 9.9), ("a", None), ("b", 9.0), ("b", None)]
    assert suspected_zones(late) == {"a": 9.9}
