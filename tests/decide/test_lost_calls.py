"""When calls to workers count as getting lost, and how long answers may take."""

import pytest

from firhook.decide.lost_calls import FIRST_TIMEOUT_S, AnswerTimer, LostCalls


def test_calls_get_lost_only_while_several_were_within_seconds():
    lost_calls = LostCalls()
    for at in (10.0, 10.5, 11.0):
        lost_calls.record(at)
    assert not lost_calls.are_frequent(11.0)
    lost_calls.record(12.0)
    assert lost_calls.are_frequent(12.0)
    assert lost_calls.are_frequent(14.9)
    assert not lost_calls.are_frequent(15.1)


def test_answers_are_waited_for_half_a_second_while_none_has_come():
    assert AnswerTimer().timeout_s() == FIRST_TIMEOUT_S == 0.5


@pytest.mark.parametrize(
    ("took_s", "least_s", "most_s"),
    [(0.005, 0.1, 0.1), (0.2, 0.2, 0.3), (0.7, 0.7, 0.8), (3.0, 1.0, 1.0)],
)
def test_timeout_follows_what_answers_take(took_s, least_s, most_s):
    timer = AnswerTimer()
    for _ in range(30):
        timer.record(took_s)
    assert least_s <= timer.timeout_s() <= most_s
