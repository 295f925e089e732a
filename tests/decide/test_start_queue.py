"""Starts that wait to be sent while more are planned than can be sent."""

import math
from types import SimpleNamespace

import pytest

from firhook.decide.start_queue import (
    MAX_WINDOW,
    StartQueue,
    StartWindow,
    has_valid_ticket,
)


def planned(priority=1, ticket_until=math.inf):
    """Return a run as far as the queue sees it."""
    queue = SimpleNamespace(priority=priority)
    step = SimpleNamespace(job=SimpleNamespace(queue=queue))
    task = SimpleNamespace(step=step)
    return SimpleNamespace(task=task, ticket_until=ticket_until)


def test_urgent_starts_go_first_but_not_without_end():
    queue = StartQueue()
    early, urgent, late = planned(), planned(priority=0), planned(priority=0)
    queue.add(early, 0.0)
    queue.add(urgent, 0.3)
    queue.add(late, 0.5)
    assert [queue.take() for _ in range(3)] == [urgent, early, late]


@pytest.mark.parametrize("rate", [20, 100, 400])
def test_starts_go_on_after_a_burst_however_slowly_they_are_sent(rate):
    """Each start waited longer than its ticket lived, so that nothing started."""
    queue, waiting, valid_s, now, started = StartQueue(), 1000, 1.0, 0.0, []
    while len(started) < 1000:
        assert now < 100.0
        if queue.may_plan(now):
            for _ in range(waiting):
                queue.add(planned(ticket_until=now + valid_s), now)
            waiting = 0
        sent = False
        while queue and not sent:
            if has_valid_ticket(queue.take(), now):
                sent = True
                started.append(now)
            else:
                waiting += 1
        now += 1 / rate
    assert started[-1] < 1.5 * 1000 / rate + 2 * valid_s


def test_nothing_is_planned_while_a_start_waits_long():
    queue = StartQueue()
    queue.add(planned(), 0.0)
    assert queue.may_plan(0.4)
    assert not queue.may_plan(0.6)
    queue.take()
    assert queue.may_plan(0.6)


@pytest.mark.parametrize("rate", [5, 15, 60, 1000])
def test_window_follows_what_the_link_carries(rate):
    """All starts arrived after their tickets had expired, however few were due."""
    window, now, sent, took_s = StartWindow(), 0.0, [], []
    while now < 60.0:
        while len(sent) < window.size:
            sent.append(now)
        now += 1 / rate
        sent_at = sent.pop(0)
        window.record_answer(sent_at, now)
        took_s.append(now - sent_at)
    later = took_s[len(took_s) // 2 :]
    assert max(later) < 1.0
    if rate == 1000:
        assert window.size == MAX_WINDOW


def test_window_shrinks_once_for_all_starts_that_were_under_way():
    window = StartWindow()
    for _ in range(10):
        window.record_answer(0.0, 1.0)
    assert window.size > MAX_WINDOW // 2
